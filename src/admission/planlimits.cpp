// Limits that a plan sets over the whole fleet.
#include "admission/planlimits.h"

#include <algorithm>
#include <cmath>

namespace comfrey {

namespace {

constexpr Duration kInFlightRetry = milliseconds(500);
constexpr double kLeastBurst = 2; ///< Requests that may come at once whatever the rate.

Refusal overShare(const CustomerId &customer, const std::string &limit, Duration retryAfter)
{
    return {CallerError::OverShare,
            "customer \"" + customer.value() + "\" is over its plan's limit of " + limit,
            retryAfter};
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

std::optional<Refusal> PlanLimitKeeper::take(const CustomerId &customer, const PlanLimits &limits,
                                             std::size_t routers, TimePoint now)
{
    const double part = 1.0 / static_cast<double>(std::max<std::size_t>(1, routers));
    const double rate = std::max(limits.requestsPerSecond * part, 1e-3);
    const double burst = std::max(kLeastBurst, rate);
    const auto inFlight = static_cast<std::uint32_t>(std::ceil(limits.requestsInFlight * part));
    const auto known = m_usage.find(customer);
    if (known == m_usage.end())
        m_usage[customer] = {0, burst, now};
    Usage &usage = m_usage[customer];
    usage.tokens = std::min(burst, usage.tokens + rate * seconds(now - usage.filledAt));
    usage.filledAt = now;
    if (usage.inFlight >= inFlight)
        return overShare(customer, std::to_string(limits.requestsInFlight) + " requests in flight",
                         kInFlightRetry);
    if (usage.tokens < 1) {
        const double wait = (1 - usage.tokens) / rate;
        return overShare(customer, std::to_string(limits.requestsPerSecond) + " requests a second",
                         std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)));
    }
    usage.tokens -= 1;
    ++usage.inFlight;
    return std::nullopt;
}

void PlanLimitKeeper::giveBack(const CustomerId &customer)
{
    const auto known = m_usage.find(customer);
    if (known != m_usage.end() && known->second.inFlight != 0)
        --known->second.inFlight;
}

} // namespace comfrey
