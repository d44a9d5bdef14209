// Routers as processes before stand-ins, with callers that check every answer while faults come in
// series and overlap.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "faultypath.h"
#include "loopback.h"
#include "routerprocess.h"
#include "standinserver.h"
#include "standinstore.h"

namespace comfrey::soak {

struct SoakSettings
{
    std::uint64_t seed = 1;
    Duration length = milliseconds(15000);
    std::string folder;
};

class Soak
{
public:
    explicit Soak(const SoakSettings &settings);
    ~Soak();

    /// Runs to the end and returns what was broken, a line each.
    std::vector<std::string> run();
    std::string summary() const;

private:
    /// A request that is under way.
    struct Call
    {
        std::string id;
        std::string path;
        RouterProcess *router = nullptr;
        int routerStart = 0; ///< The router's process that it was sent to.
        TimePoint sentAt;
        std::shared_ptr<loopback::RawCaller> caller;
        bool wasStopped = false; ///< The router got SIGTERM while the request was under way.
        bool isSlow = false;     ///< Its body ends while its router stops.
        bool isJudged = true;    ///< False if a fault on the way excuses a missing answer.
    };

    void startFleet();
    void step();
    void disturbRouter();
    void disturbStore();
    void disturbServers();
    void disturbPath();
    void disturbClock();
    void changeConfig();
    void replaceServer();
    StandInServer &startServer();
    /// One more time the request that ends the servers that run it.
    void sendEnding();
    void onServerEnded(const std::string &id);
    void look();
    void sendCall();
    /// Sends `head` to the router under a new id and expects an answer.
    void send(RouterProcess &router, std::string path, const std::string &fields);
    /// Callers whose bodies end late in a planned stop of the router.
    void sendSlowly(RouterProcess &router);
    bool hasRun(const std::string &id) const;
    /// A caller that leaves while its request runs: the server is to be told within half a second.
    void sendLeaver();
    void checkCall(Call &call, const loopback::RawCaller::Response &response);
    void checkUnanswered(Call &call);
    void checkRuns();
    void checkLeaving(const StandInServer &server, std::size_t tries);
    void checkEndings();
    void checkPauses();
    bool isQuiet() const;
    void checkConfig();
    void publishConfig();
    void later(Duration after, std::function<void()> action);
    void broken(const std::string &what);
    std::size_t pick(std::size_t count) { return m_random() % count; }

    SoakSettings m_settings;
    std::mt19937_64 m_random;
    boost::asio::io_context m_loop{1};
    StandInStore m_store;
    std::vector<std::unique_ptr<FaultyPath>> m_storePaths; ///< Of each router.
    std::vector<std::unique_ptr<StandInServer>> m_servers; ///< Also those that have left.
    std::set<std::string> m_leftServers;
    std::vector<std::unique_ptr<RouterProcess>> m_routers;
    std::list<Call> m_calls;
    std::multimap<TimePoint, std::function<void()>> m_later;
    std::set<std::string> m_refused; ///< Ids that were told "not run".
    std::set<std::string> m_once;    ///< Ids that may run once.
    /// Which process each request was sent to: the router and its start.
    std::map<std::string, std::pair<const RouterProcess *, int>> m_sentTo;
    std::set<std::string> m_calmEndings; ///< Ids of ending requests at undisturbed routers.
    std::vector<std::string> m_broken;
    std::uint64_t m_version = 0;
    TimePoint m_storeDisturbedUntil = TimePoint::min();
    TimePoint m_pathDisturbedUntil = TimePoint::min(); ///< To some server.
    TimePoint m_versionAt;
    TimePoint m_end;
    std::uint64_t m_ids = 0;
    std::size_t m_answered = 0;
    std::size_t m_told = 0; ///< Answered with a failure or a refusal.
    std::size_t m_cut = 0;
    Duration m_longestLag{0};  ///< Of this process's own actions and checks.
    std::size_t m_slow = 0;    ///< Requests whose bodies ended in a planned stop.
    std::size_t m_leavers = 0; ///< Whose server was seen to be told.
    std::size_t m_pauses = 0;  ///< That were checked.
};

} // namespace comfrey::soak
