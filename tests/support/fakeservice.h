// A fake replica of a plain service. It shares its count of runs by key with the other replicas of
// its service.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "support/eventqueue.h"
#include "support/fakebackend.h"

namespace comfrey::test {

/// Runs by caller's key and idempotency key, over all replicas of all services.
using RunCounts = std::map<std::pair<ApiKeyHash, IdempotencyKey>, std::uint32_t>;

struct ServiceOptions
{
    std::string id;
    std::string service = "dispatch";
    std::string zone = "z1";
    std::uint32_t slots = 100;
    Duration runTime = milliseconds(30);
};

enum class ServiceFault : std::uint8_t {
    None,
    Refuse,         ///< Refuses unstarted.
    Hang,           ///< Runs the call and never answers.
    CrashBeforeRun, ///< Breaks the connection; the call did not run.
    CrashAfterRun,  ///< Runs the call, then breaks the connection.
};

struct ServiceFaults
{
    ServiceFault fault = ServiceFault::None;
    bool leaving = false;
    Duration lateBy = milliseconds(0); ///< Before the answer leaves.
};

class FakeService : public FakeBackend
{
public:
    FakeService(EventQueue &queue, AttemptSink &sink, RunCounts &runs, ServiceOptions options)
        : m_queue(queue), m_sink(sink), m_runs(runs), m_options(std::move(options))
    { }

    ServiceFaults &faults() { return m_faults; }

    Instance instance() const override;
    bool isUp() const override { return m_up; }
    void arrive(const Arrival &arrival) override;
    /// A started call runs on.
    void cancel(const AttemptKey &key) override { m_running.erase(key); }
    void crash() override;
    void restart() override { m_up = true; }
    std::uint32_t inFlight() const override { return static_cast<std::uint32_t>(m_running.size()); }
    LoadReport report() const override;

private:
    void answer(const AttemptKey &key);

    EventQueue &m_queue;
    AttemptSink &m_sink;
    RunCounts &m_runs;
    ServiceOptions m_options;
    ServiceFaults m_faults;
    bool m_up = true;
    std::map<AttemptKey, std::uint32_t> m_running; ///< With the run's number.
    std::uint32_t m_lastRun = 0;
};

} // namespace comfrey::test
