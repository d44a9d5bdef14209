// One router's share of the fleet's retry budget for a service: a fraction of its local requests in
// a sliding window, and a few extra retries. The shares of all routers add up to less than the
// fleet's budget, however many routers join and leave.
#pragma once

#include <array>
#include <cstdint>

#include "comfrey/units.h"

namespace comfrey {

/// Limits of a retry budget.
struct RetryBudgetLimits
{
    double ratio = 0.2; ///< Retries per request, over the fleet.
    Duration window = milliseconds(10000);
    std::uint32_t extraRetries = 2; ///< Retries of this router in a window, independent of its
                                    ///< requests.
};

/// Decides whether a router may retry a request.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetLimits &limits) : m_limits(limits) { }

    /// Counts a request, which raises the budget.
    void onRequest(TimePoint now);
    /// Counts one retry and returns true if the budget allows it.
    bool tryAcquire(TimePoint now);

private:
    static constexpr std::size_t kSlices = 10; ///< Slices of a window; the oldest expires first.
    /// Fraction of the ratio that is used; requests that this router counts late or twice then stay
    /// within the ratio.
    static constexpr double kUsableShare = 0.8;

    struct Slice
    {
        std::int64_t index = -1; ///< Number of slice lengths since the epoch of the clock.
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Slice &currentSlice(TimePoint now);

    RetryBudgetLimits m_limits;
    std::array<Slice, kSlices + 1>
        m_slices; ///< One more than a window: the current slice is partly elapsed.
};

} // namespace comfrey
