// Log lines in a bounded buffer.
#include "telemetry/eventlog.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "telemetry/numbertext.h"

namespace comfrey {

namespace {

void appendMilliseconds(std::string &out, Duration value)
{
    const std::int64_t tenths = value.count() / 100;
    appendNumber(out, tenths / 10);
    out += '.';
    appendNumber(out, std::abs(tenths % 10));
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char letter) {
               return letter <= ' ' || letter == '"' || letter == '\\' || letter == '='
                   || letter == 0x7f;
           });
}

} // namespace

LogLine::LogLine(EventLog &log, std::string_view event, TimePoint now) : m_log(log), m_now(now)
{
    m_text.reserve(192);
    m_text += "t=";
    appendMilliseconds(m_text, now.time_since_epoch());
    m_text += " event=";
    m_text += event;
}

LogLine::~LogLine()
{
    m_text += '\n';
    m_log.take(std::move(m_text), m_now);
}

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    if (!needsQuotes(value)) {
        m_text += value;
        return *this;
    }
    m_text += '"';
    for (const char letter : value) {
        if (letter == '"' || letter == '\\')
            m_text += '\\';
        m_text += static_cast<unsigned char>(letter) < ' ' ? ' ' : letter;
    }
    m_text += '"';
    return *this;
}

LogLine &LogLine::add(std::string_view key, std::int64_t value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    appendNumber(m_text, value);
    return *this;
}

LogLine &LogLine::add(std::string_view key, Duration value)
{
    m_text += ' ';
    m_text += key;
    m_text += "_ms=";
    appendMilliseconds(m_text, value);
    return *this;
}

void EventLog::take(std::string &&line, TimePoint now)
{
    const std::int64_t second = now.time_since_epoch() / milliseconds(1000);
    if (second != m_second) {
        m_second = second;
        m_linesInSecond = 0;
    }
    if (m_linesInSecond >= kMaxLinesPerSecond || m_buffer.size() + line.size() > kMaxBuffered) {
        ++m_dropped;
        return;
    }
    ++m_linesInSecond;
    if (m_dropped > 0) {
        m_buffer += "event=log-lines-dropped count=";
        appendNumber(m_buffer, static_cast<std::int64_t>(std::exchange(m_dropped, 0)));
        m_buffer += '\n';
    }
    m_buffer += line;
}

void EventLog::flush()
{
    if (m_buffer.empty())
        return;
    // A full pipe takes nothing: the lines wait in the buffer, and the next flush tries again.
    const ssize_t written = ::write(m_fileDescriptor, m_buffer.data(), m_buffer.size());
    if (written <= 0)
        return;
    m_buffer.erase(0, static_cast<std::size_t>(written));
    if (m_buffer.empty())
        m_buffer = std::string();
}

} // namespace comfrey
