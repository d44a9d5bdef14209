// A fleet of routers that exchange updates, with backend servers that crash or fall silent when
// they run certain requests. Crashed servers start again after a delay.
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

/// A router with callers and a connection pool, connected as in platform/node.cpp but without a
/// store.
class ServingRouter : public SyncedRouter
{
public:
    ServingRouter(boost::asio::io_context &loop, const std::string &name, const std::string &seed)
        : SyncedRouter(loop, name, 0, seed, true), dispatcher(dispatcherSettings(name)),
          pool(loop, {milliseconds(350), milliseconds(1500), 16384}, milliseconds(8000)),
          gateway({loop, dispatcher, headers, pool, log, metrics, now}),
          callers(loop, gateway, now, 200), crashUpdates(dispatcher, feed, log, metrics),
          leavingUpdates(dispatcher.replicas(), feed, log)
    {
        CPPUNIT_ASSERT(callers.listen("127.0.0.1:0"));
    }

    void onFeedChanged() override
    {
        for (const FeedChange &change :
             feed.changesSince(std::exchange(appliedFeedNumber, feed.number()))) {
            if (change.record->topic == LeavingUpdates::kTopic)
                leavingUpdates.apply(*change.record, now());
            else
                crashUpdates.apply(*change.record, now());
        }
        crashUpdates.update(now());
    }

    void tick()
    {
        if (sync().readsStore()) {
            sync().setStoreReadable(true);
            sync().setStoreConfirmed(now());
        }
        dispatcher.tick(now());
        gateway.checkServersOfAbandonedRequests();
        const bool hasCrashUpdates = crashUpdates.publish(wallTime(), now());
        if (leavingUpdates.publish(wallTime()) || hasCrashUpdates) {
            onFeedChanged();
            sync().publish();
        }
        sync().tick(now());
    }

    static DispatcherSettings dispatcherSettings(const std::string &name)
    {
        DispatcherSettings settings;
        settings.router = name;
        return settings;
    }

    static std::uint64_t wallTime()
    {
        return static_cast<std::uint64_t>(now().time_since_epoch().count() / 1000);
    }

    platform::PlatformHeaders headers;
    Metrics metrics;
    Dispatcher dispatcher;
    BackendPool pool;
    Gateway gateway;
    CallerListener callers;
    CrashUpdates crashUpdates;
    LeavingUpdates leavingUpdates;
    bool hasReadKeptCrashes = false;     ///< From the store of the fleet.
    std::uint64_t appliedFeedNumber = 0; ///< Number of the last feed change that was applied.
};

/// Routers and scripted backend servers of one service, all on one event loop.
class CrashingFleet
{
public:
    /// Starts all servers and routers and waits until the routers have fresh updates.
    /// `restartDelay` is the time from a server's crash to the start of its next process.
    CrashingFleet(boost::asio::io_context &loop, std::size_t routers, std::size_t servers,
                  Duration restartDelay);

    /// Sends a request with a new id and the given body through a router. The status of the answer
    /// is added to `statuses`, or 0 if there is none. The body selects what the server does:
    /// - "end": the server's process ends when it begins to run the request.
    /// - "late": the server's process ends kLateEnd after it got the request.
    /// - "left": the server's process ends kLeftEnd after it got the request; its caller
    ///   disconnects after half of that.
    /// - "reset": the server resets the connection and keeps running.
    /// - "dark": the server falls silent for good after the first event of a stream.
    /// - "mute": the server falls silent for good before its answer.
    /// - any other: the server answers.
    /// A silent server is removed from the list after `unlistingDelay`, and the caller of "dark"
    /// and "mute" disconnects after `callerTimeout`.
    /// - any that comes with the prompt part kDeadlyPart: as "end".
    /// `promptParts` is a list "id:tokens,..." with hexadecimal ids, or empty.
    void send(std::size_t router, const std::string &path, const std::string &body,
              const std::string &promptParts = {});
    /// Runs the event loop, the routers' ticks and the scheduled actions for the given time.
    void run(Duration time);
    /// Runs the fleet until `done` returns true; returns false if the time limit of `runUntil`
    /// passes.
    bool runUntilDone(const std::function<bool()> &done);
    /// Starts one more router, which synchronises with the first one.
    void addRouter();
    /// All routers lose power; as many start anew and synchronise.
    void restartRouters();

    /// Prompt part that ends the server's process when it begins to run a request with it.
    static constexpr std::string_view kDeadlyPart = "dead";

    static constexpr Duration kLateEnd = milliseconds(800);
    static constexpr Duration kLeftEnd = milliseconds(150);

    std::size_t routerCount() const { return m_routers.size(); }
    ServingRouter &router(std::size_t index) { return *m_routers.at(index); }
    /// Times at which a request crashed or silenced a server.
    const std::vector<TimePoint> &crashTimes() const { return m_crashTimes; }
    /// Statuses of the answers to requests with the given body, in the order of arrival.
    const std::vector<unsigned> &statuses(const std::string &body) { return m_statuses[body]; }
    std::size_t openCalls() const { return m_calls.size(); }
    /// Number of requests that reached the server's current process.
    std::size_t requestsAt(std::size_t server) const
    {
        return m_servers.at(server)->processes.back()->requestCount();
    }
    /// Makes the server announce in all its answers that it is leaving.
    void announceLeaving(std::size_t server) { m_servers.at(server)->isLeaving = true; }
    /// Time from a server's start until it is listed at the routers.
    Duration listingDelay{0};
    /// Time from a server's silence to its removal from the list.
    Duration unlistingDelay = milliseconds(600);
    /// Time after which the caller of a request that silences its server disconnects.
    Duration callerTimeout = milliseconds(1300);
    /// Kept crashes in the platform's store, by key.
    std::map<std::string, std::string> keptCrashes;
    std::size_t storeCalls = 0; ///< About kept crashes.
    bool isStoreDown = false;
    bool keepsPort = false; ///< Whether restarted servers keep their address.

private:
    struct Server
    {
        BackendId id;
        /// Start time that the list shows for the current process; each start adds one.
        std::uint64_t startedAtMs = 0;
        bool isLeaving = false;
        bool isSilent = false;
        /// Only the last process may be running.
        std::vector<std::unique_ptr<ScriptedServer>> processes;
    };

    struct Call
    {
        std::string body;
        std::unique_ptr<RawCaller> caller;
        TimePoint disconnectAt = kNever; ///< When the caller gives up.
    };

    void startServer(Server &server);
    void endServer(Server &server);
    /// Makes the server ignore all further requests except "reset" and schedules its removal from
    /// the list.
    void silence(Server &server);
    void listServer(const Server &server);
    void onRequest(Server &server, ServerConnection &connection,
                   const ServerConnection::Request &request);
    /// Reads and writes kept crashes, as platform/crashstore.cpp does.
    void exchangeKeptCrashes(ServingRouter &router);
    /// Runs until all routers are up to date with the store.
    void runUntilFresh();
    void step();
    void schedule(Duration after, std::function<void()> action)
    {
        m_scheduledActions.emplace(now() + after, std::move(action));
    }
    static FleetConfig config();
    static ReplicaRecord recordOf(const Server &server);

    boost::asio::io_context &m_loop;
    Duration m_restartDelay;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::unique_ptr<ServingRouter>> m_routers;
    /// Earlier ones; their sockets may still have handlers in the event loop.
    std::vector<std::unique_ptr<ServingRouter>> m_endedRouters;
    std::vector<Call> m_calls;
    std::map<std::string, std::vector<unsigned>> m_statuses;
    std::multimap<TimePoint, std::function<void()>> m_scheduledActions;
    std::vector<TimePoint> m_crashTimes;
    TimePoint m_nextTick;
    std::uint64_t m_lastRequestId = 0;
};

} // namespace comfrey::loopback
