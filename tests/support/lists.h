// Lists for tests: customers c1 to c3 with plan "gold".
#pragma once

#include "comfrey/lists.h"

namespace comfrey::test {

Lists smallLists();

} // namespace comfrey::test
