// Snapshots: a whole state written again as one record before the log drops the records that it
// came from. A late or doubled snapshot changes nothing.
#pragma once

#include <string>

#include "config/configstate.h"
#include "generated/records.generated.h"

namespace comfrey {

/// The state as a record of the stream.
record::RecordT snapshotOf(const ConfigState &state, const std::string &writer);

/// Takes over the snapshot's state if it is newer than `state` and its lists are valid. Returns
/// whether it did.
bool adoptSnapshot(ConfigState &state, const record::ConfigSnapshotT &snapshot);

/// The snapshot in a record, or null.
const record::ConfigSnapshotT *snapshotIn(const record::RecordT &record);

} // namespace comfrey
