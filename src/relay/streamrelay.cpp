// Joins the tokens of several attempts into one stream.
#include "relay/streamrelay.h"

#include <utility>

namespace comfrey {

StreamRelay::StreamRelay(RequestId request) : m_request(std::move(request)) { }

RelayVerdict StreamRelay::judge(AttemptId attempt, const RequestId &answerId, Tokens position)
{
    if (answerId != m_request)
        return RelayVerdict::Foreign;
    if (m_owner && *m_owner != attempt)
        return RelayVerdict::Superseded;
    if (position > m_delivered)
        return RelayVerdict::Gap;
    m_owner = attempt;
    if (position < m_delivered)
        return RelayVerdict::Repeated;
    ++m_delivered;
    return RelayVerdict::Deliver;
}

void StreamRelay::release(AttemptId attempt)
{
    if (m_owner == attempt)
        m_owner.reset();
}

} // namespace comfrey
