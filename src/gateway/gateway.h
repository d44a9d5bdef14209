// Connects callers' connections, the dispatcher, and the connections to backend servers. Everything
// runs on one event loop.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "dispatch/dispatcher.h"
#include "dispatch/plannedstop.h"
#include "gateway/headercodec.h"
#include "telemetry/eventlog.h"
#include "telemetry/linerate.h"
#include "telemetry/metrics.h"
#include "traffic/backendpool.h"
#include "traffic/callerconnection.h"

namespace comfrey {

class ProxiedRequest;
class LeaseSource;

/// What a gateway works with. All of it must outlive the gateway.
struct GatewayDependencies
{
    boost::asio::io_context &loop;
    Dispatcher &dispatcher;
    const HeaderCodec &codec;
    BackendPool &pool;
    EventLog &log;
    Metrics &metrics;
    std::function<TimePoint()> clock;
    LeaseSource *leaseSource =
        nullptr; ///< Null: this router chooses all servers itself, without leases.
    std::shared_ptr<CallerAccount> account =
        nullptr; ///< Null: what callers make it hold has no bound.
};

/// Proxies each request of a caller to a backend server.
class Gateway : public RequestHandler
{
public:
    explicit Gateway(GatewayDependencies dependencies);
    ~Gateway() override;

    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                   std::string body) override;
    const CallerLimits &limits() const override;
    bool isStopping() const override { return m_stop.hasBegun(); }
    /// Logs and counts a request that could not be read, and returns the response's content.
    ResponseContent onBadRequest(unsigned status, std::string_view reason) override;

    std::shared_ptr<CallerAccount> account() override { return m_dependencies.account; }
    bool closeKeptServer() override { return m_dependencies.pool.closeOneIdle(); }
    /// Counts it, and logs it within a rate.
    void onCallerClosed(Shortage shortage) override;

    /// From now on each response closes its caller's connection; requests in flight are finished.
    /// Times as in PlannedStop.
    void stop(TimePoint announcedAt, TimePoint end) { m_stop.begin(announcedAt, end); }
    const PlannedStop &plannedStop() const { return m_stop; }
    /// Answers what is still in flight, since the process ends.
    void endRequests();
    /// Number of requests that have not ended.
    std::size_t inFlight() const { return m_activeRequests.size(); }

    GatewayDependencies &dependencies() { return m_dependencies; }
    TimePoint now() const { return m_dependencies.clock(); }
    /// True while this router is probably still reading its first configuration.
    bool isStarting() const { return now() - m_startedAt < kStartupDuration; }
    /// Connects to a server whose connection broke during an answer, to find out whether its
    /// process still runs; reports an unreachable one to the dispatcher, then calls `onChecked`.
    /// Calls for the same incarnation share one check.
    void checkServer(const std::shared_ptr<Replica> &replica, std::function<void()> onChecked);
    /// Checks servers that may have ended under a request whose caller has left; to be called
    /// regularly.
    void checkServersOfAbandonedRequests();
    /// Forgets a request that has ended.
    void removeRequest(const std::shared_ptr<ProxiedRequest> &request);

private:
    static constexpr Duration kStartupDuration =
        milliseconds(500); // time for several reads of the store
    /// Leaves room for a round trip between zones at 10 ms each way. A timeout does not show
    /// whether the server's process runs.
    static constexpr Duration kServerCheckTimeout = milliseconds(50);

    /// Logs the result of a check and calls those who wait for it. `failure` is empty if the server
    /// accepted the connection.
    void onServerChecked(Replica &replica, std::optional<BreakKind> failure);

    GatewayDependencies m_dependencies;
    TimePoint m_startedAt;
    CallerLimits m_defaultLimits; ///< Apply before the first configuration.
    std::unordered_set<std::shared_ptr<ProxiedRequest>>
        m_activeRequests; ///< Requests that have not ended.
    /// Callbacks that wait for a check, by the incarnation of the checked server.
    std::map<std::string, std::vector<std::function<void()>>> m_pendingChecks;
    PlannedStop m_stop;
    LineRate m_refusalLines; ///< Of callers that were refused or closed before a request was whole.
};

} // namespace comfrey
