// Moving averages of arrivals and of ended leases.
#include "dispatch/flowrate.h"

#include <cmath>

namespace comfrey {

namespace {

/// Over which the averages are taken: a burst of requests lasts a few seconds.
constexpr double kMemorySeconds = 0.5;
/// Weight of the expected rate beside the measured one.
constexpr double kExpectedSeconds = 0.1;

double secondsBetween(TimePoint from, TimePoint to)
{
    return static_cast<double>((to - from).count()) / 1e6;
}

} // namespace

void ArrivalRate::count(TimePoint now)
{
    m_count = perSecond(now) * kMemorySeconds + 1;
    m_countedAt = now;
}

double ArrivalRate::perSecond(TimePoint now) const
{
    if (m_countedAt == TimePoint::min())
        return 0;
    return m_count * std::exp(-secondsBetween(m_countedAt, now) / kMemorySeconds) / kMemorySeconds;
}

void DrainRate::advance(std::uint32_t endedLeases, bool isSaturated, TimePoint now)
{
    const TimePoint last = m_advancedAt;
    m_advancedAt = now;
    if (!isSaturated || last == TimePoint::min())
        return;
    const double passed = secondsBetween(last, now);
    const double kept = std::exp(-passed / kMemorySeconds);
    m_ended = m_ended * kept + endedLeases;
    m_seconds = m_seconds * kept + passed;
}

double DrainRate::perSecond(double expected) const
{
    return (m_ended + expected * kExpectedSeconds) / (m_seconds + kExpectedSeconds);
}

} // namespace comfrey
