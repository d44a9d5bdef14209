// Requests in flight, and checks of servers whose connections broke.
#include "gateway/gateway.h"

#include "gateway/proxiedrequest.h"
#include "traffic/callerlistener.h"

namespace comfrey {

Gateway::Gateway(GatewayDependencies dependencies)
    : m_dependencies(std::move(dependencies)), m_startedAt(now())
{ }

Gateway::~Gateway() = default;

void Gateway::onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                        std::string body)
{
    const auto request =
        std::make_shared<ProxiedRequest>(*this, caller, std::move(head), std::move(body));
    m_activeRequests.insert(request);
    request->start();
}

const CallerLimits &Gateway::limits() const
{
    const auto table = m_dependencies.dispatcher.table();
    return table ? table->config().limits : m_defaultLimits;
}

ResponseContent Gateway::onBadRequest(unsigned status, std::string_view reason)
{
    m_dependencies.metrics.count("comfrey_bad_requests_total",
                                 "status=\"" + std::to_string(status) + "\"");
    if (m_refusalLines.allows(now())) {
        LogLine(m_dependencies.log, "request-unreadable", now())
            .add("status", status)
            .add("reason", reason)
            .add("lines_left_out", m_refusalLines.takeLeftOut());
    }
    return plainContent(reason);
}

void Gateway::onCallerClosed(Shortage shortage)
{
    const std::string_view reason = shortage == Shortage::Memory ? "memory" : "descriptors";
    m_dependencies.metrics.count("comfrey_callers_closed_total",
                                 "reason=\"" + std::string(reason) + "\"");
    if (m_refusalLines.allows(now())) {
        LogLine(m_dependencies.log, "caller-closed", now())
            .add("reason", reason)
            .add("lines_left_out", m_refusalLines.takeLeftOut());
    }
}

void Gateway::checkServer(const std::shared_ptr<Replica> &replica, std::function<void()> onChecked)
{
    auto &waiters = m_pendingChecks[replica->incarnation];
    waiters.push_back(std::move(onChecked));
    if (waiters.size() > 1)
        return;
    const auto endpoint = parseEndpoint(replica->record.address.value());
    if (!endpoint) {
        onServerChecked(*replica, BreakKind::ConnectFailed);
        return;
    }
    m_dependencies.pool.probe(
        replica->incarnation, *endpoint, kServerCheckTimeout, now(),
        [this, replica](std::optional<BreakKind> failure) { onServerChecked(*replica, failure); });
}

void Gateway::checkServersOfAbandonedRequests()
{
    Dispatcher &dispatcher = m_dependencies.dispatcher;
    for (const std::string &incarnation : dispatcher.crashGuard().takeDueChecks(now())) {
        if (m_dependencies.pool.hasOpenConnection(incarnation))
            continue; // A server that ends closes it.
        for (const auto &replica : dispatcher.replicas().all()) {
            // The end of a server that leaves is no crash.
            if (replica->incarnation == incarnation && !replica->isLeaving)
                checkServer(replica, [] {});
        }
    }
}

void Gateway::onServerChecked(Replica &replica, std::optional<BreakKind> failure)
{
    const bool isRefused = failure == BreakKind::Refused;
    const std::string_view outcome = !failure  ? "it accepts connections"
        : isRefused                            ? "it refuses connections"
        : failure == BreakKind::ConnectTimeout ? "no answer"
                                               : "no connection could be opened here";
    LogLine(m_dependencies.log, "server-checked", now())
        .add("server", replica.incarnation)
        .add("outcome", outcome);
    m_dependencies.metrics.count("comfrey_server_checks_total",
                                 "outcome=\"" + std::string(outcome) + '"');
    if (isRefused || failure == BreakKind::ConnectTimeout)
        m_dependencies.dispatcher.onUnreachableWithoutRequest(replica, isRefused, now());
    const auto waiters = m_pendingChecks.extract(replica.incarnation);
    for (const auto &onChecked : waiters.mapped())
        onChecked();
}

void Gateway::endRequests()
{
    const auto requests = m_activeRequests;
    for (const auto &request : requests)
        request->onProcessEnds();
}

void Gateway::removeRequest(const std::shared_ptr<ProxiedRequest> &request)
{
    m_activeRequests.erase(request);
}

} // namespace comfrey
