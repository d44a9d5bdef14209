// Follows the stream "config".
#include "config/logfollower.h"

#include <algorithm>

#include "config/snapshot.h"
#include "wire/envelope.h"

namespace comfrey {

std::vector<FoldResult> LogFollower::take(const LogRead &read)
{
    std::vector<FoldResult> results;
    if (read.firstOffset > m_state.foldedTo.next())
        scanForSnapshot(read);
    for (const LogRecord &item : read.records)
        take(item.offset, item.payload, results);
    if (!lacksRecords() && m_state.foldedTo.next() >= read.endOffset)
        m_reachedEnd = true;
    return results;
}

bool LogFollower::take(LogOffset offset, const Bytes &payload, std::vector<FoldResult> &results)
{
    if (offset != m_state.foldedTo.next())
        return false;
    const std::vector<FoldResult> folded = foldPayload(m_state, offset, payload);
    results.insert(results.end(), folded.begin(), folded.end());
    m_recent.add(offset, payload);
    m_scanFrom = LogOffset();
    return true;
}

bool LogFollower::takeSnapshot(const Bytes &payload)
{
    const Result<record::RecordT> record = decodeRecord(payload);
    if (!record)
        return false;
    const record::ConfigSnapshotT *snapshot = snapshotIn(*record);
    if (snapshot == nullptr || !adoptSnapshot(m_state, *snapshot))
        return false;
    m_recent.clear();
    m_scanFrom = LogOffset();
    return true;
}

// A snapshot helps only if the log still has every record after the ones that it folds.
void LogFollower::scanForSnapshot(const LogRead &read)
{
    m_scanFrom = std::max(m_scanFrom, read.firstOffset);
    for (const LogRecord &item : read.records) {
        m_scanFrom = std::max(m_scanFrom, item.offset.next());
        const Result<record::RecordT> record = decodeRecord(item.payload);
        const record::ConfigSnapshotT *snapshot = record ? snapshotIn(*record) : nullptr;
        if (snapshot == nullptr || LogOffset(snapshot->foldedTo).next() < read.firstOffset)
            continue;
        if (adoptSnapshot(m_state, *snapshot)) {
            m_recent.clear();
            m_scanFrom = LogOffset();
            return;
        }
    }
}

} // namespace comfrey
