// How many requests an engine may have in flight: a set multiple of the mean load, rounded up, and
// never more than the engine's slots with a small queue.
#pragma once

#include <cstdint>
#include <map>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

struct SlotLimitInput
{
    double demand = 0;       ///< Requests in flight and waiting over the engines of one pool.
    std::size_t engines = 1; ///< Of the pool that take new work.
    double multiple = 1.25;  ///< placement.load_multiple.
    std::uint32_t slots = 1; ///< Of the engine.
    double engineQueue = 0;  ///< placement.engine_queue.
    double speed = 1;        ///< Below 1 for an engine that is slower than the others.
};

/// The requests that an engine runs and queues at most.
std::uint32_t slotCapacity(std::uint32_t slots, double engineQueue);

/// At least 1 for an engine at full speed; 0 for one that is too slow to take any request.
std::uint32_t slotLimit(const SlotLimitInput &input);

/// The demand of all routers on one pool of engines, from what each last said with its own
/// messages. Routers that were not heard lately count as the mean of those that were, so a home
/// router that hears few of many routers still has an unbiased sum.
class DemandEstimate
{
public:
    void heard(const RouterId &router, std::uint32_t demand, TimePoint now);
    double total(std::size_t routers, TimePoint now) const;

private:
    struct Heard
    {
        std::uint32_t demand = 0;
        TimePoint at;
    };

    std::map<RouterId, Heard> m_heard;
};

} // namespace comfrey
