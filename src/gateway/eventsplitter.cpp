// An empty line ends an event; lines end with LF or CRLF.
#include "gateway/eventsplitter.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace comfrey {

namespace {

/// The length of the first of some whole events, with the empty line that ends it.
std::size_t lengthOfFirstEvent(std::string_view events)
{
    const std::size_t lf = events.find("\n\n");
    const std::size_t crlf = events.find("\r\n\r\n");
    if (lf < crlf)
        return lf + 2;
    return crlf == std::string_view::npos ? events.size() : crlf + 4;
}

/// The value of the event's field "id"; empty if it has none.
std::string_view idOf(std::string_view event)
{
    std::size_t at = event.rfind("\nid:");
    if (at != std::string_view::npos)
        at += 4;
    else if (event.starts_with("id:"))
        at = 3;
    else
        return {};
    std::string_view value = event.substr(at, event.find_first_of("\r\n", at) - at);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

std::optional<std::uint64_t> numberOf(std::string_view id)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != id.data() + id.size())
        return std::nullopt;
    return number;
}

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

void EventSplitter::resume()
{
    m_incompleteEvent.clear();
    m_awaitsResumption = m_hasEvents;
}

std::string EventSplitter::feed(std::string_view bytes)
{
    m_incompleteEvent.append(bytes);
    const std::size_t end = endOfWholeEvents(m_incompleteEvent);
    std::string whole = m_incompleteEvent.substr(0, end);
    m_incompleteEvent.erase(0, end);
    for (std::string_view rest = whole; !rest.empty() && !m_isOutOfOrder;) {
        const std::size_t length = lengthOfFirstEvent(rest);
        takeEvent(rest.substr(0, length));
        rest.remove_prefix(length);
    }
    return m_isOutOfOrder ? std::string() : whole;
}

void EventSplitter::takeEvent(std::string_view event)
{
    const std::string_view id = idOf(event);
    const bool isEmpty = event.find_first_not_of("\r\n") == std::string_view::npos;
    if (isEmpty || (id.empty() && !m_awaitsResumption)) {
        m_hasEvents = m_hasEvents || !isEmpty;
        return;
    }
    if (std::exchange(m_awaitsResumption, false) && !follows(id)) {
        m_isOutOfOrder = true;
        return;
    }
    const auto previous = numberOf(m_lastEventId);
    const auto number = numberOf(id);
    if (m_hasEvents)
        m_isConsecutive = m_isConsecutive && previous && number && *number == *previous + 1;
    m_hasEvents = true;
    m_lastEventId = id;
}

bool EventSplitter::follows(std::string_view id) const
{
    const auto previous = numberOf(m_lastEventId);
    const auto number = numberOf(id);
    if (!previous || !number)
        return !id.empty() && id != m_lastEventId;
    return m_isConsecutive ? *number == *previous + 1 : *number > *previous;
}

} // namespace comfrey
