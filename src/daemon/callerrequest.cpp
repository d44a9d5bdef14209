// Turns an HTTP request of a caller into what decisions need and what back ends are sent.
#include "daemon/callerrequest.h"

#include <charconv>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "common/encoding.h"

namespace comfrey {

namespace {

constexpr std::size_t kBytesPerToken = 4; // of a prompt, for the estimate
constexpr Tokens kDefaultMaxTokens = 256;
constexpr Tokens kLargestMaxTokens = 1000000;
constexpr std::size_t kMaxNameBytes = 256; // of a chat id or an idempotency key
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kServicePrefix = "/v1/services/";

tl::unexpected<RequestFault> malformed(std::string text)
{
    return tl::make_unexpected(RequestFault{CallerError::Malformed, std::move(text)});
}

std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0)
{
    return XXH64(text.data(), text.size(), seed);
}

Fingerprint fingerprintOf(const CallerRequest &detail, std::string_view content)
{
    return Fingerprint(hashOf(content, hashOf(detail.apiKey.value())));
}

std::optional<Duration> callerTimeoutOf(const HttpHead &head)
{
    const std::string_view text = head.valueOf("X-Timeout-Ms");
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || value <= 0)
        return std::nullopt;
    return milliseconds(value);
}

/// The text of all messages, and of the system message by itself.
struct Prompt
{
    std::string text;
    std::string system;
    std::string firstUser;
};

tl::expected<Prompt, RequestFault> promptOf(const nlohmann::json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return malformed("\"messages\" must be a list with at least one message");
    Prompt prompt;
    for (const nlohmann::json &message : *messages) {
        if (!message.is_object() || !message.contains("content") || !message["content"].is_string()
            || !message.contains("role") || !message["role"].is_string()) {
            return malformed("each of \"messages\" needs a text \"role\" and a text \"content\"");
        }
        const std::string content = message["content"].get<std::string>();
        const std::string role = message["role"].get<std::string>();
        if (role == "system" && prompt.system.empty())
            prompt.system = content;
        if (role == "user" && prompt.firstUser.empty())
            prompt.firstUser = content;
        prompt.text += content;
    }
    return prompt;
}

tl::expected<Tokens, RequestFault> maxTokensOf(const nlohmann::json &body)
{
    const auto found = body.find("max_tokens");
    if (found == body.end())
        return kDefaultMaxTokens;
    if (!found->is_number_integer())
        return malformed("\"max_tokens\" must be a whole number");
    const auto value = found->get<std::int64_t>();
    if (value < 1 || value > kLargestMaxTokens)
        return malformed("\"max_tokens\" must be between 1 and "
                         + std::to_string(kLargestMaxTokens));
    return static_cast<Tokens>(value);
}

ChatId chatOf(const HttpHead &head, const Prompt &prompt)
{
    const std::string named(head.valueOf("X-Chat-Id"));
    if (!named.empty())
        return ChatId(named);
    // A chat without an id is recognised by how it began.
    return ChatId("p" + std::to_string(hashOf(prompt.firstUser, hashOf(prompt.system))));
}

bool isIdempotentMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace

ApiKeyHash apiKeyOf(const HttpHead &head)
{
    const std::string_view header = head.valueOf("Authorization");
    if (header.compare(0, kBearer.size(), kBearer) != 0 || header.size() == kBearer.size())
        return {};
    return ApiKeyHash(sha256Hex(header.substr(kBearer.size())));
}

tl::expected<ParsedRequest, RequestFault> parseChat(const HttpHead &head, std::string_view text)
{
    nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
        return malformed("the body is not a JSON object");
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        return malformed("\"model\" must be a text");
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
        return malformed("\"stream\" must be true or false");
    const auto prompt = promptOf(body);
    if (!prompt)
        return tl::make_unexpected(prompt.error());
    const auto maxTokens = maxTokensOf(body);
    if (!maxTokens)
        return tl::make_unexpected(maxTokens.error());
    if (head.valueOf("X-Chat-Id").size() > kMaxNameBytes)
        return malformed("X-Chat-Id is over " + std::to_string(kMaxNameBytes) + " bytes");

    ParsedRequest parsed;
    CallerRequest &detail = parsed.detail;
    detail.kind = RequestKind::Chat;
    detail.apiKey = apiKeyOf(head);
    detail.bodyBytes = static_cast<std::uint32_t>(text.size());
    detail.fingerprint = fingerprintOf(detail, prompt->text);
    detail.callerTimeout = callerTimeoutOf(head);
    detail.model = ModelId(model->get<std::string>());
    detail.adapter = AdapterId(body.value("adapter", ""));
    detail.chat = chatOf(head, *prompt);
    detail.sharedPrefix = PrefixHash(prompt->system.empty() ? 0 : hashOf(prompt->system));
    detail.promptTokens = static_cast<Tokens>(prompt->text.size() / kBytesPerToken);
    detail.maxTokens = *maxTokens;
    detail.streamed = stream != body.end() && stream->get<bool>();

    body["stream"] = true;
    parsed.forwarded = {"POST", "/v1/chat/completions", body.dump(), "application/json"};
    return parsed;
}

tl::expected<ParsedRequest, RequestFault> parseServiceCall(const HttpHead &head, std::string body)
{
    const std::string target = head.target.substr(kServicePrefix.size());
    const std::string name = target.substr(0, target.find_first_of("/?"));
    if (name.empty())
        return malformed("the path names no service");
    if (head.valueOf("Idempotency-Key").size() > kMaxNameBytes)
        return malformed("Idempotency-Key is over " + std::to_string(kMaxNameBytes) + " bytes");
    const std::size_t tail = target.find('/');

    ParsedRequest parsed;
    CallerRequest &detail = parsed.detail;
    detail.kind = RequestKind::ServiceCall;
    detail.apiKey = apiKeyOf(head);
    detail.bodyBytes = static_cast<std::uint32_t>(body.size());
    detail.fingerprint = fingerprintOf(detail, head.method + target + '\n' + body);
    detail.callerTimeout = callerTimeoutOf(head);
    detail.service = ServiceName(name);
    detail.idempotencyKey = IdempotencyKey(std::string(head.valueOf("Idempotency-Key")));
    detail.mayRepeat = isIdempotentMethod(head.method);
    parsed.forwarded = {head.method,
                        "/calls" + (tail == std::string::npos ? "" : target.substr(tail)),
                        std::move(body), std::string(head.valueOf("Content-Type"))};
    return parsed;
}

} // namespace comfrey
