// Cuts a stream of server-sent events into the data of its events.
#include "relay/ssereader.h"

namespace comfrey {

namespace {

constexpr std::string_view kDataField = "data:";

std::string_view dataOf(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (line.substr(0, kDataField.size()) != kDataField)
        return {};
    line.remove_prefix(kDataField.size());
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    return line;
}

} // namespace

SseReader::SseReader(std::size_t maxLineBytes) : m_maxLineBytes(maxLineBytes) { }

bool SseReader::feed(std::string_view bytes, const Handler &handler)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        if (end == std::string_view::npos) {
            m_rest.append(bytes);
            return m_rest.size() <= m_maxLineBytes;
        }
        m_rest.append(bytes.substr(0, end));
        bytes.remove_prefix(end + 1);
        const std::string line = std::move(m_rest);
        m_rest.clear();
        const std::string_view data = dataOf(line);
        if (!data.empty() && !handler(data))
            return false;
    }
    return true;
}

} // namespace comfrey
