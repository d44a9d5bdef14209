// Splits a stream of server-sent events into whole events and keeps the id of the last one, so that
// another server can resume the stream after a break in the middle of an event.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace comfrey {

/// Tells whether a stream of server-sent events that is relayed as it arrives ended between events.
class EventBoundary
{
public:
    void feed(std::string_view bytes);
    /// True at the start of the stream and after the empty line that ends an event.
    bool isBetweenEvents() const;

private:
    static constexpr std::size_t kTailBytes = 3; ///< Line feed, carriage return, line feed.

    std::string m_tail; ///< The last bytes.
};

/// Splitter for one stream of server-sent events.
class EventSplitter
{
public:
    /// Appends the next bytes of the stream and returns the events that are whole now; empty if
    /// there is none.
    std::string feed(std::string_view bytes);
    /// The bytes of the last event, which has not ended.
    const std::string &incompleteEvent() const { return m_incompleteEvent; }
    /// True if the bytes so far end between events.
    bool isBetweenEvents() const;
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
