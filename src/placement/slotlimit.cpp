// How many requests an engine may have in flight.
#include "placement/slotlimit.h"

#include <algorithm>
#include <cmath>

namespace comfrey {

namespace {

constexpr Duration kDemandFresh = milliseconds(2000);

} // namespace

std::uint32_t slotCapacity(std::uint32_t slots, double engineQueue)
{
    const auto queue = static_cast<std::uint32_t>(std::ceil(slots * engineQueue));
    return slots + queue;
}

std::uint32_t slotLimit(const SlotLimitInput &input)
{
    const double engines = static_cast<double>(std::max<std::size_t>(1, input.engines));
    const double bound = std::floor(input.multiple * input.demand / engines) + 1;
    const double capacity = slotCapacity(input.slots, input.engineQueue);
    const double limit = std::min(bound, capacity) * std::min(1.0, input.speed);
    return static_cast<std::uint32_t>(std::floor(limit));
}

void DemandEstimate::heard(const RouterId &router, std::uint32_t demand, TimePoint now)
{
    m_heard[router] = {demand, now};
}

double DemandEstimate::total(std::size_t routers, TimePoint now) const
{
    double sum = 0;
    std::size_t fresh = 0;
    for (const auto &[router, heard] : m_heard) {
        if (now - heard.at > kDemandFresh)
            continue;
        sum += heard.demand;
        ++fresh;
    }
    if (fresh == 0)
        return 0;
    return sum * std::max(1.0, static_cast<double>(routers) / static_cast<double>(fresh));
}

} // namespace comfrey
