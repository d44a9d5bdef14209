// The share of one router in the fleet's budget of repeated sends to a service: a part of its own
// recent requests, and a few besides. The shares of all routers add up to less than the fleet may
// use, however many come and go.
#pragma once

#include <array>
#include <cstdint>

#include "comfrey/units.h"

namespace comfrey {

struct RetryBudgetLimits
{
    double ratio = 0.2; ///< Repeats for each request, over the fleet.
    Duration window = milliseconds(10000);
    std::uint32_t extraRetries = 2; ///< Repeats for this router in a window, whatever its requests.
};

class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetLimits &limits) : m_limits(limits) { }

    void onRequest(TimePoint now);
    /// Takes one repeat if the budget allows it.
    bool tryAcquire(TimePoint now);

private:
    static constexpr std::size_t kSlices = 10; ///< Of a window, forgotten one by one.
    /// Part of the ratio that is used: requests that this router counts late or twice stay within.
    static constexpr double kUsableShare = 0.8;

    struct Slice
    {
        std::int64_t index = -1; ///< Of slices since the time base began.
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Slice &currentSlice(TimePoint now);

    RetryBudgetLimits m_limits;
    std::array<Slice, kSlices + 1>
        m_slices; ///< One more than a window: the present one is partly over.
};

} // namespace comfrey
