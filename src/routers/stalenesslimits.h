// How old a router's knowledge of the store may become. Its age counts from the last moment for
// which the store confirmed that the records are complete, whatever way the confirmation took. At a
// certain age a router reads the store itself, whichever routers failed to confirm in the meantime,
// so that one sum bounds the time until a change is applied.
#pragma once

#include <algorithm>

#include "comfrey/units.h"

namespace comfrey {

/// The waits between the store and a router, from the time within which each router must apply a
/// change.
class StalenessLimits
{
public:
    explicit constexpr StalenessLimits(Duration applyLimit) : m_applyLimit(applyLimit) { }

    /// Longest held read of the store.
    constexpr Duration storeHold() const { return percent(kStoreHold); }
    /// Longest held poll between zones.
    constexpr Duration zoneHold() const { return std::min(kMaxZoneHold, percent(kZoneHold)); }
    /// Longest held poll within a zone.
    constexpr Duration routerHold() const
    {
        return std::min(kMaxRouterHold, percent(kHolds) - zoneHold());
    }
    /// Age at which a router that reads the store counts as stale, so that the next one in the
    /// order takes over before others read it.
    constexpr Duration staleReaderAge() const { return percent(kStaleReaderAge); }
    /// Age at which the leader of a zone reads the store itself, and at which a router that follows
    /// another one counts as stale.
    constexpr Duration leaderReadAge() const { return percent(kLeaderReadAge); }
    /// Age at which any other router reads the store itself. Its zone's leader has read it by then.
    constexpr Duration readAge() const { return percent(kReadAge); }
    /// Age at which a router counts as out of date, unless its own read has succeeded before.
    constexpr Duration outdatedAge() const { return percent(kOutdatedAge); }

private:
    // In percent of the time within which a change must be applied.
    static constexpr int kStoreHold = 35;
    static constexpr int kZoneHold = 15;
    static constexpr int kHolds = 25; ///< One held poll between zones and one within a zone.
    static constexpr int kTravel = 10;
    static constexpr int kStaleReaderAge = 50;
    static constexpr int kLeaderReadAge = 60;
    static constexpr int kReadAge = 70;
    static constexpr int kOutdatedAge = 80;
    static constexpr int kRead = 25; ///< Until the next tick, and for one read that isn't held.
    // While nothing fails, no router but the leader of the fleet reaches the age for a read.
    static_assert(kStoreHold + kTravel <= kStaleReaderAge);
    static_assert(kStoreHold + kZoneHold + kTravel <= kLeaderReadAge);
    static_assert(kStoreHold + kHolds + kTravel <= kReadAge);
    // The bound: whatever fails on the way, a change is applied after the greatest age and one
    // read.
    static_assert(kStaleReaderAge <= kLeaderReadAge && kLeaderReadAge <= kReadAge
                  && kReadAge + kRead < 100);
    static_assert(kReadAge < kOutdatedAge && kOutdatedAge < 100);

    static constexpr Duration kMaxZoneHold = milliseconds(300);
    static constexpr Duration kMaxRouterHold = milliseconds(600);

    constexpr Duration percent(int share) const { return m_applyLimit * share / 100; }

    Duration m_applyLimit;
};

} // namespace comfrey
