// Makes the change that turns the lists in force into the wanted ones.
#pragma once

#include <string>

#include "comfrey/error.h"
#include "config/configstate.h"
#include "generated/records.generated.h"

namespace comfrey {

/// The difference as one atomic change, based on the revisions of the entries in `inForce`.
/// `wanted.revision` is the revision on which the wanted lists were edited, or 0 for the one in
/// force; the revisions of its entries do not matter. Error Conflict if an entry that differs was
/// changed after that revision. A change without entries means that nothing differs.
Result<record::ChangeT> changeBetween(const ConfigState &inForce, const Lists &wanted,
                                      const ChangeId &id, const std::string &author);

/// True if the change touches no entry.
bool isEmpty(const record::ChangeT &change);

} // namespace comfrey
