// Passes on whole events of a stream and remembers the last one's id, so that the stream can go on
// elsewhere after a break in the middle of an event.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace comfrey {

class EventSplitter
{
public:
    /// Takes the next bytes and returns those that end with a whole event.
    std::string feed(std::string_view bytes);
    /// The bytes of an event that did not end.
    const std::string &incompleteEvent() const { return m_incompleteEvent; }
    void discardIncompleteEvent() { m_incompleteEvent.clear(); }
    /// Of the last whole event that had one.
    const std::string &lastEventId() const { return m_lastEventId; }

private:
    void updateLastEventId(std::string_view events);

    std::string m_incompleteEvent; ///< The event that has not ended.
    std::string m_lastEventId;
};

} // namespace comfrey
