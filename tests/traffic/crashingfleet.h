// Several routers with callers, connection pools and news of each other, before servers whose
// process ends while a certain request runs and starts again later.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/crashupdates.h"
#include "gateway/gateway.h"
#include "gateway/leavingupdates.h"
#include "headers.h"
#include "syncedrouter.h"

namespace comfrey::loopback {

/// A router as platform/node.cpp joins it, without a store.
class ServingRouter : public SyncedRouter
{
public:
    ServingRouter(boost::asio::io_context &loop, const std::string &name, const std::string &seed)
        : SyncedRouter(loop, name, 0, seed, true),
          pool(loop, {milliseconds(350), milliseconds(1500), 16384}, milliseconds(8000)),
          gateway({loop, dispatcher, headers, pool, log, metrics, now}),
          callers(loop, gateway, now, 200), crashNews(dispatcher.crashGuard(), feed, log, metrics),
          leavingNews(dispatcher.replicas(), feed, log)
    {
        CPPUNIT_ASSERT(callers.listen("127.0.0.1:0"));
    }

    void onFeedChanged() override
    {
        for (const FeedChange &change : feed.changesSince(std::exchange(applied, feed.number()))) {
            if (change.record->topic == CrashUpdates::kTopic)
                crashNews.apply(*change.record, now());
            else if (change.record->topic == LeavingUpdates::kTopic)
                leavingNews.apply(*change.record, now());
        }
    }

    void tick()
    {
        if (sync().readsStore())
            sync().setStoreReadable(true);
        dispatcher.tick(now());
        const bool saysCrashes = crashNews.publish(wallTime(), now());
        if (leavingNews.publish(wallTime()) || saysCrashes) {
            onFeedChanged();
            sync().publish();
        }
        sync().tick(now());
    }

    static std::uint64_t wallTime()
    {
        return static_cast<std::uint64_t>(now().time_since_epoch().count() / 1000);
    }

    platform::PlatformHeaders headers;
    Metrics metrics;
    Dispatcher dispatcher{DispatcherSettings{}};
    BackendPool pool;
    Gateway gateway;
    CallerListener callers;
    CrashUpdates crashNews;
    LeavingUpdates leavingNews;
    std::uint64_t applied = 0; ///< Of the feed.
};

class CrashingFleet
{
public:
    /// `serverDownFor`: from the end of a server's process to its next start.
    CrashingFleet(boost::asio::io_context &loop, std::size_t routers, std::size_t servers,
                  Duration serverDownFor);

    /// A request of its own id with that body; the answer's status goes to `statuses`, 0 for none.
    /// Requests whose body is "end" end the server that begins to run them; "reset" is answered
    /// with a reset of the connection by a server that lives on; "dark" silences the server for
    /// good after the first event of a stream, "mute" before its answer: it leaves the list later,
    /// and the caller leaves too. All others are answered.
    void send(std::size_t router, const std::string &path, const std::string &body);
    /// Runs everything for a while.
    void run(Duration time);
    bool runUntilDone(const std::function<bool()> &done);
    void addRouter();

    std::size_t routerCount() const { return m_routers.size(); }
    ServingRouter &router(std::size_t index) { return *m_routers.at(index); }
    /// When a request that ends or silences its server reached one.
    const std::vector<TimePoint> &ends() const { return m_ends; }
    /// Statuses of the answers to requests with that body, in the order of their coming.
    const std::vector<unsigned> &statuses(const std::string &body) { return m_statuses[body]; }
    std::size_t openCalls() const { return m_calls.size(); }
    /// Of a server, all that reached it.
    std::size_t requestsAt(std::size_t server) const
    {
        return m_servers.at(server)->processes.back()->requestCount();
    }
    /// The server says in all its answers that it leaves.
    void leave(std::size_t server) { m_servers.at(server)->isLeaving = true; }
    /// A server that starts again is listed so long after its start.
    Duration listedAfter{0};
    Duration unlistedAfter = milliseconds(600); ///< Of a silent server: from its end.
    Duration patience = milliseconds(1300);     ///< Of callers of silent servers.
    bool keepsPort = false;                     ///< Servers start again at their old address.

private:
    struct Server
    {
        BackendId id;
        std::uint64_t born = 0;
        bool isLeaving = false;
        bool isSilent = false;
        std::vector<std::unique_ptr<ScriptedServer>> processes; ///< The last one may run.
    };

    struct Call
    {
        std::string body;
        std::unique_ptr<RawCaller> caller;
        TimePoint leavesAt = kNever;
    };

    void startServer(Server &server);
    /// The server does nothing more, and its port accepts nothing.
    void silence(Server &server);
    void list(const Server &server);
    void onRequest(Server &server, ServerConnection &connection,
                   const ServerConnection::Request &request);
    void step();
    void later(Duration after, std::function<void()> action)
    {
        m_later.emplace(now() + after, std::move(action));
    }
    static FleetConfig config();
    static ReplicaRecord recordOf(const Server &server);

    boost::asio::io_context &m_loop;
    Duration m_serverDownFor;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::unique_ptr<ServingRouter>> m_routers;
    std::vector<Call> m_calls;
    std::map<std::string, std::vector<unsigned>> m_statuses;
    std::multimap<TimePoint, std::function<void()>> m_later;
    std::vector<TimePoint> m_ends;
    TimePoint m_nextTick;
    std::uint64_t m_ids = 0;
};

} // namespace comfrey::loopback
