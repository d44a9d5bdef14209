// One sending of a caller's request to a back end.
#include "daemon/backendsender.h"

#include "traffic/callerlistener.h"

namespace comfrey {

BackendSender::BackendSender(SendingParts &parts, SendToBackend order,
                             std::shared_ptr<Exchange> exchange)
    : m_parts(parts), m_order(std::move(order)), m_exchange(std::move(exchange)),
      m_timer(parts.loop)
{ }

void BackendSender::start(EndHandler onEnded)
{
    m_onEnded = std::move(onEnded);
    const auto endpoint = parseEndpoint(m_order.address.value());
    if (!endpoint) {
        end(Cause::NotConnected);
        return;
    }
    armTimer();
    // A kept connection may have been closed by the other side: the request could then have left
    // this process without the certainty that it did not run.
    m_connection = m_order.freshConnection
        ? std::make_shared<BackendConnection>(m_parts.loop, *endpoint, m_parts.limits)
        : m_parts.pool.take(poolName(), *endpoint, m_parts.clock.now());
    const ForwardedRequest &forwarded = m_exchange->forwarded();
    std::string head = forwarded.method + ' ' + forwarded.path + " HTTP/1.1\r\n";
    std::vector<HttpField> all = fields();
    all.push_back({"Host", m_order.address.value()});
    all.push_back({"X-Request-Id", m_order.request.value()});
    if (!forwarded.contentType.empty())
        all.push_back({"Content-Type", forwarded.contentType});
    if (!forwarded.body.empty() || forwarded.method != "GET")
        all.push_back({"Content-Length", std::to_string(forwarded.body.size())});
    appendFields(head, all);
    // The body lives as long as the exchange that it is a part of.
    m_connection->send(std::move(head),
                       std::shared_ptr<const std::string>(m_exchange, &forwarded.body),
                       forwarded.method == "HEAD", this);
}

void BackendSender::armTimer()
{
    m_timer.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(m_order.timeout));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && self->m_connection)
            self->stop(self->m_connection->hasSent() ? Cause::TimedOut : Cause::NotConnected);
    });
}

void BackendSender::cancel()
{
    stop(Cause::Cancelled);
}

void BackendSender::stop(Cause cause)
{
    if (!m_onEnded)
        return;
    if (m_connection)
        std::exchange(m_connection, nullptr)->drop();
    end(cause);
}

bool BackendSender::acceptsHead(const HttpHead &head)
{
    const std::string *id = head.find("X-Request-Id");
    return id ? *id == m_order.request.value() : !m_connection->isKept();
}

void BackendSender::onHead(HttpHead &head)
{
    const auto self = shared_from_this();
    if (!takeHead(head))
        stop(Cause::Stopped);
}

void BackendSender::onBody(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (!takeBytes(bytes)) {
        stop(Cause::Stopped);
        return;
    }
    if (!m_connection)
        return;
    m_connection->setHeldByListener(heldBytes());
    if (!m_exchange->isBacklogged())
        return;
    m_connection->setPaused(true);
    m_exchange->whenRoom([self] {
        if (self->m_connection)
            self->m_connection->setPaused(false);
    });
}

void BackendSender::onEnd()
{
    const auto connection = std::exchange(m_connection, nullptr);
    if (m_order.freshConnection)
        connection->drop();
    else
        m_parts.pool.giveBack(poolName(), connection, m_parts.clock.now());
    end(Cause::Whole);
}

void BackendSender::onBroken(BreakKind kind)
{
    m_connection = nullptr;
    end(wasSent(kind) ? Cause::Broken : Cause::NotConnected);
}

void BackendSender::end(Cause cause)
{
    const auto self = shared_from_this();
    m_timer.cancel();
    AttemptEnded ended;
    ended.attempt = m_order.attempt;
    ended.request = m_order.request;
    describeEnd(cause, ended);
    m_exchange->release(m_order.attempt);
    if (const EndHandler onEnded = std::exchange(m_onEnded, nullptr))
        onEnded(std::move(ended));
}

} // namespace comfrey
