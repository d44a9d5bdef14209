// Checks a streamed answer, event by event, for belonging whole to its request.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "comfrey/units.h"

namespace comfrey::load {

using SteadyTime = std::chrono::steady_clock::time_point;

enum class AnswerFault : std::uint8_t {
    None,
    Foreign, ///< A token or an id of another request.
    Wrong,   ///< A token that is lost, repeated or out of order, or an event that is no JSON.
};

class AnswerCheck
{
public:
    AnswerCheck(std::uint64_t promptKey, Tokens answerTokens)
        : m_promptKey(promptKey), m_answerTokens(answerTokens)
    { }

    /// The id that every event must carry; known from the answer's headers.
    void expectId(std::string id) { m_id = std::move(id); }
    /// Takes the next bytes of the stream.
    void take(std::string_view bytes, SteadyTime now);
    /// Checks the text of an answer that was not streamed.
    void takeWhole(std::string_view body, SteadyTime now);

    AnswerFault fault() const { return m_fault; }
    bool isWhole() const
    {
        return m_isDone && m_tokens == m_answerTokens && m_fault == AnswerFault::None;
    }
    /// The code of the error event that ended the stream; empty if none did.
    const std::string &errorCode() const { return m_errorCode; }
    Tokens tokens() const { return m_tokens; }
    Tokens cachedTokens() const { return m_cachedTokens; }
    SteadyTime firstToken() const { return m_firstToken; }
    SteadyTime lastToken() const { return m_lastToken; }
    double longestGapMs() const { return m_longestGapMs; }

private:
    void takeEvent(std::string_view data, SteadyTime now);
    void takeToken(const std::string &content, Tokens position, SteadyTime now);
    void setFault(AnswerFault fault);

    const std::uint64_t m_promptKey;
    const Tokens m_answerTokens;
    std::string m_id;
    std::string m_rest;                      ///< Bytes of an event that is not complete.
    AnswerFault m_fault = AnswerFault::None; ///< The first one.
    std::string m_errorCode;
    bool m_isDone = false;
    Tokens m_tokens = 0; ///< Also the position of the next token.
    Tokens m_cachedTokens = 0;
    SteadyTime m_firstToken;
    SteadyTime m_lastToken;
    double m_longestGapMs = 0;
};

} // namespace comfrey::load
