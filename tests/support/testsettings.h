// Settings of a router in a test: every default, and names that differ by router.
#pragma once

#include "comfrey/settings.h"

namespace comfrey::test {

Settings testSettings(const std::string &router, const std::string &zone);

} // namespace comfrey::test
