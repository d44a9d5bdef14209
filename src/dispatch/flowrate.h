// Rates at which a queue's requests arrive and its servers work, over about the last half second.
#pragma once

#include "comfrey/units.h"

namespace comfrey {

/// Arrivals a second, as a moving average that starts at zero.
class ArrivalRate
{
public:
    void count(TimePoint now);
    double perSecond(TimePoint now) const;

private:
    double m_count = 0; ///< Arrivals, weighted less the older they are.
    TimePoint m_countedAt = TimePoint::min();
};

/// Leases a second that end while requests wait, which is what the servers can do at most. Without
/// waiting requests nothing is learnt, since the servers then end what arrives.
class DrainRate
{
public:
    /// A lease ended, or time has passed; `isSaturated` tells whether requests waited since the
    /// last call.
    void advance(std::uint32_t endedLeases, bool isSaturated, TimePoint now);
    /// `expected` is the rate to assume as far as nothing was measured.
    double perSecond(double expected) const;
    /// The servers' number of slots changed by this factor.
    void scale(double factor) { m_ended *= factor; }

private:
    double m_ended = 0;   ///< Leases that ended in m_seconds.
    double m_seconds = 0; ///< Time with waiting requests, weighted less the older it is.
    TimePoint m_advancedAt = TimePoint::min();
};

} // namespace comfrey
