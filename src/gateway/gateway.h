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

class Exchange;
class LeaseSource;

struct GatewayParts
{
    boost::asio::io_context &loop;
    Dispatcher &dispatcher;
    const HeaderCodec &codec;
    BackendPool &pool;
    EventLog &log;
    Metrics &metrics;
    std::function<TimePoint()> clock;
    LeaseSource *places = nullptr; ///< Null: the router places all requests alone.
};

class Gateway : public RequestHandler
{
public:
    explicit Gateway(GatewayParts parts);
    ~Gateway() override;

    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                   std::string body) override;
    const CallerLimits &limits() const override;
    bool isStopping() const override { return m_stopping; }
    ResponseContent onBadRequest(unsigned status, std::string_view reason) override;

    /// From now on each response closes its connection.
    void stop() { m_stopping = true; }
    std::size_t inFlight() const { return m_exchanges.size(); }

    GatewayParts &parts() { return m_parts; }
    TimePoint now() const { return m_parts.clock(); }
    /// True while the first read of the configuration is likely under way.
    bool isStarting() const { return now() - m_startedAt < kStartTime; }
    /// Connects to a server at which a request broke off, to see whether its process lives; then
    /// runs `then`.
    void checkServer(const std::shared_ptr<Replica> &replica, std::function<void()> then);
    /// The exchange has ended.
    void ended(const std::shared_ptr<Exchange> &exchange);

private:
    static constexpr Duration kStartTime = milliseconds(500); // several reads of the store
    /// A way of 10 ms between zones, twice. No answer within it says nothing of the process.
    static constexpr Duration kCheckLimit = milliseconds(50);

    void onChecked(Replica &replica, std::optional<BreakKind> failure);

    GatewayParts m_parts;
    TimePoint m_startedAt;
    CallerLimits m_defaultLimits;                              ///< Before the first configuration.
    std::unordered_set<std::shared_ptr<Exchange>> m_exchanges; ///< Requests under way.
    /// Servers that are being checked, by incarnation, and who waits for the end.
    std::map<std::string, std::vector<std::function<void()>>> m_checks;
    bool m_stopping = false;
};

} // namespace comfrey
