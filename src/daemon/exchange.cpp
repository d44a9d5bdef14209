// One caller's request inside the process.
#include "daemon/exchange.h"

#include <utility>

namespace comfrey {

namespace {

constexpr std::size_t kMaxHeldBytes = std::size_t{16} << 20; // As of a service's whole answer.

} // namespace

Exchange::Exchange(RequestId request, CallerRequest detail, ForwardedRequest forwarded)
    : m_request(std::move(request)), m_detail(std::move(detail)), m_forwarded(std::move(forwarded)),
      m_relay(m_request)
{ }

RelayVerdict Exchange::deliver(AttemptId attempt, const RequestId &answerId, Tokens position,
                               const std::string &text)
{
    if (m_ended)
        return RelayVerdict::Superseded;
    if (heldBytes() + text.size() > kMaxHeldBytes)
        return RelayVerdict::Gap;
    const RelayVerdict verdict = m_relay.judge(attempt, answerId, position);
    if (verdict == RelayVerdict::Deliver && m_listener)
        m_listener->onToken(text);
    return verdict;
}

bool Exchange::finish(AttemptId attempt, AttemptSummary summary)
{
    const bool isChat = m_detail.kind == RequestKind::Chat;
    if (isChat && !m_relay.isWholeAt(summary.completionTokens))
        return false;
    m_summaries[attempt] = std::move(summary);
    return true;
}

void Exchange::end(const AnswerCaller &answer)
{
    if (std::exchange(m_ended, true))
        return;
    setBacklogged(false);
    if (m_listener)
        m_listener->onEnd(answer);
}

AttemptSummary Exchange::summaryOf(AttemptId attempt) const
{
    const auto found = m_summaries.find(attempt);
    return found == m_summaries.end() ? AttemptSummary() : found->second;
}

void Exchange::setBacklogged(bool backlogged)
{
    m_backlogged = backlogged;
    if (backlogged)
        return;
    for (const auto &resume : std::exchange(m_resumes, {}))
        resume();
}

} // namespace comfrey
