// The routers that this one has heard of, by availability zone, and which of them it asks for news:
// in each zone the first one in an order that all routers share reads the platform's store, and the
// others ask it.
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

struct RouterInfo
{
    std::string name;
    ZoneId zone;
    std::string address; ///< "IP:port" for other routers.
    std::uint8_t capacityTier =
        0; ///< 0 for routers whose link and processor serve others well, more for others.
};

class RouterDirectory
{
public:
    explicit RouterDirectory(RouterInfo self) : m_self(std::move(self)) { add(m_self); }

    const RouterInfo &self() const { return m_self; }
    void add(const RouterInfo &router);

    /// The first router of the zone that may be asked now; none if each of them failed lately.
    /// `selfFails`: this router can't read the store itself.
    std::optional<RouterInfo> zoneLeader(const ZoneId &zone, bool selfUnavailable,
                                         TimePoint now) const;
    /// The first router of another zone that goes before this one in the order of all routers and
    /// may be asked now; none if this one is to go first.
    std::optional<RouterInfo> preferredRemoteLeader(TimePoint now) const;
    /// Whom this router asks while none is up to date: the first router of its zone that answers
    /// or, if that is this one, the first of all zones; none if that is this one too.
    std::optional<RouterInfo> fallbackUpstream(TimePoint now) const;
    /// The first of all routers, this one among them, that `isWanted`; none if there is none.
    std::optional<RouterInfo>
    mostPreferred(const std::function<bool(const RouterInfo &)> &isEligible) const;
    std::size_t size() const;
    /// The place of this router in its zone's order, from 0.
    std::size_t ownRank() const;
    /// True if the router comes before this one in its zone's order.
    bool isPreferredOverSelf(const RouterInfo &router) const;
    std::size_t zoneSize(const ZoneId &zone) const;
    std::vector<ZoneId> otherZones() const;

    void onSucceeded(const std::string &name);
    /// The place of a router in its zone's order, from 0.
    std::size_t rankOf(const RouterInfo &router) const;
    /// It did not answer. It is asked again after a pause that grows.
    void onFailed(const std::string &name, TimePoint now);
    /// It answered, but is not up to date itself. It may be soon; the pause grows less.
    void onStale(const std::string &name, TimePoint now);
    /// It is about to stop.
    void onLeaving(const std::string &name, TimePoint now);

private:
    struct Entry
    {
        RouterInfo router;
        std::uint32_t failures = 0; ///< In a row.
        TimePoint retryAt = TimePoint::min();
        TimePoint unreachableUntil = TimePoint::min(); ///< It does not answer, or stops.
    };

    RouterInfo m_self;
    /// By standing and the hash of the name: the order that all routers share.
    using Preference = std::pair<std::uint8_t, std::uint64_t>;
    using Zone = std::map<Preference, Entry>;

    static Preference preferenceOf(const RouterInfo &router);
    Entry *find(const std::string &name);
    /// The first router of the zone that answers, this one counted as such; null if there is none.
    static const Entry *firstReachable(const Zone &zone, TimePoint now);

    std::map<ZoneId, Zone> m_zones;
};

} // namespace comfrey
