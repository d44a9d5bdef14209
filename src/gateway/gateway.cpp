// Requests that pass through.
#include "gateway/gateway.h"

#include "gateway/exchange.h"
#include "traffic/callerlistener.h"

namespace comfrey {

Gateway::Gateway(GatewayParts parts) : m_parts(std::move(parts)), m_startedAt(now()) { }

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

void Gateway::checkServer(const std::shared_ptr<Replica> &replica, std::function<void()> then)
{
    auto &waiting = m_checks[replica->incarnation];
    waiting.push_back(std::move(then));
    if (waiting.size() > 1)
        return;
    const auto endpoint = parseEndpoint(replica->record.address.value());
    if (!endpoint) {
        onChecked(*replica, BreakKind::ConnectFailed);
        return;
    }
    m_parts.pool.probe(
        replica->incarnation, *endpoint, kCheckLimit, now(),
        [this, replica](std::optional<BreakKind> failure) { onChecked(*replica, failure); });
}

void Gateway::onChecked(Replica &replica, std::optional<BreakKind> failure)
{
    const bool isRefused = failure == BreakKind::Refused;
    const std::string_view outcome = !failure  ? "it accepts connections"
        : isRefused                            ? "it refuses connections"
        : failure == BreakKind::ConnectTimeout ? "no answer"
                                               : "no connection could be opened here";
    LogLine(m_parts.log, "server-checked", now())
        .add("server", replica.incarnation)
        .add("outcome", outcome);
    m_parts.metrics.count("comfrey_server_checks_total", "outcome=\"" + std::string(outcome) + '"');
    if (isRefused || failure == BreakKind::ConnectTimeout)
        m_parts.dispatcher.onUnreachableWithoutRequest(replica, isRefused, now());
    const auto waiting = m_checks.extract(replica.incarnation);
    for (const auto &then : waiting.mapped())
        then();
}

void Gateway::ended(const std::shared_ptr<Exchange> &exchange)
{
    m_exchanges.erase(exchange);
}

} // namespace comfrey
