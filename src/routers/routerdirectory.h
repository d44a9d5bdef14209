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

struct KnownRouter
{
    std::string name;
    ZoneId zone;
    std::string address; ///< "IP:port" for other routers.
    std::uint8_t standing =
        0; ///< 0 for routers whose link and processor serve others well, more for others.
};

class RouterDirectory
{
public:
    explicit RouterDirectory(KnownRouter self) : m_self(std::move(self)) { add(m_self); }

    const KnownRouter &self() const { return m_self; }
    void add(const KnownRouter &router);

    /// The first router of the zone that may be asked now; none if each of them failed lately.
    /// `selfFails`: this router can't read the store itself.
    std::optional<KnownRouter> first(const ZoneId &zone, bool selfFails, TimePoint now) const;
    /// The first router of another zone that goes before this one in the order of all routers and
    /// may be asked now; none if this one is to go first.
    std::optional<KnownRouter> firstElsewhere(TimePoint now) const;
    /// Whom this router asks while none is up to date: the first router of its zone that answers
    /// or, if that is this one, the first of all zones; none if that is this one too.
    std::optional<KnownRouter> predecessor(TimePoint now) const;
    /// The first of all routers, this one among them, that `isWanted`; none if there is none.
    std::optional<KnownRouter>
    firstOfAll(const std::function<bool(const KnownRouter &)> &isWanted) const;
    std::size_t size() const;
    /// The place of this router in its zone's order, from 0.
    std::size_t ownRank() const;
    /// True if the router comes before this one in its zone's order.
    bool precedesSelf(const KnownRouter &router) const;
    std::size_t zoneSize(const ZoneId &zone) const;
    std::vector<ZoneId> otherZones() const;

    void onGood(const std::string &name);
    /// The place of a router in its zone's order, from 0.
    std::size_t rankOf(const KnownRouter &router) const;
    /// It did not answer. It is asked again after a pause that grows.
    void onFailed(const std::string &name, TimePoint now);
    /// It answered, but is not up to date itself. It may be soon; the pause grows less.
    void onNotFresh(const std::string &name, TimePoint now);
    /// It is about to stop.
    void onLeaving(const std::string &name, TimePoint now);

private:
    struct Entry
    {
        KnownRouter router;
        std::uint32_t failures = 0; ///< In a row.
        TimePoint askAgainAt = TimePoint::min();
        TimePoint silentUntil = TimePoint::min(); ///< It does not answer, or stops.
    };

    KnownRouter m_self;
    /// By standing and the hash of the name: the order that all routers share.
    using Place = std::pair<std::uint8_t, std::uint64_t>;
    using Zone = std::map<Place, Entry>;

    static Place placeOf(const KnownRouter &router);
    Entry *find(const std::string &name);
    /// The first router of the zone that answers, this one counted as such; null if there is none.
    static const Entry *firstAnswering(const Zone &zone, TimePoint now);

    std::map<ZoneId, Zone> m_zones;
};

} // namespace comfrey
