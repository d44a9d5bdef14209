// Structured log lines on a file descriptor: one line an event, "key=value" pairs after a name.
// Never blocks and is bounded in volume: what does not fit is counted and told of later.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "comfrey/units.h"

namespace comfrey {

class EventLog;

/// One line, written when it goes out of scope.
class LogLine
{
public:
    LogLine(EventLog &log, std::string_view event, TimePoint now);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    /// Text is quoted if it holds spaces, quotes or control characters.
    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, std::int64_t value);
    /// Written in milliseconds with one decimal.
    LogLine &add(std::string_view key, Duration value);

private:
    EventLog &m_log;
    TimePoint m_now;
    std::string m_text;
};

class EventLog
{
public:
    explicit EventLog(int fileDescriptor) : m_fileDescriptor(fileDescriptor) { }

    /// Writes what the descriptor takes now.
    void flush();

private:
    friend class LogLine;
    void take(std::string &&line, TimePoint now);

    static constexpr std::size_t kMaxBuffered = 262144; // a second of lines at the limit below
    static constexpr std::uint32_t kMaxLinesPerSecond =
        1500; // several times a router's busiest requests

    int m_fileDescriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0; ///< Lines since the last one that told of dropped ones.
    std::int64_t m_second = 0;   ///< That m_linesInSecond counts.
    std::uint32_t m_linesInSecond = 0;
};

} // namespace comfrey
