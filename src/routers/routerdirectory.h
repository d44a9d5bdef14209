// The known routers by availability zone, and which of them this router polls for updates. All
// routers rank each other by the same fixed order, so there is no election: the first reachable
// router of a zone is the zone's leader, and the first of all zones is the fleet's leader. The
// fleet's leader reads the platform's store, zone leaders follow it and the other routers follow
// the leader of their zone, by long polling.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// A router as the others know it.
struct RouterInfo
{
    std::string name;
    ZoneId zone;
    std::string address; ///< "IP:port" of the port for other routers.
    std::uint8_t capacityTier =
        0; ///< 0 for routers with a fast link and processor, which are preferred; else more.
};

/// Known routers in their shared order, and which of them failed lately.
class RouterDirectory
{
public:
    explicit RouterDirectory(RouterInfo self) : m_self(std::move(self)) { add(m_self); }

    const RouterInfo &self() const { return m_self; }
    /// Adds the router, or replaces its entry and clears its failures if its address changed.
    void add(const RouterInfo &router);

    /// The leader of the zone: its most preferred router that may be polled at `now`. None if all
    /// of them failed lately. With `selfUnavailable`, this router is skipped because it can't read
    /// the store.
    std::optional<RouterInfo> zoneLeader(const ZoneId &zone, bool selfUnavailable,
                                         TimePoint now) const;
    /// The most preferred leader of the other zones. None unless it is preferred over this router,
    /// which makes this router the fleet's leader if it leads its zone.
    std::optional<RouterInfo> preferredRemoteLeader(TimePoint now) const;
    /// The router to poll while no router is up to date with the store: the first reachable router
    /// of this zone or, if that is this router, the first reachable one of all zones. None if that
    /// is this router too.
    std::optional<RouterInfo> fallbackUpstream(TimePoint now) const;
    /// The most preferred router of all zones, this one included, for which `isEligible` returns
    /// true; none if there is no such router.
    std::optional<RouterInfo>
    mostPreferred(const std::function<bool(const RouterInfo &)> &isEligible) const;
    /// Number of known routers, this one included.
    std::size_t size() const;
    /// Rank of this router in its zone's order, from 0.
    std::size_t ownRank() const;
    /// True if the shared order has `router` before this router.
    bool isPreferredOverSelf(const RouterInfo &router) const;
    /// Number of known routers in the zone.
    std::size_t zoneSize(const ZoneId &zone) const;
    /// Zones with known routers, without this router's zone.
    std::vector<ZoneId> otherZones() const;

    /// Resets the failure count of a router that answered a poll usefully.
    void onSucceeded(const std::string &name);
    /// Rank of a router in its zone's order, from 0.
    std::size_t rankOf(const RouterInfo &router) const;
    /// The router did not answer a poll. It is retried after a delay that doubles with each
    /// failure.
    void onFailed(const std::string &name, TimePoint now);
    /// The router answered, but its updates are stale. The retry delay is shorter than after
    /// onFailed(), since the router may be up to date again soon.
    void onStale(const std::string &name, TimePoint now);
    /// The router announced that it is stopping.
    void onLeaving(const std::string &name, TimePoint now);

private:
    struct Entry
    {
        RouterInfo router;
        std::uint32_t failures = 0; ///< Consecutive failures.
        TimePoint retryAt = TimePoint::min();
        TimePoint unreachableUntil = TimePoint::min(); ///< The router is silent or is stopping.
    };

    RouterInfo m_self;
    /// Capacity tier and hash of the name: the sort key of the order that all routers share.
    using Preference = std::pair<std::uint8_t, std::uint64_t>;
    using Zone = std::map<Preference, Entry>;

    static Preference preferenceOf(const RouterInfo &router);
    Entry *find(const std::string &name);
    /// The most preferred router of the zone that is reachable; this router always is. Null if
    /// none.
    static const Entry *firstReachable(const Zone &zone, TimePoint now);

    std::map<ZoneId, Zone> m_zones;
};

} // namespace comfrey
