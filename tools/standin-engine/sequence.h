// One request inside the engine.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <string>
#include <vector>

#include "common/prompt.h"

namespace comfrey::standin {

enum class SequenceState : std::uint8_t { Waiting, Running, Finished, Cancelled };

struct Sequence
{
    // Set before the sequence is submitted.
    std::string id;
    std::string chat;
    int priority = 1; ///< 0 to 2; a higher one is served first.
    std::vector<PromptPart> parts;
    std::uint64_t sharedPrefix = 0;
    Tokens promptTokens = 0;
    Tokens resumeAt = 0;       ///< Position of the first token wanted.
    Tokens answerTokens = 0;   ///< Length of the whole answer.
    bool reachesLimit = false; ///< The answer ends because of max_tokens.
    bool hasCrashMarker = false;

    // Guarded by the scheduler's mutex.
    SequenceState state = SequenceState::Waiting;
    std::chrono::steady_clock::time_point arrival;
    Tokens cachedTokens = 0;
    Tokens prefillLeft = 0;
    Tokens produced = 0; ///< Tokens at positions below are ready.
    std::condition_variable changed;

    std::uint64_t promptKey() const { return parts.empty() ? 0 : parts.back().key; }
};

/// How far a sequence is.
struct Progress
{
    SequenceState state = SequenceState::Waiting;
    Tokens produced = 0;
    Tokens cachedTokens = 0;
};

} // namespace comfrey::standin
