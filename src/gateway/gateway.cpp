// Requests that pass through.
#include "gateway/gateway.h"

#include "gateway/exchange.h"

namespace comfrey {

Gateway::Gateway(GatewayParts parts) : m_parts(std::move(parts)), m_startedAt(now())
{
    m_parts.pool.onIdleLost([this](const std::string &server) {
        m_parts.dispatcher.crashes().onConnectionLost(server, now());
    });
}

Gateway::~Gateway() = default;

void Gateway::onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                        std::string body)
{
    const auto exchange =
        std::make_shared<Exchange>(*this, caller, std::move(head), std::move(body));
    m_exchanges.insert(exchange);
    exchange->start();
}

const CallerLimits &Gateway::limits() const
{
    const auto table = m_parts.dispatcher.table();
    return table ? table->config().limits : m_defaultLimits;
}

ResponseContent Gateway::onBadRequest(unsigned status, std::string_view reason)
{
    m_parts.metrics.count("comfrey_bad_requests_total",
                          "status=\"" + std::to_string(status) + "\"");
    LogLine(m_parts.log, "request-unreadable", now()).add("status", status).add("reason", reason);
    return plainContent(reason);
}

void Gateway::ended(const std::shared_ptr<Exchange> &exchange)
{
    m_exchanges.erase(exchange);
}

} // namespace comfrey
