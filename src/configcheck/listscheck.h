// Checks the two lists before they are published.
#pragma once

#include "comfrey/lists.h"
#include "configcheck/finding.h"

namespace comfrey {

/// The first rule of the lists that is broken, then entries that no request can use and limits that
/// contradict each other.
Findings checkLists(const Lists &lists);

} // namespace comfrey
