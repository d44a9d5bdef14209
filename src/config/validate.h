// The rules of the two lists. The client checks a change by them before the append and the fold
// checks it again, so a change that the client lets through loses only to a change that overtook
// it.
#pragma once

#include "comfrey/error.h"
#include "config/configstate.h"
#include "generated/records.generated.h"

namespace comfrey {

/// Returns the lists that the change makes of the state's, or why it is refused: InvalidList for a
/// broken rule, Conflict for an entry that changed since the revision that the change names.
Result<Lists> validate(const record::ChangeT &change, const ConfigState &state);

/// Checks whole lists: every entry, plans without entitlements, keys with two owners.
Result<void> validateLists(const Lists &lists);

} // namespace comfrey
