// What the actions of a facade do to the fakes, and the checks of what its callers get.
#include <algorithm>

#include "support/fakefleet.h"

namespace comfrey::test {

namespace {

constexpr Duration kPlatformDelay = milliseconds(2);
constexpr Duration kConnectLimit = milliseconds(1000); // until a cut connection counts as failed
constexpr const char *kPlatform = "platform";

} // namespace

void FakeFleet::perform(Node &node, const SendToBackend &action)
{
    const AttemptKey key{RouterId(node.id), node.incarnation, action.attempt};
    checkSend(node, action);
    Flight flight;
    flight.request = action.request;
    flight.backend = action.backend.value();
    flight.resumeAt = action.resumeAt;
    m_flights[key] = flight;
    m_queue.after(m_net.delay(node.id, flight.backend),
                  [this, key, action] { connect(key, action); });
    if (action.timeout == Duration::zero())
        return;
    m_queue.after(action.timeout, [this, key] {
        const auto found = m_flights.find(key);
        if (found == m_flights.end() || found->second.ending)
            return;
        if (FakeBackend *target = backend(found->second.backend); target != nullptr)
            target->cancel(key);
        AttemptEnded end;
        end.how = AttemptEnd::TimedOut;
        end.tokens = found->second.delivered;
        endAfter(Duration::zero(), key, end);
    });
}

void FakeFleet::checkSend(const Node &node, const SendToBackend &action)
{
    const std::string &name = action.backend.value();
    const AttemptKey key{RouterId(node.id), node.incarnation, action.attempt};
    if (m_flights.count(key) > 0)
        violated(m_violations.repeatedAttemptIds, node.id + " used an attempt id twice");
    const auto leaving = m_leavingSince.find(name);
    if (leaving != m_leavingSince.end() && m_queue.now() > leaving->second + kLeavingLimit)
        violated(m_violations.workToLeaving,
                 action.request.value() + " was sent to " + name + ", which is leaving");
}

void FakeFleet::connect(const AttemptKey &key, const SendToBackend &action)
{
    const auto found = m_flights.find(key);
    if (found == m_flights.end() || found->second.ending)
        return;
    AttemptEnded refused;
    refused.how = AttemptEnd::NotConnected;
    FakeBackend *target = backend(found->second.backend);
    if (m_net.isCut(key.router.value(), found->second.backend))
        return endAfter(kConnectLimit, key, refused);
    if (target == nullptr || !target->isUp())
        return endAfter(m_net.delay(key.router.value(), found->second.backend), key, refused);
    const auto caller = m_callers.find(action.request);
    if (caller == m_callers.end())
        return endAfter(Duration::zero(), key, refused);
    target->arrive(
        {key, action.request, action.priority, action.resumeAt, caller->second.submission});
}

void FakeFleet::started(const Arrival &arrival)
{
    const auto found = m_callers.find(arrival.request);
    if (found == m_callers.end())
        return;
    CallerRecord &caller = found->second;
    caller.started = true;
    if (caller.answer && caller.answer->outcome == Outcome::NotRun)
        violated(m_violations.falseNotRun,
                 arrival.request.value() + " ran after its caller was told that it did not");
}

TimePoint FakeFleet::arrivalTime(Flight &flight, const AttemptKey &key)
{
    const TimePoint due = m_queue.now() + m_net.delay(flight.backend, key.router.value());
    flight.lastArrival = std::max(flight.lastArrival, due);
    return flight.lastArrival;
}

void FakeFleet::progressed(const AttemptKey &key, Tokens tokens, Tokens cached)
{
    const auto found = m_flights.find(key);
    if (found == m_flights.end() || found->second.ending)
        return;
    Flight &flight = found->second;
    if (m_net.isCut(key.router.value(), flight.backend))
        return;
    const AttemptProgress event{key.attempt, flight.request, tokens, cached};
    m_queue.at(arrivalTime(flight, key),
               [this, key, event] { deliverTo(key.router.value(), key.incarnation, event); });
}

void FakeFleet::ended(const AttemptKey &key, const AttemptEnded &end)
{
    const auto found = m_flights.find(key);
    if (found == m_flights.end() || found->second.ending)
        return;
    Flight &flight = found->second;
    if (m_net.isCut(key.router.value(), flight.backend))
        return;
    const auto caller = m_callers.find(flight.request);
    if (end.how == AttemptEnd::Completed && caller != m_callers.end()) {
        const CallerRequest &detail = caller->second.submission.detail;
        if (!detail.idempotencyKey.isEmpty())
            m_bodies[{detail.apiKey, detail.idempotencyKey}].insert(end.body);
    }
    endAfter(arrivalTime(flight, key) - m_queue.now(), key, end);
}

void FakeFleet::endAfter(Duration wait, const AttemptKey &key, AttemptEnded end)
{
    const auto found = m_flights.find(key);
    if (found == m_flights.end() || found->second.ending)
        return;
    found->second.ending = true;
    end.attempt = key.attempt;
    end.request = found->second.request;
    const TimePoint due = std::max(m_queue.now() + wait, found->second.lastArrival);
    m_queue.at(due, [this, key, end] { deliverTo(key.router.value(), key.incarnation, end); });
}

void FakeFleet::passTokens(Flight &flight, Tokens tokens)
{
    flight.delivered = std::max(flight.delivered, tokens);
    const auto found = m_callers.find(flight.request);
    if (found == m_callers.end() || tokens == 0)
        return;
    CallerRecord &caller = found->second;
    if (!caller.firstTokenAt)
        caller.firstTokenAt = m_queue.now();
    if (flight.resumeAt <= caller.delivered)
        caller.delivered = std::max(caller.delivered, flight.resumeAt + flight.delivered);
}

void FakeFleet::passOn(const Node &node, const Event &event)
{
    const RouterId router(node.id);
    if (const auto *progress = std::get_if<AttemptProgress>(&event); progress != nullptr) {
        const auto found = m_flights.find({router, node.incarnation, progress->attempt});
        if (found != m_flights.end())
            passTokens(found->second, progress->tokens);
    }
    const auto *end = std::get_if<AttemptEnded>(&event);
    if (end == nullptr)
        return;
    const auto found = m_flights.find({router, node.incarnation, end->attempt});
    if (found == m_flights.end())
        return;
    passTokens(found->second, end->tokens);
    const auto caller = m_callers.find(end->request);
    if (caller != m_callers.end() && end->how == AttemptEnd::Completed)
        caller->second.completed.insert(end->attempt);
    m_flights.erase(found);
}

void FakeFleet::perform(Node &node, const CancelAttempt &action)
{
    const AttemptKey key{RouterId(node.id), node.incarnation, action.attempt};
    const auto found = m_flights.find(key);
    if (found == m_flights.end() || found->second.ending)
        return;
    if (FakeBackend *target = backend(found->second.backend); target != nullptr)
        target->cancel(key);
    AttemptEnded end;
    end.how = AttemptEnd::Cancelled;
    end.tokens = found->second.delivered;
    endAfter(Duration::zero(), key, end);
}

void FakeFleet::perform(Node &node, const AnswerCaller &action)
{
    const auto found = m_callers.find(action.request);
    if (found == m_callers.end())
        return;
    CallerRecord &caller = found->second;
    if (++caller.answers > 1)
        return violated(m_violations.secondAnswers, action.request.value() + " was answered twice");
    if (caller.router.value() != node.id)
        violated(m_violations.foreignAnswers,
                 node.id + " answered " + action.request.value() + " of another router");
    caller.answer = action;
    caller.endedAt = m_queue.now();
    checkAnswer(caller, action);
    if (m_forgetEnded)
        m_callers.erase(found);
}

void FakeFleet::checkAnswer(CallerRecord &caller, const AnswerCaller &answer)
{
    const std::string &name = answer.request.value();
    if (answer.outcome == Outcome::NotRun && caller.started)
        violated(m_violations.falseNotRun, name + " ran, and its caller was told that it did not");
    if (answer.outcome != Outcome::Answered)
        return;
    const CallerRequest &detail = caller.submission.detail;
    if (!answer.body.empty() || answer.status != 0) {
        const auto bodies = m_bodies.find({detail.apiKey, detail.idempotencyKey});
        if (bodies == m_bodies.end() || bodies->second.count(answer.body) == 0)
            violated(m_violations.foreignAnswers, name + " got a body that no run of its key gave");
        return;
    }
    const bool whole = detail.kind == RequestKind::ServiceCall
        || caller.delivered >= caller.submission.outputTokens;
    if (caller.completed.count(answer.attempt) == 0 || !whole)
        violated(m_violations.incompleteAnswers, name + " got an answer that is not whole");
}

void FakeFleet::perform(Node &node, const ProbeBackend &action)
{
    const std::string router = node.id;
    const BackendId id = action.backend;
    m_queue.after(m_net.delay(router, id.value()), [this, router, id, at = node.incarnation] {
        const FakeBackend *target = backend(id.value());
        const bool cut = m_net.isCut(router, id.value());
        const bool answers = target != nullptr && target->isUp() && !cut;
        Event event = ProbeFailed{id};
        if (answers)
            event = ProbeAnswered{target->report()};
        const Duration wait = cut ? kConnectLimit : m_net.delay(id.value(), router);
        m_queue.after(wait, [this, router, at, event] { deliverTo(router, at, event); });
    });
}

void FakeFleet::perform(Node &node, const ReadInstanceList &action)
{
    (void)action;
    const bool cut = m_net.isCut(node.id, kPlatform);
    const auto list = cut ? nullptr : m_instances.read();
    m_queue.after(cut ? kConnectLimit : kPlatformDelay,
                  [this, router = node.id, at = node.incarnation, list] {
                      if (list == nullptr)
                          return deliverTo(router, at, InstanceListFailed{});
                      deliverTo(router, at, InstanceListRead{*list});
                  });
}

void FakeFleet::perform(Node &node, const ReadLog &action)
{
    const std::string router = node.id;
    const std::uint64_t at = node.incarnation;
    const StreamId stream = action.stream;
    const auto failed = [this, router, at, stream] {
        deliverTo(router, at, LogReadFailed{stream});
    };
    if (m_net.isCut(router, kPlatform))
        return m_queue.after(kConnectLimit, failed);
    m_log.read(stream, action.from, action.wait,
               [this, router, at, failed](const std::optional<LogRead> &read) {
                   if (!read || m_net.isCut(router, kPlatform))
                       return failed();
                   deliverTo(router, at, *read);
               });
}

void FakeFleet::perform(Node &node, const AppendToLog &action)
{
    const std::string router = node.id;
    const std::uint64_t at = node.incarnation;
    AppendAnswered event;
    event.append = action.append;
    event.stream = action.stream;
    if (m_net.isCut(router, kPlatform)) {
        event.result = AppendResult::Refused;
        return m_queue.after(kConnectLimit,
                             [this, router, at, event] { deliverTo(router, at, event); });
    }
    m_log.append(action.stream, action.payload,
                 [this, router, at, event](AppendResult result, LogOffset offset) mutable {
                     const bool cut = m_net.isCut(router, kPlatform);
                     event.result = cut ? AppendResult::Lost : result;
                     event.offset = event.result == AppendResult::Accepted ? offset : LogOffset();
                     deliverTo(router, at, event);
                 });
}

void FakeFleet::perform(Node &node, const SendToRouter &action)
{
    const auto target = m_nodeByAddress.find(action.address.value());
    if (target == m_nodeByAddress.end())
        return;
    const auto message = std::make_shared<PeerMessage>();
    message->from = RouterId(node.id);
    message->payload = action.payload;
    m_net.sendMessage(node.id, target->second, action.payload.size(),
                      [this, to = target->second, message] {
                          deliverTo(to, m_nodes.at(to)->incarnation, *message);
                      });
}

void FakeFleet::perform(Node &node, const GiveOrder &action)
{
    const std::string router = node.id;
    m_queue.after(m_net.delay(router, action.backend.value()),
                  [this, router, at = node.incarnation, action] {
                      const auto engine = m_engines.find(action.backend.value());
                      const bool up = engine != m_engines.end() && engine->second->isUp();
                      OrderAnswered event{action.order, action.backend, OrderResult::Failed};
                      if (up && !m_net.isCut(router, action.backend.value()))
                          event.result = engine->second->order(action);
                      deliverTo(router, at, event);
                  });
}

void FakeFleet::perform(Node &node, const FetchWeights &action)
{
    constexpr std::size_t kFetchesPerMinute = 6;
    static constexpr Duration kWindow = milliseconds(60000);
    std::erase_if(m_weightGrants,
                  [this](TimePoint grant) { return grant + kWindow <= m_queue.now(); });
    WeightsAnswered event{action.order, WeightsResult::Granted};
    if (m_grantedOrders.count(action.order) == 0) {
        if (m_weightGrants.size() >= kFetchesPerMinute) {
            event.result = WeightsResult::RateLimited;
        } else {
            m_weightGrants.push_back(m_queue.now());
            m_grantedOrders.insert(action.order);
        }
    }
    m_queue.after(kPlatformDelay, [this, router = node.id, at = node.incarnation, event] {
        deliverTo(router, at, event);
    });
}

void FakeFleet::perform(Node &node, const WriteLogLine &action)
{
    (void)node;
    ++m_logLines[action.event];
}

void FakeFleet::perform(Node &node, const Stopped &action)
{
    (void)action;
    node.stopped = true;
    m_queue.after(Duration::zero(), [this, id = node.id, at = node.incarnation] {
        if (m_nodes.at(id)->incarnation == at)
            killRouter(id);
    });
}

} // namespace comfrey::test
