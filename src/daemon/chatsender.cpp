// One sending of a chat to an engine.
#include "daemon/chatsender.h"

#include <algorithm>
#include <limits>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "daemon/platformanswers.h"

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

Tokens tokensMember(const nlohmann::json &object, const char *name)
{
    return static_cast<Tokens>(unsignedMember(object, name, 0, std::numeric_limits<Tokens>::max()));
}

} // namespace

ChatSender::ChatSender(SendingParts &parts, SendToBackend order, std::shared_ptr<Exchange> exchange)
    : BackendSender(parts, std::move(order), std::move(exchange)), m_reader(kMaxEventBytes)
{ }

std::vector<HttpField> ChatSender::fields() const
{
    std::vector<HttpField> fields = {
        {"X-Priority", std::to_string(static_cast<int>(order().priority))},
        {"X-Resume-At", std::to_string(order().resumeAt)}};
    if (!exchange().detail().chat.isEmpty())
        fields.push_back({"X-Chat-Id", exchange().detail().chat.value()});
    if (order().importKvFrom)
        fields.push_back({"X-Import-Kv-From", order().importKvFrom->value()});
    return fields;
}

bool ChatSender::takeHead(const HttpHead &head)
{
    m_status = static_cast<int>(head.status);
    m_notStarted = head.count("X-Not-Started") > 0;
    m_leaving = head.count("X-Leaving") > 0;
    return true;
}

bool ChatSender::takeBytes(std::string_view bytes)
{
    if (m_status != 200)
        return true;
    return m_reader.feed(bytes, [this](std::string_view event) { return takeEvent(event); });
}

std::size_t ChatSender::heldBytes() const
{
    return m_reader.unfinishedBytes() + exchange().heldBytes();
}

bool ChatSender::takeEvent(std::string_view data)
{
    if (data == kLastEvent) {
        m_isWhole =
            !m_summary.finishReason.empty() && exchange().finish(order().attempt, m_summary);
        return true;
    }
    const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices") || !event["choices"].is_array()
        || event["choices"].empty()) {
        return false;
    }
    try {
        return takeChunk(event);
    } catch (const nlohmann::json::exception &error) {
        LOG(WARNING) << "event=answer-unreadable request=" << order().request.value()
                     << " backend=" << order().backend.value() << " reason=\"" << error.what()
                     << '"';
        return false;
    }
}

bool ChatSender::takeChunk(const nlohmann::json &event)
{
    const nlohmann::json &choice = event["choices"][0];
    const std::string id = event.value("id", "");
    if (const auto usage = event.find("usage"); usage != event.end() && usage->is_object()) {
        m_summary.promptTokens = tokensMember(*usage, "prompt_tokens");
        // The engine counts from the position where it was asked to begin.
        m_summary.completionTokens = order().resumeAt + tokensMember(*usage, "completion_tokens");
        m_summary.cachedTokens = tokensMember(*usage, "cached_tokens");
    }
    const std::string text = contentOf(choice);
    if (!text.empty() && !takeToken(id, tokensMember(event, "position"), text))
        return false;
    const auto reason = choice.find("finish_reason");
    if (reason == choice.end() || !reason->is_string())
        return true;
    return takeLastChunk(id, reason->get<std::string>());
}

bool ChatSender::takeLastChunk(const std::string &answerId, const std::string &finishReason)
{
    if (answerId != order().request.value()) {
        m_isForeign = true;
        return false;
    }
    m_summary.finishReason = finishReason;
    return true;
}

bool ChatSender::takeToken(const std::string &answerId, Tokens position, const std::string &text)
{
    switch (exchange().deliver(order().attempt, RequestId(answerId), position, text)) {
    case RelayVerdict::Deliver:
        ++m_tokens;
        if (m_tokens == 1 || m_tokens % kProgressEvery == 0) {
            sink().post(AttemptProgress{order().attempt, order().request, m_tokens,
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

void ChatSender::describeEnd(Cause cause, AttemptEnded &ended)
{
    ended.how = endOf(cause);
    ended.status = m_status;
    ended.tokens = m_tokens;
    ended.cachedPromptTokens = m_summary.cachedTokens;
    ended.backendLeaving = m_leaving;
}

AttemptEnd ChatSender::endOf(Cause cause) const
{
    if (m_isWhole)
        return AttemptEnd::Completed;
    if (m_isForeign)
        return AttemptEnd::ForeignAnswer;
    if (cause == Cause::Cancelled || m_isSuperseded)
        return AttemptEnd::Cancelled;
    if (m_status != 0 && m_status != 200)
        return endOfStatus();
    if (cause == Cause::NotConnected)
        return AttemptEnd::NotConnected;
    if (cause == Cause::TimedOut)
        return AttemptEnd::TimedOut;
    return m_status == 0 ? AttemptEnd::BrokenBeforeAnswer : AttemptEnd::BrokenInAnswer;
}

AttemptEnd ChatSender::endOfStatus() const
{
    if (m_notStarted)
        return AttemptEnd::RefusedUnstarted;
    // Statuses that judge the request are no sign of an engine that broke.
    constexpr int judging[] = {400, 404, 413, 422, 429};
    const bool isJudged =
        std::find(std::begin(judging), std::end(judging), m_status) != std::end(judging);
    return isJudged ? AttemptEnd::FailedByBackend : AttemptEnd::BrokenBeforeAnswer;
}

} // namespace comfrey
