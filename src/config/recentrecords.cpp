// The newest records of the stream as they were appended.
#include "config/recentrecords.h"

namespace comfrey {

namespace {

constexpr std::size_t kBytesKept = std::size_t{256} * 1024;
constexpr std::size_t kBytesPerMessage = std::size_t{64} * 1024;

} // namespace

void RecentRecords::add(LogOffset offset, const Bytes &payload)
{
    m_records.push_back({offset, payload});
    m_bytes += payload.size();
    while (m_bytes > kBytesKept) {
        m_bytes -= m_records.front().payload.size();
        m_records.pop_front();
    }
}

void RecentRecords::clear()
{
    m_records.clear();
    m_bytes = 0;
}

std::optional<std::vector<std::unique_ptr<wire::ConfigRecordT>>>
RecentRecords::from(LogOffset first) const
{
    if (m_records.empty() || first < m_records.front().offset)
        return std::nullopt;
    std::vector<std::unique_ptr<wire::ConfigRecordT>> records;
    std::size_t bytes = 0;
    std::size_t at = first.value() - m_records.front().offset.value();
    for (; at < m_records.size() && (records.empty() || bytes < kBytesPerMessage); ++at) {
        auto record = std::make_unique<wire::ConfigRecordT>();
        record->offset = m_records[at].offset.value();
        record->payload = m_records[at].payload;
        bytes += record->payload.size();
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace comfrey
