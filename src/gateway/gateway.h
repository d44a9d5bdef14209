// Joins callers' connections, the decisions, and connections to backend servers. Everything runs on
// one event loop.
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
#include "gateway/headercodec.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"
#include "traffic/backendpool.h"
#include "traffic/callerconnection.h"

namespace comfrey {

class ProxiedRequest;
class PlaceSource;

struct GatewayDependencies
{
    boost::asio::io_context &loop;
    Dispatcher &dispatcher;
    const HeaderCodec &codec;
    BackendPool &pool;
    EventLog &log;
    Metrics &metrics;
    std::function<TimePoint()> clock;
    PlaceSource *leaseSource = nullptr; ///< Null: the router places all requests alone.
};

class Gateway : public RequestHandler
{
public:
    explicit Gateway(GatewayDependencies dependencies);
    ~Gateway() override;

    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                   std::string body) override;
    const CallerLimits &limits() const override;
    bool isStopping() const override { return m_stopping; }
    ResponseContent onBadRequest(unsigned status, std::string_view reason) override;

    /// From now on each response closes its connection.
    void stop() { m_stopping = true; }
    std::size_t inFlight() const { return m_activeRequests.size(); }

    GatewayDependencies &dependencies() { return m_dependencies; }
    TimePoint now() const { return m_dependencies.clock(); }
    /// True while the first read of the configuration is likely under way.
    bool isStarting() const { return now() - m_startedAt < kStartupDuration; }
    /// Connects to a server at which a request broke off, to see whether its process lives; then
    /// runs `then`.
    void checkServer(const std::shared_ptr<Replica> &replica, std::function<void()> onChecked);
    /// The exchange has ended.
    void removeRequest(const std::shared_ptr<ProxiedRequest> &request);

private:
    static constexpr Duration kStartupDuration = milliseconds(500); // several reads of the store
    /// A way of 10 ms between zones, twice. No answer within it says nothing of the process.
    static constexpr Duration kServerCheckTimeout = milliseconds(50);

    void onServerChecked(Replica &replica, std::optional<BreakKind> failure);

    GatewayDependencies m_dependencies;
    TimePoint m_startedAt;
    CallerLimits m_defaultLimits; ///< Before the first configuration.
    std::unordered_set<std::shared_ptr<ProxiedRequest>> m_activeRequests; ///< Requests under way.
    /// Servers that are being checked, by incarnation, and who waits for the end.
    std::map<std::string, std::vector<std::function<void()>>> m_pendingChecks;
    bool m_stopping = false;
};

} // namespace comfrey
