// The fold of the stream "config": pure and deterministic, so every router and the client come to
// the same lists from the same records, whatever was appended twice, late or wrongly.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "comfrey/events.h"
#include "config/configstate.h"
#include "generated/records.generated.h"

namespace comfrey {

/// What became of one item of a record.
enum class FoldKind : std::uint8_t {
    Accepted,  ///< The change is in force.
    Refused,   ///< The change broke a rule or lost to another one; it is never in force.
    Duplicate, ///< The change was met before; nothing changed.
    Snapshot,  ///< A snapshot; it changes nothing for a state that has come this far.
    Skipped,   ///< Not a record of this stream, or not decodable.
};

struct FoldResult
{
    FoldKind kind = FoldKind::Skipped;
    LogOffset offset;
    ChangeId change;   ///< Of a change.
    Revision revision; ///< That an accepted change, or the first one of a duplicate, made.
    std::string text;  ///< Why it was refused or skipped.
};

/// Takes the record after `state.foldedTo`, whatever it holds. Returns one result for each item.
/// Precondition: `offset` is `state.foldedTo.next()`.
std::vector<FoldResult> foldRecord(ConfigState &state, LogOffset offset,
                                   const record::RecordT &record);

/// The same for an encoded record.
std::vector<FoldResult> foldPayload(ConfigState &state, LogOffset offset, const Bytes &payload);

/// A record with one change, ready to be encoded and appended.
record::RecordT recordOf(const record::ChangeT &change);

} // namespace comfrey
