#include "comfrey-load/answercheck.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "common/prompt.h"

namespace comfrey::load {

namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEventEnd = "\n\n";

} // namespace

void AnswerCheck::setFault(AnswerFault fault)
{
    if (m_fault == AnswerFault::None)
        m_fault = fault;
}

void AnswerCheck::take(std::string_view bytes, SteadyTime now)
{
    m_rest += bytes;
    std::size_t start = 0;
    for (;;) {
        const std::size_t end = m_rest.find(kEventEnd, start);
        if (end == std::string::npos)
            break;
        const std::string_view event = std::string_view(m_rest).substr(start, end - start);
        if (event.starts_with(kDataPrefix))
            takeEvent(event.substr(kDataPrefix.size()), now);
        start = end + kEventEnd.size();
    }
    m_rest.erase(0, start);
}

void AnswerCheck::takeEvent(std::string_view data, SteadyTime now)
{
    if (data == "[DONE]") {
        m_isDone = true;
        return;
    }
    const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
    if (event.is_object() && event.contains("error") && event.at("error").is_object()) {
        m_errorCode = event.at("error").value("code", "none");
        return;
    }
    if (!event.is_object() || !event.contains("choices")) {
        setFault(AnswerFault::Wrong);
        return;
    }
    if (event.value("id", "") != m_id)
        setFault(AnswerFault::Foreign);
    if (const auto usage = event.find("usage"); usage != event.end() && usage->is_object())
        m_cachedTokens = usage->value("cached_tokens", Tokens(0));
    const nlohmann::json delta = event.at("choices").at(0).value("delta", nlohmann::json::object());
    if (delta.contains("content"))
        takeToken(delta.at("content").get<std::string>(), event.value("position", m_tokens), now);
}

void AnswerCheck::takeToken(const std::string &content, Tokens position, SteadyTime now)
{
    if (position != m_tokens)
        setFault(AnswerFault::Wrong);
    if (content != standin::tokenText(m_promptKey, position))
        setFault(AnswerFault::Foreign);
    if (m_tokens == 0) {
        m_firstToken = now;
    } else {
        const std::chrono::duration<double, std::milli> gap = now - m_lastToken;
        m_longestGapMs = std::max(m_longestGapMs, gap.count());
    }
    m_lastToken = now;
    ++m_tokens;
}

void AnswerCheck::takeWhole(std::string_view body, SteadyTime now)
{
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("choices")) {
        setFault(AnswerFault::Wrong);
        return;
    }
    if (answer.value("id", "") != m_id)
        setFault(AnswerFault::Foreign);
    const nlohmann::json &message = answer.at("choices").at(0).at("message");
    const std::string content = message.at("content").get<std::string>();
    const std::string expected = standin::answerText(m_promptKey, m_answerTokens);
    m_isDone = true;
    m_firstToken = now;
    m_lastToken = now;
    if (content == expected)
        m_tokens = m_answerTokens;
    else
        setFault(expected.starts_with(content) ? AnswerFault::Wrong : AnswerFault::Foreign);
    if (answer.contains("usage"))
        m_cachedTokens = answer.at("usage").value("cached_tokens", Tokens(0));
}

} // namespace comfrey::load
