// What one fold of the stream "config" has arrived at. The same records give the same state on
// every router and in the operators' client.
#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "comfrey/ids.h"
#include "comfrey/lists.h"

namespace comfrey {

/// A change that the fold has met, and what became of it.
struct SeenChange
{
    ChangeId change;
    std::string author;
    Revision revision;   ///< That it made; 0 if it was refused.
    LogOffset offset;    ///< Of its first record.
    std::string refusal; ///< Why it was refused; empty if it was accepted.
    friend bool operator==(const SeenChange &, const SeenChange &) = default;
};

/// Changes that the fold remembers by their id.
inline constexpr std::size_t kSeenChangesKept = 1024;

struct ConfigState
{
    Lists lists;
    LogOffset foldedTo; ///< Last record taken; 0 before the first.
    /// In the order of offsets, at most kSeenChangesKept.
    std::deque<SeenChange> seen;
    /// Invariant: every change with an offset above it is in `seen`. A change made before it may be
    /// a copy of a forgotten one and is refused.
    LogOffset forgottenTo;

    /// The change with this id, or null if it was never met or is forgotten.
    const SeenChange *find(const ChangeId &id) const;
    /// The change that made the revision, or null if it is forgotten.
    const SeenChange *findRevision(Revision revision) const;
    friend bool operator==(const ConfigState &, const ConfigState &) = default;
};

} // namespace comfrey
