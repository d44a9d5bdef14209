// Cuts a stream of server-sent events into the data of its events, over any cut of the bytes.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace comfrey {

class SseReader
{
public:
    /// Called with the data of one event; returns false to stop reading.
    using Handler = std::function<bool(std::string_view data)>;

    /// `maxLineBytes` bounds what is kept of an unfinished line.
    explicit SseReader(std::size_t maxLineBytes);

    /// Takes the next bytes. Returns false if a handler stopped or a line is over its limit.
    bool feed(std::string_view bytes, const Handler &handler);
    /// Bytes kept of an unfinished line.
    std::size_t unfinishedBytes() const { return m_rest.size(); }

private:
    std::size_t m_maxLineBytes;
    std::string m_rest; ///< The unfinished last line; never holds a line end.
};

} // namespace comfrey
