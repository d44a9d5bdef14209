// Several router facades in one process under scripted time, with fakes of everything around them.
// The same seed and the same calls give the same run.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "comfrey/router.h"
#include "generated/records.generated.h"
#include "support/eventqueue.h"
#include "support/fakeengine.h"
#include "support/fakeinstances.h"
#include "support/fakelog.h"
#include "support/fakenet.h"
#include "support/fakeservice.h"

namespace comfrey::test {

/// Everything that one caller saw of its request.
struct CallerRecord
{
    Submission submission;
    RouterId router;
    TimePoint submittedAt;
    std::optional<TimePoint> firstTokenAt;
    Tokens delivered = 0; ///< Tokens from position 0 on without a gap.
    std::optional<AnswerCaller> answer;
    TimePoint endedAt;
    int answers = 0;               ///< More than one breaks a promise.
    bool connectionLost = false;   ///< Its router was killed before the answer.
    bool left = false;             ///< It closed its connection before the answer.
    bool started = false;          ///< A back end began to run it.
    std::set<AttemptId> completed; ///< Attempts that ended with a whole answer.
    bool hasEnded() const { return answer.has_value() || connectionLost || left; }
};

/// What a promise's check counted over the whole run.
struct Violations
{
    std::uint32_t secondAnswers = 0;
    std::uint32_t incompleteAnswers = 0;
    std::uint32_t foreignAnswers = 0;
    std::uint32_t falseNotRun = 0;
    std::uint32_t workToLeaving = 0; ///< Sent more than kLeavingLimit after the list said so.
    std::uint32_t repeatedAttemptIds = 0;
    std::uint32_t cutByStop = 0;    ///< Requests in flight when a graceful stop was done.
    std::vector<std::string> texts; ///< The first few, in words.
};

inline constexpr Duration kLeavingLimit = milliseconds(3000);

class FakeFleet : public AttemptSink
{
public:
    explicit FakeFleet(std::uint64_t seed);
    ~FakeFleet() override;
    FakeFleet(const FakeFleet &) = delete;
    FakeFleet &operator=(const FakeFleet &) = delete;

    /// Settings of routers that are added from now on; id and zone are set by addRouter().
    Settings &routerSettings() { return m_settings; }
    void addRouter(const std::string &id, const std::string &zone = "z1");
    FakeEngine &addEngine(const EngineOptions &options);
    FakeService &addService(const ServiceOptions &options);

    FakeLog &log() { return m_log; }
    FakeNet &net() { return m_net; }
    FakeInstances &instances() { return m_instances; }
    FakeEngine &engine(const std::string &id) { return *m_engines.at(id); }
    FakeService &service(const std::string &id) { return *m_services.at(id); }
    EventQueue &queue() { return m_queue; }

    /// Appends the change to the stream "config" as an operator would.
    LogOffset publish(record::ChangeT change);
    RequestId submit(const std::string &router, const CallerRequest &request);
    RequestId submit(const std::string &router, const Submission &submission);
    void leaveCaller(const RequestId &request);
    void runFor(Duration duration) { m_queue.runUntil(m_queue.now() + duration); }
    const CallerRecord &answer(const RequestId &request) const { return m_callers.at(request); }
    const std::map<RequestId, CallerRecord> &callers() const { return m_callers; }
    /// Ended requests are forgotten after they are checked; for long runs.
    void forgetEndedRequests() { m_forgetEnded = true; }

    /// The process is gone with all its state; its callers and back ends see broken connections.
    void killRouter(const std::string &id);
    /// A new process of the same id and a higher incarnation, with empty state.
    void restartRouter(const std::string &id);
    /// The process stands still; events wait for resumeRouter().
    void pauseRouter(const std::string &id);
    void resumeRouter(const std::string &id);
    /// Asks for a graceful stop; hasStopped() tells when it is done.
    void stopRouter(const std::string &id);
    bool hasStopped(const std::string &id) const { return m_nodes.at(id)->stopped; }
    bool isRunning(const std::string &id) const { return m_nodes.at(id)->router != nullptr; }
    void crashBackend(const std::string &id);
    void restartBackend(const std::string &id);
    /// Marks it in the list and in its own answers.
    void leaveBackend(const std::string &id);

    Router &router(const std::string &id) { return *m_nodes.at(id)->router; }
    std::string dump(const std::string &id) const;
    std::vector<std::string> routerIds() const;
    const RunCounts &runs() const { return m_runs; }
    /// Keys of service calls that ran more than once.
    std::uint32_t repeatedRuns() const;
    const Violations &violations() const { return m_violations; }
    /// WriteLogLine actions by event name.
    const std::map<std::string, std::uint64_t> &logLines() const { return m_logLines; }
    /// Events handled by all routers.
    std::uint64_t eventsHandled() const { return m_eventsHandled; }

private:
    struct Node
    {
        std::string id;
        Settings settings;
        std::unique_ptr<Router> router; ///< Null while the process does not run.
        std::uint64_t incarnation = 0;
        bool paused = false;
        bool stopped = false;
        std::vector<Event> backlog; ///< Events that came while paused.
        TimePoint tickAt = kNever;
    };
    struct Flight
    {
        RequestId request;
        std::string backend;
        Tokens resumeAt = 0;
        Tokens delivered = 0;  ///< By this attempt, as its router saw it.
        bool ending = false;   ///< Its AttemptEnded is on the way; there will be no other.
        TimePoint lastArrival; ///< Of its events at the router, which keep their order.
    };

    void started(const Arrival &arrival) override;
    void progressed(const AttemptKey &key, Tokens tokens, Tokens cached) override;
    void ended(const AttemptKey &key, const AttemptEnded &end) override;

    FakeBackend *backend(const std::string &id) const;
    void boot(Node &node);
    void deliverTo(const std::string &id, std::uint64_t incarnation, Event event);
    void handle(Node &node, const Event &event);
    void scheduleTick(Node &node);
    void tick(const std::string &id, std::uint64_t incarnation, TimePoint due);

    void perform(Node &node, const SendToBackend &action);
    void perform(Node &node, const CancelAttempt &action);
    void perform(Node &node, const AnswerCaller &action);
    void perform(Node &node, const ProbeBackend &action);
    void perform(Node &node, const ReadInstanceList &action);
    void perform(Node &node, const ReadLog &action);
    void perform(Node &node, const AppendToLog &action);
    void perform(Node &node, const SendToRouter &action);
    void perform(Node &node, const GiveOrder &action);
    void perform(Node &node, const FetchWeights &action);
    void perform(Node &node, const WriteLogLine &action);
    void perform(Node &node, const Stopped &action);

    void connect(const AttemptKey &key, const SendToBackend &action);
    void checkSend(const Node &node, const SendToBackend &action);
    /// Hands the end of an attempt to its router `wait` from now, unless another end is on the way.
    void endAfter(Duration wait, const AttemptKey &key, AttemptEnded end);
    /// When an event of the attempt reaches its router, which is never before its earlier events.
    TimePoint arrivalTime(Flight &flight, const AttemptKey &key);
    /// What the router's traffic threads do with an event of an attempt.
    void passOn(const Node &node, const Event &event);
    void passTokens(Flight &flight, Tokens tokens);
    void checkAnswer(CallerRecord &caller, const AnswerCaller &answer);
    void loseCallersOf(const std::string &router, bool gracefully);
    void removeLater(const std::string &id);
    Instance routerInstance(const Node &node) const;
    void violated(std::uint32_t &count, const std::string &text);

    EventQueue m_queue;
    std::uint64_t m_seed;
    Settings m_settings;
    FakeLog m_log;
    FakeNet m_net;
    FakeInstances m_instances;
    std::map<std::string, std::unique_ptr<FakeEngine>> m_engines;
    std::map<std::string, std::unique_ptr<FakeService>> m_services;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::map<std::string, std::string> m_nodeByAddress;
    std::map<RequestId, CallerRecord> m_callers;
    std::map<AttemptKey, Flight> m_flights; ///< Attempts without an end, as the network sees them.
    std::map<std::string, TimePoint> m_leavingSince;
    std::set<OrderId> m_grantedOrders;
    std::vector<TimePoint> m_weightGrants; ///< Of the last minute.
    std::map<std::pair<ApiKeyHash, IdempotencyKey>, std::set<std::string>> m_bodies;
    RunCounts m_runs;
    Violations m_violations;
    std::map<std::string, std::uint64_t> m_logLines;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastChange = 0;
    std::uint64_t m_eventsHandled = 0;
    bool m_forgetEnded = false;
};

} // namespace comfrey::test
