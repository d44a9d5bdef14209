// One sending of a chat to an engine.
#include "daemon/chatsender.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "daemon/backendclient.h"

namespace comfrey {

namespace {

constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::string_view kLastEvent = "[DONE]";
constexpr Tokens kProgressEvery = 32; // tokens between two progress events

std::string contentOf(const nlohmann::json &choice)
{
    const auto delta = choice.find("delta");
    if (delta == choice.end() || !delta->is_object())
        return {};
    return delta->value("content", "");
}

} // namespace

ChatSender::ChatSender(const SendToBackend &order, Exchange &exchange, RunningAttempt &running,
                       HttpClientPool &clients, EventSink &sink)
    : m_order(order), m_exchange(exchange), m_running(running), m_clients(clients), m_sink(sink),
      m_deadline(std::chrono::steady_clock::now() + order.timeout), m_reader(kMaxEventBytes)
{ }

AttemptEnded ChatSender::run()
{
    std::unique_ptr<httplib::Client> client = m_clients.take(m_order.address);
    client->set_read_timeout(m_order.timeout);
    m_running.attach(client.get());
    httplib::Request request = makeRequest();
    const httplib::Result result = client->send(request);
    m_running.detach();
    AttemptEnded ended;
    ended.attempt = m_order.attempt;
    ended.request = m_order.request;
    ended.how = endOf(result);
    ended.status = m_status;
    ended.tokens = m_tokens;
    ended.cachedPromptTokens = m_summary.cachedTokens;
    ended.backendLeaving = m_leaving;
    if (result && !m_running.isCancelled())
        m_clients.giveBack(m_order.address, std::move(client));
    return ended;
}

httplib::Request ChatSender::makeRequest()
{
    const ForwardedRequest &forwarded = m_exchange.forwarded();
    httplib::Request request;
    request.method = "POST";
    request.path = forwarded.path;
    request.body = forwarded.body;
    request.set_header("Content-Type", "application/json");
    request.set_header("X-Request-Id", m_order.request.value());
    request.set_header("X-Priority", std::to_string(static_cast<int>(m_order.priority)));
    request.set_header("X-Resume-At", std::to_string(m_order.resumeAt));
    if (!m_exchange.detail().chat.isEmpty())
        request.set_header("X-Chat-Id", m_exchange.detail().chat.value());
    if (m_order.importKvFrom)
        request.set_header("X-Import-Kv-From", m_order.importKvFrom->value());
    request.response_handler = [this](const httplib::Response &response) {
        return takeHead(response);
    };
    request.content_receiver = [this](const char *data, std::size_t size, std::uint64_t,
                                      std::uint64_t) { return takeBytes(data, size); };
    return request;
}

bool ChatSender::takeHead(const httplib::Response &response)
{
    m_status = response.status;
    m_notStarted = response.has_header("X-Not-Started");
    m_leaving = response.has_header("X-Leaving");
    return true;
}

bool ChatSender::takeBytes(const char *data, std::size_t size)
{
    if (m_running.isCancelled() || isLate())
        return false;
    if (m_status != 200)
        return true;
    return m_reader.feed({data, size}, [this](std::string_view event) { return takeEvent(event); });
}

bool ChatSender::isLate() const
{
    return std::chrono::steady_clock::now() > m_deadline;
}

bool ChatSender::takeEvent(std::string_view data)
{
    if (data == kLastEvent) {
        m_isWhole =
            !m_summary.finishReason.empty() && m_exchange.finish(m_order.attempt, m_summary);
        return true;
    }
    const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices") || !event["choices"].is_array()
        || event["choices"].empty()) {
        return false;
    }
    const nlohmann::json &choice = event["choices"][0];
    const std::string id = event.value("id", "");
    if (const auto usage = event.find("usage"); usage != event.end() && usage->is_object()) {
        m_summary.promptTokens = usage->value("prompt_tokens", Tokens{0});
        // The engine counts from the position where it was asked to begin.
        m_summary.completionTokens =
            m_order.resumeAt + usage->value("completion_tokens", Tokens{0});
        m_summary.cachedTokens = usage->value("cached_tokens", Tokens{0});
    }
    const std::string text = contentOf(choice);
    if (!text.empty() && !takeToken(id, event.value("position", Tokens{0}), text))
        return false;
    const auto reason = choice.find("finish_reason");
    if (reason == choice.end() || !reason->is_string())
        return true;
    return takeLastChunk(id, reason->get<std::string>());
}

bool ChatSender::takeLastChunk(const std::string &answerId, const std::string &finishReason)
{
    if (answerId != m_order.request.value()) {
        m_isForeign = true;
        return false;
    }
    m_summary.finishReason = finishReason;
    return true;
}

bool ChatSender::takeToken(const std::string &answerId, Tokens position, std::string text)
{
    switch (m_exchange.deliver(m_order.attempt, RequestId(answerId), position, std::move(text))) {
    case RelayVerdict::Deliver:
        ++m_tokens;
        if (m_tokens == 1 || m_tokens % kProgressEvery == 0) {
            m_sink.post(AttemptProgress{m_order.attempt, m_order.request, m_tokens,
                                        m_summary.cachedTokens});
        }
        return true;
    case RelayVerdict::Repeated:
        return true;
    case RelayVerdict::Superseded:
        m_isSuperseded = true;
        return false;
    case RelayVerdict::Foreign:
        m_isForeign = true;
        return false;
    case RelayVerdict::Gap:
        return false;
    }
    return false;
}

AttemptEnd ChatSender::endOf(const httplib::Result &result) const
{
    if (m_isWhole)
        return AttemptEnd::Completed;
    if (m_isForeign)
        return AttemptEnd::ForeignAnswer;
    if (m_running.isCancelled() || m_isSuperseded)
        return AttemptEnd::Cancelled;
    if (m_status != 0 && m_status != 200)
        return endOfStatus();
    const bool connected = result
        || (result.error() != httplib::Error::Connection
            && result.error() != httplib::Error::ConnectionTimeout);
    if (!connected)
        return AttemptEnd::NotConnected;
    if (isLate())
        return AttemptEnd::TimedOut;
    return m_status == 0 ? AttemptEnd::BrokenBeforeAnswer : AttemptEnd::BrokenInAnswer;
}

AttemptEnd ChatSender::endOfStatus() const
{
    // Only statuses that judge the request itself; a 408 may follow a start.
    constexpr int refusing[] = {400, 404, 413, 422, 429};
    const bool isRefused =
        std::find(std::begin(refusing), std::end(refusing), m_status) != std::end(refusing);
    return m_notStarted || isRefused ? AttemptEnd::RefusedUnstarted
                                     : AttemptEnd::BrokenBeforeAnswer;
}

} // namespace comfrey
