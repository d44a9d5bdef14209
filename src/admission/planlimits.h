// Limits that a plan sets over the whole fleet, kept by each router for its own part.
#pragma once

#include <map>
#include <optional>

#include "admission/entitlement.h"

namespace comfrey {

class PlanLimitKeeper
{
public:
    /// Counts the request in if the customer is within its limits; else says why not.
    std::optional<Refusal> take(const CustomerId &customer, const PlanLimits &limits,
                                std::size_t routers, TimePoint now);
    /// A request that was counted in has ended.
    void giveBack(const CustomerId &customer);

private:
    struct Usage
    {
        std::uint32_t inFlight = 0;
        double tokens = 0; ///< Requests that may start now.
        TimePoint filledAt;
    };

    std::map<CustomerId, Usage> m_usage;
};

} // namespace comfrey
