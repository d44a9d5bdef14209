// One sending of a call to a replica of a plain service.
#include "daemon/servicesender.h"

#include "daemon/backendclient.h"

namespace comfrey {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{500};

} // namespace

ServiceSender::ServiceSender(const SendToBackend &order, Exchange &exchange,
                             RunningAttempt &running, HttpClientPool &clients)
    : m_order(order), m_exchange(exchange), m_running(running), m_clients(clients)
{ }

AttemptEnded ServiceSender::run()
{
    std::unique_ptr<httplib::Client> client = takeClient();
    client->set_read_timeout(m_order.timeout);
    m_running.attach(client.get());
    const httplib::Result result = client->send(makeRequest());
    m_running.detach();
    AttemptEnded ended;
    ended.attempt = m_order.attempt;
    ended.request = m_order.request;
    ended.how = endOf(result);
    if (result) {
        ended.status = result->status;
        ended.backendLeaving = result->has_header("X-Leaving");
        ended.body = result->body;
        ended.contentType = result->get_header_value("Content-Type");
    }
    if (ended.how == AttemptEnd::Completed) {
        AttemptSummary summary;
        summary.status = ended.status;
        summary.body = ended.body;
        summary.contentType = ended.contentType;
        m_exchange.finish(m_order.attempt, std::move(summary));
    }
    if (result && !m_order.freshConnection)
        m_clients.giveBack(m_order.address, std::move(client));
    return ended;
}

std::unique_ptr<httplib::Client> ServiceSender::takeClient()
{
    if (!m_order.freshConnection)
        return m_clients.take(m_order.address);
    // A kept connection may have been closed by the other side: the request could then have left
    // this process without the certainty that it did not run.
    HttpClientOptions options;
    options.connectTimeout = kConnectTimeout;
    options.keepAlive = false;
    return makeHttpClient(m_order.address, options);
}

httplib::Request ServiceSender::makeRequest() const
{
    const ForwardedRequest &forwarded = m_exchange.forwarded();
    httplib::Request request;
    request.method = forwarded.method;
    request.path = forwarded.path;
    request.body = forwarded.body;
    if (!forwarded.contentType.empty())
        request.set_header("Content-Type", forwarded.contentType);
    request.set_header("X-Request-Id", m_order.request.value());
    const IdempotencyKey &key = m_exchange.detail().idempotencyKey;
    if (!key.isEmpty())
        request.set_header("Idempotency-Key", key.value());
    return request;
}

bool ServiceSender::isOwnAnswer(const httplib::Response &response) const
{
    return response.get_header_value("X-Request-Id") == m_order.request.value();
}

AttemptEnd ServiceSender::endOf(const httplib::Result &result) const
{
    if (!result) {
        switch (result.error()) {
        case httplib::Error::Connection:
        case httplib::Error::ConnectionTimeout:
            return AttemptEnd::NotConnected;
        default:
            return m_running.isCancelled() ? AttemptEnd::Cancelled : AttemptEnd::BrokenBeforeAnswer;
        }
    }
    if (!isOwnAnswer(*result))
        return AttemptEnd::ForeignAnswer;
    if (result->status == 503 && result->has_header("X-Not-Started"))
        return AttemptEnd::RefusedUnstarted;
    return AttemptEnd::Completed;
}

} // namespace comfrey
