// Event boundaries are empty lines, with either line end.
#include "gateway/eventsplitter.h"

namespace comfrey {

namespace {

/// The position after the last empty line, or 0.
std::size_t endOfWholeEvents(std::string_view text)
{
    const std::size_t plain = text.rfind("\n\n");
    const std::size_t carriage = text.rfind("\r\n\r\n");
    const std::size_t afterPlain = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t afterCarriage = carriage == std::string_view::npos ? 0 : carriage + 4;
    return afterPlain > afterCarriage ? afterPlain : afterCarriage;
}

} // namespace

std::string EventCutter::feed(std::string_view bytes)
{
    m_rest.append(bytes);
    const std::size_t end = endOfWholeEvents(m_rest);
    std::string whole = m_rest.substr(0, end);
    m_rest.erase(0, end);
    readId(whole);
    return whole;
}

void EventCutter::readId(std::string_view events)
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
    m_lastId = value;
}

} // namespace comfrey
