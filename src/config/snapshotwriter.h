// When to write the state again as a snapshot record: after enough records, after long enough, or
// at once when the log has dropped the last one. The reading routers take turns by their rank, so
// usually one of them writes; several are harmless.
#pragma once

#include <cstdint>
#include <optional>

#include "comfrey/ids.h"
#include "comfrey/settings.h"
#include "comfrey/units.h"

namespace comfrey {

class SnapshotWriter
{
public:
    explicit SnapshotWriter(const settings::ConfigT &settings) : m_settings(settings) { }

    /// A snapshot record was folded.
    void noteSnapshot(LogOffset offset, TimePoint now);

    /// The oldest record that the log still has.
    void noteFirstOffset(LogOffset first) { m_firstOffset = std::max(m_firstOffset, first); }

    /// Whether the router of this rank among the reading ones writes a snapshot now. Call it once:
    /// it notes the snapshot as written.
    bool takeDue(LogOffset foldedTo, std::optional<std::uint32_t> rank, TimePoint now);

private:
    bool isNeeded(LogOffset foldedTo, TimePoint now) const;

    const settings::ConfigT &m_settings;
    LogOffset m_snapshotOffset; ///< Of the newest snapshot record; 0 if none was met.
    TimePoint m_snapshotAt;     ///< When it was met.
    LogOffset m_firstOffset;
    TimePoint m_neededSince = kNever;
    TimePoint m_notBefore; ///< After a write, until it should have come back.
};

} // namespace comfrey
