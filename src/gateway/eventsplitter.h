// Splits a stream of server-sent events into whole events and keeps the id of the last one, so that
// another server can resume the stream after a break in the middle of an event.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace comfrey {

/// Splitter for one stream of server-sent events.
class EventSplitter
{
public:
    /// Appends the next bytes of the stream and returns the events that are whole now; empty if
    /// there is none.
    std::string feed(std::string_view bytes);
    /// The bytes of the last event, which has not ended.
    const std::string &incompleteEvent() const { return m_incompleteEvent; }
    /// Forgets the bytes of the last event, as before a stream is resumed.
    void discardIncompleteEvent() { m_incompleteEvent.clear(); }
    /// Id of the last whole event that has one; empty if none has.
    const std::string &lastEventId() const { return m_lastEventId; }

private:
    /// Sets the last event's id from whole events.
    void updateLastEventId(std::string_view events);

    std::string m_incompleteEvent;
    std::string m_lastEventId;
};

} // namespace comfrey
