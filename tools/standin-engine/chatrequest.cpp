#include "standin-engine/chatrequest.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace comfrey::standin {

namespace {

constexpr Tokens kDefaultAnswerTokens = 16;

Tokens unsignedField(const nlohmann::json &body, const char *name, Tokens fallback)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_number_unsigned() ? found->get<Tokens>() : fallback;
}

std::uint32_t numberHeader(const httplib::Request &request, const char *name,
                           std::uint32_t fallback)
{
    if (!request.has_header(name))
        return fallback;
    return static_cast<std::uint32_t>(
        std::strtoul(request.get_header_value(name).c_str(), nullptr, 10));
}

/// The answer ends by itself after "standin_tokens", or at "max_tokens".
void readLength(const nlohmann::json &body, Sequence &sequence)
{
    const Tokens most = unsignedField(body, "max_tokens", kDefaultAnswerTokens);
    const Tokens own = unsignedField(body, "standin_tokens", most);
    sequence.answerTokens = std::min(most, own);
    sequence.reachesLimit = own >= most;
}

} // namespace

Result<ChatRequest> readChatRequest(const httplib::Request &request, const std::string &crashMarker)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("messages"))
        return failure(ErrorCode::MalformedMessage, "the body has no \"messages\"");
    const nlohmann::json &messages = body.at("messages");
    ChatRequest result;
    result.sequence = std::make_shared<Sequence>();
    Sequence &sequence = *result.sequence;
    sequence.parts = promptParts(messages);
    if (sequence.parts.empty())
        return failure(ErrorCode::MalformedMessage, "\"messages\" is not a list of messages");
    sequence.id = request.get_header_value("X-Request-Id");
    sequence.chat = request.get_header_value("X-Chat-Id");
    sequence.priority = static_cast<int>(std::min(2U, numberHeader(request, "X-Priority", 1)));
    sequence.promptTokens = countTokens(sequence.parts);
    sequence.sharedPrefix = sharedPrefixHash(messages);
    readLength(body, sequence);
    sequence.resumeAt = std::min(sequence.answerTokens, numberHeader(request, "X-Resume-At", 0));
    sequence.hasCrashMarker =
        !crashMarker.empty() && request.body.find(crashMarker) != std::string::npos;
    result.model = body.value("model", "");
    result.isStreamed = body.value("stream", false);
    result.importFrom = request.get_header_value("X-Import-Kv-From");
    return result;
}

} // namespace comfrey::standin
