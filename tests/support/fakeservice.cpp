// A fake replica of a plain service.
#include "support/fakeservice.h"

namespace comfrey::test {

namespace {

AttemptEnded endedAs(AttemptEnd how)
{
    AttemptEnded end;
    end.how = how;
    return end;
}

} // namespace

Instance FakeService::instance() const
{
    Instance instance;
    instance.id = m_options.id;
    instance.kind = InstanceKind::Service;
    instance.zone = ZoneId(m_options.zone);
    instance.address = Endpoint(m_options.id + ":80");
    instance.service = ServiceName(m_options.service);
    instance.slots = m_options.slots;
    return instance;
}

void FakeService::arrive(const Arrival &arrival)
{
    const bool full = m_running.size() >= m_options.slots;
    if (m_faults.fault == ServiceFault::Refuse || m_faults.leaving || full) {
        AttemptEnded end = endedAs(AttemptEnd::RefusedUnstarted);
        end.status = 503;
        end.backendLeaving = m_faults.leaving;
        return m_sink.ended(arrival.key, end);
    }
    if (m_faults.fault == ServiceFault::CrashBeforeRun)
        return m_sink.ended(arrival.key, endedAs(AttemptEnd::BrokenBeforeAnswer));
    m_sink.started(arrival);
    const CallerRequest &detail = arrival.submission.detail;
    if (!detail.idempotencyKey.isEmpty())
        ++m_runs[{detail.apiKey, detail.idempotencyKey}];
    if (m_faults.fault == ServiceFault::CrashAfterRun)
        return m_sink.ended(arrival.key, endedAs(AttemptEnd::BrokenBeforeAnswer));
    const AttemptKey key = arrival.key;
    m_running[key] = ++m_lastRun;
    if (m_faults.fault == ServiceFault::Hang)
        return;
    m_queue.after(m_options.runTime + m_faults.lateBy, [this, key] { answer(key); });
}

void FakeService::answer(const AttemptKey &key)
{
    const auto found = m_running.find(key);
    if (found == m_running.end())
        return;
    AttemptEnded end = endedAs(AttemptEnd::Completed);
    end.status = 200;
    end.body = "{\"by\":\"" + m_options.id + "\",\"run\":" + std::to_string(found->second) + "}";
    end.contentType = "application/json";
    end.backendLeaving = m_faults.leaving;
    m_running.erase(found);
    m_sink.ended(key, end);
}

void FakeService::crash()
{
    m_up = false;
    for (const auto &[key, run] : std::exchange(m_running, {}))
        m_sink.ended(key, endedAs(AttemptEnd::BrokenBeforeAnswer));
}

LoadReport FakeService::report() const
{
    LoadReport report;
    report.backend = BackendId(m_options.id);
    report.measuredAt = m_queue.now();
    report.running = inFlight();
    report.slots = m_options.slots;
    report.leaving = m_faults.leaving;
    return report;
}

} // namespace comfrey::test
