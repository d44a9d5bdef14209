// An empty line ends an event; lines end with LF or CRLF.
#include "gateway/eventsplitter.h"

#include <algorithm>

namespace comfrey {

namespace {

/// The position after the last empty line, or 0 if there is none.
std::size_t endOfWholeEvents(std::string_view text)
{
    const std::size_t lf = text.rfind("\n\n");
    const std::size_t crlf = text.rfind("\r\n\r\n");
    const std::size_t afterLf = lf == std::string_view::npos ? 0 : lf + 2;
    const std::size_t afterCrlf = crlf == std::string_view::npos ? 0 : crlf + 4;
    return afterLf > afterCrlf ? afterLf : afterCrlf;
}

} // namespace

void EventBoundary::feed(std::string_view bytes)
{
    m_tail += bytes.substr(bytes.size() - std::min(bytes.size(), kTailBytes));
    if (m_tail.size() > kTailBytes)
        m_tail.erase(0, m_tail.size() - kTailBytes);
}

bool EventBoundary::isBetweenEvents() const
{
    return m_tail.empty() || m_tail.ends_with("\n\n") || m_tail.ends_with("\n\r\n");
}

bool EventSplitter::isBetweenEvents() const
{
    return m_incompleteEvent.find_first_not_of("\r\n") == std::string::npos;
}

std::string EventSplitter::feed(std::string_view bytes)
{
    m_incompleteEvent.append(bytes);
    const std::size_t end = endOfWholeEvents(m_incompleteEvent);
    std::string whole = m_incompleteEvent.substr(0, end);
    m_incompleteEvent.erase(0, end);
    updateLastEventId(whole);
    return whole;
}

void EventSplitter::updateLastEventId(std::string_view events)
{
    std::size_t at = events.rfind("\nid:");
    if (at != std::string_view::npos)
        at += 4;
    else if (events.starts_with("id:"))
        at = 3;
    else
        return;
    std::string_view value = events.substr(at, events.find_first_of("\r\n", at) - at);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    m_lastEventId = value;
}

} // namespace comfrey
