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
    /// Forgets the bytes of the last event.
    void discardIncompleteEvent() { m_incompleteEvent.clear(); }
    /// Another server continues the stream: its first event must follow the last whole one.
    void resume();
    /// True if the stream may be resumed: nothing was taken yet, or the last event has an id.
    bool canResume() const { return !m_hasEvents || !m_lastEventId.empty(); }
    /// True if the stream was resumed with an event that does not follow the last one. Its events
    /// are not returned by feed().
    bool isOutOfOrder() const { return m_isOutOfOrder; }
    /// Id of the last whole event that has one; empty if none has.
    const std::string &lastEventId() const { return m_lastEventId; }

private:
    /// Updates the ids from one whole event.
    void takeEvent(std::string_view event);
    /// True if an event with this id may follow the last one.
    bool follows(std::string_view id) const;

    std::string m_incompleteEvent;
    std::string m_lastEventId;
    bool m_hasEvents = false;
    bool m_isConsecutive = true;     ///< Each id so far was one more than the id before it.
    bool m_awaitsResumption = false; ///< The next event is the first one of another server.
    bool m_isOutOfOrder = false;
};

} // namespace comfrey
