// When to write the state again as a snapshot record.
#include "config/snapshotwriter.h"

#include <algorithm>

namespace comfrey {

namespace {

constexpr Duration kTurn = milliseconds(2000);        // How long a rank waits for the one before.
constexpr Duration kRetryAfter = milliseconds(10000); // Until a write counts as lost.

} // namespace

void SnapshotWriter::noteSnapshot(LogOffset offset, TimePoint now)
{
    m_snapshotOffset = std::max(m_snapshotOffset, offset);
    m_snapshotAt = now;
    m_neededSince = kNever;
}

bool SnapshotWriter::isNeeded(LogOffset foldedTo, TimePoint now) const
{
    if (foldedTo.value() == 0)
        return false;
    const std::uint64_t since = foldedTo.value() - std::min(foldedTo, m_snapshotOffset).value();
    return since >= m_settings.snapshotIntervalRecords
        || now - m_snapshotAt >= milliseconds(m_settings.snapshotMaxAgeMs)
        || m_firstOffset > std::max(m_snapshotOffset, LogOffset(1));
}

bool SnapshotWriter::takeDue(LogOffset foldedTo, std::optional<std::uint32_t> rank, TimePoint now)
{
    if (!isNeeded(foldedTo, now)) {
        m_neededSince = kNever;
        return false;
    }
    m_neededSince = std::min(m_neededSince, now);
    if (!rank || now < m_neededSince + kTurn * *rank || now < m_notBefore)
        return false;
    m_notBefore = now + kRetryAfter;
    return true;
}

} // namespace comfrey
