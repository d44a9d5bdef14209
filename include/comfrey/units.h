// Time and counts with units. Decisions get the present time as an argument; there is no clock
// here.
#pragma once

#include <chrono>
#include <cstdint>

namespace comfrey {

using Duration = std::chrono::microseconds;

/// The time base of all decisions: microseconds since the Unix epoch, never going back in a
/// process. It has no now(): the daemon reads the clock and hands the value in.
struct RouterTime
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RouterTime, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using TimePoint = RouterTime::time_point;

using Tokens = std::uint32_t; ///< A count of tokens.

/// Later than every other time: "no timer is set".
inline constexpr TimePoint kNever = TimePoint::max();

constexpr Duration milliseconds(std::int64_t count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::milliseconds(count));
}

} // namespace comfrey
