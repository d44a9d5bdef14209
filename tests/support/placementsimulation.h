// Simulates the placement of chats on engines over scripted time. Each of many routers sees a small
// part of the requests and learns of the remote ones through LoadDigest, as late as in a fleet of
// that size. The result has the share of requests that reached overloaded engines and the service
// that callers got.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "comfrey/units.h"
#include "dispatch/replicachooser.h"
#include "routers/loaddigest.h"
#include "support/simulationsteps.h"

namespace comfrey {

/// A class of chats with the same arrival rate, sizes and objective.
struct ChatKind
{
    double perSecond = 0;
    std::size_t prompts = 1;      ///< Number of different shared prompts.
    double promptTokens = 0;      ///< Of the shared prompt, which an engine reads unless it has it.
    double ownTokens = 0;         ///< Of the chat itself, always read.
    double outputTokens = 0;      ///< Mean.
    Duration firstTokenObjective; ///< Time limit for the first token.
};

/// The fleet and its load.
struct PlacementLoad
{
    std::size_t routers = 295;
    std::size_t zones = 5;
    std::size_t engines = 192;
    std::uint32_t slots = 12;
    /// The chats of the users' large deployment.
    std::vector<ChatKind> kinds = {
        {377, 561, 10512, 1300, 374, milliseconds(500)},
        {162, 241, 699, 130, 290, milliseconds(300)},
        {787, 1175, 2041, 360, 26, milliseconds(300)},
    };
    Duration duration = milliseconds(20000);
    Duration hotFromOffset = milliseconds(6000);   ///< Start of the hot phase.
    Duration hotUntilOffset = milliseconds(14000); ///< End of the hot phase.
    double hotPromptShare = 0; ///< Share of the first kind's chats that have one hot prompt.
    double hotFactor = 1;      ///< Multiplies all traffic in the hot phase.
    std::size_t hotPrompts =
        0; ///< The extra chats by hotFactor are spread over this many prompts; 0: over all.
    Duration zonePollTime =
        milliseconds(590); ///< Of a router's long poll at the leader of its zone.
    Duration crossZonePollTime =
        milliseconds(300);      ///< Of a zone leader's long poll at the leader of the fleet.
    Duration pollsAfterLoad{0}; ///< Routers poll for so long after `duration`.
    double evacuatedShare = 0;  ///< Share of the engines that get no new work after evacuatedFrom.
    Duration evacuatedFrom = milliseconds(6000);
    bool promptCountsAreShared = true; ///< Routers exchange the request counts of prompts.
    std::uint64_t seed = 1;
};

/// Results of a simulation after its warm-up.
struct PlacementResult
{
    std::size_t sent = 0; ///< Number of chats.
    double worstOverloadedShare =
        0; ///< Highest share of chats in five seconds that reached overloaded engines.
    double onTimeShare = 0;     ///< Share of chats with the first token within its objective.
    double hotOnTimeShare = 0;  ///< The same share for the chats of the hot phase.
    double promptReadShare = 0; ///< Share of chats whose shared prompt the engine did not have.
    double meanEngineLoad = 0;  ///< Mean requests per engine.
};

/// One run of a load under a placement policy.
class PlacementSimulation
{
public:
    PlacementSimulation(const PlacementLoad &load, const ReplicaChooser &chooser);
    virtual ~PlacementSimulation() = default;
    /// Runs until the last chat has ended. Call once.
    PlacementResult run();

protected:
    struct Router
    {
        std::vector<std::shared_ptr<Replica>> replicas;
        LoadDigest digest; ///< Router 0 is the leader of the fleet.
        std::size_t zone = 0;
        std::size_t leader = 0;  ///< Index of the leader of its zone.
        LoadDigest promptDigest; ///< As `digest`, for the requests per prompt.
        ServerRequests localPrompts;
        ServerRequests remotePrompts;
    };
    struct Chat
    {
        std::size_t router = 0;
        std::size_t engine = 0;
        std::size_t kind = 0;
        std::uint64_t prompt = 0;
        std::uint32_t promptHash = 0;
        TimePoint at;
    };
    struct Engine
    {
        std::uint32_t inFlight = 0; ///< Running and waiting chats.
        std::uint32_t running = 0;
        std::queue<std::size_t> waiting;
        std::unordered_set<std::uint64_t> prompts; ///< Shared prompts that the engine has.
        TimePoint readUntil = TimePoint::min(); ///< Prompts are read one after another until then.
    };

    void schedule(TimePoint at, SimulationSteps::Step step)
    {
        m_steps.schedule(at, std::move(step));
    }
    /// Runs all arrivals and the exchange between routers until the last step.
    void runSteps();
    void onArrival(std::size_t kind, TimePoint now);
    /// Sends a chat that arrived at its router.
    virtual void sendChat(Chat chat, TimePoint now);
    void startChat(std::size_t chat, TimePoint now);
    void finishChat(std::size_t chat, TimePoint now);
    void pollZoneLeader(std::size_t router, TimePoint now);
    void pollFleetLeader(std::size_t router, TimePoint now);
    void applyRemoteRequests(Router &router, TimePoint now);
    std::uint32_t fleetPromptRequests(Router &router, std::uint32_t prompt);
    ServerRequests localRequests(const Router &router) const;
    bool isHot(TimePoint now) const;
    bool isWarmedUp(TimePoint now) const;

    const PlacementLoad m_load;
    const ReplicaChooser &m_chooser;
    std::mt19937_64 m_random;
    std::vector<Router> m_routers;
    std::vector<Engine> m_engines;
    std::vector<Chat> m_chats;
    SimulationSteps m_steps;
    std::vector<std::pair<TimePoint, bool>>
        m_sent;                 ///< Time, and whether the engine was overloaded.
    std::size_t m_inFlight = 0; ///< Chats at all engines.
    std::size_t m_promptsRead = 0;
    std::size_t m_onTime = 0;
    std::size_t m_started = 0;
    std::size_t m_hotOnTime = 0;
    std::size_t m_hotStarted = 0;
    double m_loadSum = 0;
};

} // namespace comfrey
