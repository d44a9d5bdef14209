// Follows the stream "config": keeps the fold's state and says from where to read next. Used by
// routers and by the operators' client.
#pragma once

#include <vector>

#include "comfrey/events.h"
#include "config/configstate.h"
#include "config/fold.h"
#include "config/recentrecords.h"

namespace comfrey {

class LogFollower
{
public:
    const ConfigState &state() const { return m_state; }

    /// First record to ask for.
    LogOffset next() const { return m_scanFrom.value() > 0 ? m_scanFrom : m_state.foldedTo.next(); }

    /// Folds what the answer brings beyond the present state. Old answers change nothing.
    std::vector<FoldResult> take(const LogRead &read);

    /// Folds one record; true if it was the next one. Others change nothing.
    bool take(LogOffset offset, const Bytes &payload, std::vector<FoldResult> &results);

    /// Takes over an encoded snapshot if it is newer. Returns whether it did.
    bool takeSnapshot(const Bytes &payload);

    /// The newest records that were folded, for others that are a little behind.
    const RecentRecords &recent() const { return m_recent; }

    /// True while the log has dropped records that this state lacks: only a newer snapshot helps.
    bool lacksRecords() const { return m_scanFrom.value() > 0; }

    /// True once everything up to an end of the log that was seen has been folded.
    bool hasReachedEnd() const { return m_reachedEnd; }

private:
    void scanForSnapshot(const LogRead &read);

    ConfigState m_state;
    RecentRecords m_recent; ///< Ends with the record at m_state.foldedTo.
    LogOffset m_scanFrom;   ///< Where the search for a snapshot goes on; 0 while none is needed.
    bool m_reachedEnd = false;
};

} // namespace comfrey
