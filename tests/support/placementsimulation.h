// Plays the placement of chats on engines under scripted time: many routers, each of which sees a
// sliver of the requests and hears of the others' through LoadDigest as late as a fleet of that
// size tells it. Tells what reached engines that were overloaded already, and what callers got.
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

/// A kind of chat.
struct ChatKind
{
    double perSecond = 0;
    std::size_t prompts = 1; ///< Different shared prompts.
    double promptTokens = 0; ///< Shared; read unless the engine has it.
    double ownTokens = 0;
    double outputTokens = 0;
    Duration firstTokenObjective; ///< For the first token.
};

struct PlacementLoad
{
    std::size_t routers = 295;
    std::size_t zones = 5;
    std::size_t engines = 192;
    std::uint32_t slots = 12;
    /// As the sheet of the users' large deployment gives them.
    std::vector<ChatKind> kinds = {
        {377, 561, 10512, 1300, 374, milliseconds(500)},
        {162, 241, 699, 130, 290, milliseconds(300)},
        {787, 1175, 2041, 360, 26, milliseconds(300)},
    };
    Duration duration = milliseconds(20000);
    Duration hotFromOffset = milliseconds(6000); ///< Of the two that follow.
    Duration hotUntilOffset = milliseconds(14000);
    double hotPromptShare = 0;  ///< Of the first kind's chats, about one prompt.
    double hotFactor = 1;       ///< On all traffic.
    std::size_t hotPrompts = 0; ///< With hotFactor: what is more is about that many prompts.
    Duration zonePollTime = milliseconds(590);      ///< Of a router's ask in its zone.
    Duration crossZonePollTime = milliseconds(300); ///< Of a zone's ask.
    double evacuatedShare = 0; ///< Of the engines, which get no new work from emptiedFrom on.
    Duration evacuatedFrom = milliseconds(6000);
    bool promptCountsAreShared = true; ///< Routers hear which prompts are much asked for.
    std::uint64_t seed = 1;
};

struct PlacementResult
{
    std::size_t sent = 0;
    double worstOverloadedShare =
        0;                     ///< Highest share, in five seconds, that reached overloaded engines.
    double onTimeShare = 0;    ///< Share with the first token within its objective.
    double hotOnTimeShare = 0; ///< The same while the load is hot.
    double promptReadShare = 0; ///< Share of the chats whose shared prompt the engine had to get.
    double meanEngineLoad = 0;  ///< Requests at an engine.
};

class PlacementSimulation
{
public:
    PlacementSimulation(const PlacementLoad &load, const ReplicaChooser &chooser);
    PlacementResult run();

private:
    struct Router
    {
        std::vector<std::shared_ptr<Replica>> replicas;
        LoadDigest digest; ///< Used by the first of each zone; the first of all is router 0.
        std::size_t zone = 0;
        std::size_t leader = 0;  ///< Of its zone.
        LoadDigest promptDigest; ///< As `digest`, of requests about each prompt.
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
        std::uint32_t inFlight = 0; ///< Running and waiting.
        std::uint32_t running = 0;
        std::queue<std::size_t> waiting;
        std::unordered_set<std::uint64_t> prompts; ///< That it has read.
        TimePoint readUntil = TimePoint::min();    ///< Prompts are read one after another.
    };

    void schedule(TimePoint at, SimulationSteps::Step step)
    {
        m_steps.schedule(at, std::move(step));
    }
    void onArrival(std::size_t kind, TimePoint now);
    void sendChat(Chat chat, TimePoint now);
    void startChat(std::size_t chat, TimePoint now);
    void finishChat(std::size_t chat, TimePoint now);
    void pollZoneLeader(std::size_t router, TimePoint now);
    void pollFleetLeader(std::size_t router, TimePoint now);
    void applyRemoteRequests(Router &router, TimePoint now);
    std::uint32_t fleetPromptRequests(Router &router, std::uint32_t prompt);
    ServerRequests localRequests(const Router &router) const;
    bool isHot(TimePoint now) const;

    const PlacementLoad m_load;
    const ReplicaChooser &m_chooser;
    std::mt19937_64 m_random;
    std::vector<Router> m_routers;
    std::vector<Engine> m_engines;
    std::vector<Chat> m_chats;
    SimulationSteps m_steps;
    std::vector<std::pair<TimePoint, bool>> m_sent; ///< And whether the engine was overloaded.
    std::size_t m_inFlight = 0;                     ///< At all engines.
    std::size_t m_promptsRead = 0;
    std::size_t m_onTime = 0;
    std::size_t m_started = 0;
    std::size_t m_hotOnTime = 0;
    std::size_t m_hotStarted = 0;
    double m_loadSum = 0;
};

} // namespace comfrey
