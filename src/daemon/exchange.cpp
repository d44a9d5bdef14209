// One caller's request inside the process.
#include "daemon/exchange.h"

#include <utility>

namespace comfrey {

Exchange::Exchange(RequestId request, CallerRequest detail, ForwardedRequest forwarded)
    : m_request(std::move(request)), m_detail(std::move(detail)), m_forwarded(std::move(forwarded)),
      m_relay(m_request)
{ }

RelayVerdict Exchange::deliver(AttemptId attempt, const RequestId &answerId, Tokens position,
                               std::string text)
{
    const std::lock_guard lock(m_mutex);
    if (m_end)
        return RelayVerdict::Superseded;
    const RelayVerdict verdict = m_relay.judge(attempt, answerId, position);
    if (verdict == RelayVerdict::Deliver) {
        m_tokens.push_back(std::move(text));
        m_changed.notify_all();
    }
    return verdict;
}

bool Exchange::finish(AttemptId attempt, AttemptSummary summary)
{
    const std::lock_guard lock(m_mutex);
    const bool isChat = m_detail.kind == RequestKind::Chat;
    if (isChat && !m_relay.isWholeAt(summary.completionTokens))
        return false;
    m_summaries[attempt] = std::move(summary);
    return true;
}

void Exchange::release(AttemptId attempt)
{
    const std::lock_guard lock(m_mutex);
    m_relay.release(attempt);
}

Tokens Exchange::delivered() const
{
    const std::lock_guard lock(m_mutex);
    return m_relay.delivered();
}

void Exchange::end(AnswerCaller answer)
{
    const std::lock_guard lock(m_mutex);
    if (m_end)
        return;
    m_end = std::move(answer);
    m_changed.notify_all();
}

CallerPiece Exchange::next(std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, limit, [this] { return m_end || !m_tokens.empty(); });
    CallerPiece piece;
    piece.tokens = std::exchange(m_tokens, {});
    piece.end = m_end;
    return piece;
}

AttemptSummary Exchange::summaryOf(AttemptId attempt) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_summaries.find(attempt);
    return found == m_summaries.end() ? AttemptSummary() : found->second;
}

} // namespace comfrey
