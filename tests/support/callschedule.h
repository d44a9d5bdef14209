// One short random schedule of service calls that may not be repeated, and of faults, on a fleet of
// facades. The seed alone decides everything that happens.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace comfrey::test {

struct ScheduleReport
{
    std::vector<std::string> broken; ///< Promises that did not hold, in words; empty if all did.
    std::uint32_t calls = 0;
    std::uint32_t runs = 0;
    std::uint32_t answered = 0;
    std::uint32_t notRun = 0;
    std::uint32_t unknown = 0;
};

/// With `trace`, the faults and what callers were told go to standard error.
ScheduleReport runCallSchedule(std::uint64_t seed, bool trace = false);

} // namespace comfrey::test
