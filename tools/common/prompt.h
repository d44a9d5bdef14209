// What the stand-in of the engine and the load tool must agree on: how prompts are counted in
// tokens, which prefixes of a prompt can be cached, and the text of each answered token.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "comfrey/units.h"

namespace comfrey::standin {

/// One message of a prompt as a cache sees it.
struct PromptPart
{
    std::uint64_t key = 0; ///< Hash of this message and all before it.
    Tokens tokens = 0;     ///< Of this message alone.
};

/// Four bytes of text count as one token.
Tokens countTokens(std::string_view text);

/// Extends a prompt that ends with `previousKey` (0 at its start) by one message.
PromptPart promptPart(std::uint64_t previousKey, std::string_view role, std::string_view content);

/// The parts of `messages`, an array in OpenAI's form; empty if it is none.
std::vector<PromptPart> promptParts(const nlohmann::json &messages);

/// Tokens of all parts.
Tokens countTokens(const std::vector<PromptPart> &parts);

/// Hash of the first message if it is a system message, else 0.
std::uint64_t sharedPrefixHash(const nlohmann::json &messages);

/// The text of the token at `position` of the answer to the prompt whose last part has `promptKey`.
std::string tokenText(std::uint64_t promptKey, Tokens position);

/// The tokens of positions 0 to `count` - 1.
std::string answerText(std::uint64_t promptKey, Tokens count);

} // namespace comfrey::standin
