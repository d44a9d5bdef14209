// Passes on whole events of a stream and remembers the last one's id, so that the stream can go on
// elsewhere after a break in the middle of an event.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace comfrey {

class EventCutter
{
public:
    /// Takes the next bytes and returns those that end with a whole event.
    std::string feed(std::string_view bytes);
    /// The bytes of an event that did not end.
    const std::string &rest() const { return m_rest; }
    void dropRest() { m_rest.clear(); }
    /// Of the last whole event that had one.
    const std::string &lastId() const { return m_lastId; }

private:
    void readId(std::string_view event);

    std::string m_rest; ///< The event that has not ended.
    std::string m_lastId;
};

} // namespace comfrey
