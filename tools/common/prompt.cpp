#include "common/prompt.h"

#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace comfrey::standin {

namespace {

constexpr std::size_t kBytesPerToken = 4;

std::string textField(const nlohmann::json &message, const char *name)
{
    const auto found = message.find(name);
    return found != message.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

Tokens countTokens(std::string_view text)
{
    return static_cast<Tokens>((text.size() + kBytesPerToken - 1) / kBytesPerToken);
}

PromptPart promptPart(std::uint64_t previousKey, std::string_view role, std::string_view content)
{
    const std::uint64_t seed = XXH64(role.data(), role.size(), previousKey);
    return {XXH64(content.data(), content.size(), seed), countTokens(content)};
}

std::vector<PromptPart> promptParts(const nlohmann::json &messages)
{
    std::vector<PromptPart> parts;
    if (!messages.is_array())
        return parts;
    std::uint64_t key = 0;
    for (const nlohmann::json &message : messages) {
        if (!message.is_object())
            return {};
        parts.push_back(promptPart(key, textField(message, "role"), textField(message, "content")));
        key = parts.back().key;
    }
    return parts;
}

Tokens countTokens(const std::vector<PromptPart> &parts)
{
    Tokens sum = 0;
    for (const PromptPart &part : parts)
        sum += part.tokens;
    return sum;
}

std::uint64_t sharedPrefixHash(const nlohmann::json &messages)
{
    if (!messages.is_array() || messages.empty() || !messages.front().is_object())
        return 0;
    if (textField(messages.front(), "role") != "system")
        return 0;
    const std::string content = textField(messages.front(), "content");
    return XXH64(content.data(), content.size(), 0);
}

std::string tokenText(std::uint64_t promptKey, Tokens position)
{
    const auto hash = static_cast<std::uint32_t>(XXH64(&position, sizeof(position), promptKey));
    std::array<char, 16> text{};
    const int length = std::snprintf(text.data(), text.size(), "t%08x ", hash);
    return {text.data(), static_cast<std::size_t>(length)};
}

std::string answerText(std::uint64_t promptKey, Tokens count)
{
    std::string text;
    for (Tokens position = 0; position < count; ++position)
        text += tokenText(promptKey, position);
    return text;
}

} // namespace comfrey::standin
