// What became of one request.
#pragma once

#include <cstdint>
#include <string>

#include "comfrey-load/answercheck.h"
#include "comfrey-load/schedule.h"

namespace comfrey::load {

enum class SampleEnd : std::uint8_t {
    Answered, ///< Whole and checked.
    Refused,  ///< An error answer.
    Failed,   ///< The stream ended with an error event.
    Short,    ///< The answer ended before its end.
    Foreign,  ///< It held another request's tokens.
    Wrong,    ///< It held lost, repeated or reordered tokens.
    Broken,   ///< The connection broke or nothing came in time.
    NotSent,  ///< The load tool had no free thread.
};

struct Sample
{
    const PlannedRequest *request = nullptr;
    SampleEnd end = SampleEnd::Broken;
    int status = 0;
    std::string code;        ///< The error's code.
    std::string outcome;     ///< X-Comfrey-Outcome of the last answer.
    std::string id;          ///< X-Request-Id.
    double firstTokenMs = 0; ///< From the planned arrival; of whole answers the whole time.
    double meanGapMs = 0;    ///< Between tokens.
    double longestGapMs = 0;
    double totalMs = 0;
    Tokens cachedTokens = 0;
    std::uint32_t sends = 1;
    bool wasAnswered = false; ///< Service call: some answer said "answered".
    bool mayHaveRun = false;  ///< Service call: some send ended without a sure "not-run".
};

} // namespace comfrey::load
