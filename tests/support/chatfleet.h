// Several ChatParts that exchange messages under scripted time, with plain engines: the decisions
// of the chat path alone, each router with a view of its own.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/chatbench.h"
#include "support/eventqueue.h"

namespace comfrey::test {

struct ChatFleetOptions
{
    int routers = 7;
    int engines = 20;
    std::uint32_t slots = 8;
    std::string policy = "bounded-affinity";
    std::uint64_t seed = 1;
    Duration oneWay = milliseconds(1);
    Duration firstToken = milliseconds(30);
    Duration perToken = milliseconds(10);
    Duration reportLag = milliseconds(1000);
    double loss = 0; ///< Of messages between routers, like the next two.
    double doubles = 0;
    double delays = 0; ///< Share that comes up to 50 ms late.
    Duration contract = milliseconds(2000);
    std::uint32_t requestsPerSecond = 100000; ///< Of each plan.
};

class ChatFleet
{
public:
    explicit ChatFleet(const ChatFleetOptions &options);

    void arrive(int router, const std::string &chat, Tokens outputTokens,
                const std::string &key = "key0", bool crashes = false);
    void runFor(Duration duration) { m_queue.runUntil(m_queue.now() + duration); }
    /// The router and its connections are gone; the others' views do not change.
    void kill(int router);
    void crashEngine(int engine);
    void slow(int engine, double factor) { m_engines.at(engine).slow = factor; }
    /// `router` sees the state of `other` change.
    void see(int router, int other, RouterState state);
    void forgetRouter(int router, int other);

    std::uint32_t inFlight(int engine) const
    {
        return static_cast<std::uint32_t>(m_engines.at(engine).running.size());
    }
    std::uint32_t highest(int engine) const { return m_engines.at(engine).highest; }
    /// Largest of (load of an engine - 1) / mean load seen when a request was sent, once the mean
    /// load was at least `leastMean`. The one is the slot for rounding.
    double worstMultiple() const { return m_worstMultiple; }
    /// Largest number of requests over ceil(1.25 * mean load) + 1, seen likewise; below 0 if none.
    double worstExcess() const { return m_worstExcess; }
    void watchFrom(double leastMean)
    {
        m_leastMean = leastMean;
        m_worstMultiple = 0;
        m_worstExcess = -100;
    }

    struct Caller
    {
        int router = 0;
        std::string chat;
        std::string key;
        Tokens outputTokens = 0;
        bool crashes = false;
        TimePoint arrivedAt;
        std::optional<Duration> firstToken;
        std::set<int> crashed; ///< Engines.
        std::vector<AnswerCaller> answers;
        std::string firstEngine; ///< The first that it was sent to.
    };
    const std::map<RequestId, Caller> &callers() const { return m_callers; }
    std::uint64_t messageBytes() const { return m_messageBytes; }
    std::uint64_t messages() const { return m_messages; }
    std::uint64_t crashes() const { return m_crashes; }
    const ChatPart &part(int router) const { return *m_nodes.at(router)->part; }
    TimePoint now() const { return m_queue.now(); }
    Random &random() { return m_random; }
    EventQueue &queue() { return m_queue; }

private:
    struct Node
    {
        Node(const ChatFleetOptions &options, int index);
        Settings settings;
        FixedFleet fleet;
        FixedLists lists;
        IdSource ids;
        Random random;
        std::unique_ptr<ChatPart> part; ///< Null when killed.
        TimePoint tickAt = kNever;
    };
    using Run = std::pair<int, AttemptId>; ///< Router and attempt.
    struct Engine
    {
        std::map<Run, RequestId> running;
        std::uint32_t highest = 0;
        double slow = 1;
    };

    template<typename Call>
    void with(int router, Call call);
    void handle(int router, const Event &event);
    void perform(int router, const Action &action);
    void post(int from, const RouterId &to, const Bytes &payload);
    void deliver(int router, const Bytes &payload);
    void scheduleTick(int router);
    void start(int router, const SendToBackend &action);
    void step(int router, int engine, const SendToBackend &action, Tokens tokens);
    void end(int router, int engine, AttemptId attempt, AttemptEnd how, Tokens tokens);
    void noteLoad(int engine);
    int engineIndex(const BackendId &id) const;
    bool happens(double share);

    ChatFleetOptions m_options;
    EventQueue m_queue;
    Random m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Engine> m_engines;
    std::map<BackendId, int> m_engineIndex;
    std::map<RequestId, Caller> m_callers;
    std::map<Run, int> m_engineOf;
    std::uint32_t m_totalInFlight = 0;
    double m_worstMultiple = 0;
    double m_worstExcess = -100;
    double m_leastMean = 1;
    std::uint64_t m_messageBytes = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_crashes = 0;
    std::uint64_t m_lastRequest = 0;
};

} // namespace comfrey::test
