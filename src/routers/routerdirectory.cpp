// Routers in the shared order.
#include "routers/routerdirectory.h"

#include <algorithm>

#include "placement/ranking.h"

namespace comfrey {

namespace {

constexpr Duration kFirstPause = milliseconds(500);
constexpr Duration kLongestPause =
    milliseconds(8000); // a replaced router never comes back, a restarted one in seconds
constexpr Duration kNotFreshPause = milliseconds(150);    // a read of the store and its way here
constexpr Duration kLongestNotFresh = milliseconds(2000); // most outages of a store last longer
constexpr Duration kLeavingPause = milliseconds(3000);    // a restart takes longer

} // namespace

RouterDirectory::Place RouterDirectory::placeOf(const KnownRouter &router)
{
    return {router.standing, hashOf(router.name)};
}

void RouterDirectory::add(const KnownRouter &router)
{
    Entry &entry = m_zones[router.zone][placeOf(router)];
    if (entry.router.address != router.address)
        entry = Entry{router, 0, TimePoint::min()};
}

RouterDirectory::Entry *RouterDirectory::find(const std::string &name)
{
    for (auto &[zone, routers] : m_zones) {
        for (auto &[place, entry] : routers) {
            if (entry.router.name == name)
                return &entry;
        }
    }
    return nullptr;
}

std::optional<KnownRouter> RouterDirectory::first(const ZoneId &zone, bool selfFails,
                                                  TimePoint now) const
{
    const auto found = m_zones.find(zone);
    if (found == m_zones.end())
        return std::nullopt;
    for (const auto &[place, entry] : found->second) {
        const bool isSelf = entry.router.name == m_self.name;
        if (isSelf ? !selfFails : now >= entry.askAgainAt)
            return entry.router;
    }
    return std::nullopt;
}

std::optional<KnownRouter> RouterDirectory::firstElsewhere(TimePoint now) const
{
    std::optional<KnownRouter> best;
    for (const auto &[zone, routers] : m_zones) {
        if (zone == m_self.zone)
            continue;
        const auto router = first(zone, false, now);
        if (router && precedesSelf(*router) && (!best || placeOf(*router) < placeOf(*best)))
            best = router;
    }
    return best;
}

const RouterDirectory::Entry *RouterDirectory::firstAnswering(const Zone &zone, TimePoint now)
{
    const auto found = std::find_if(zone.begin(), zone.end(), [now](const auto &place) {
        return now >= place.second.silentUntil;
    });
    return found == zone.end() ? nullptr : &found->second;
}

std::optional<KnownRouter> RouterDirectory::predecessor(TimePoint now) const
{
    const Entry *first = firstAnswering(m_zones.at(m_self.zone), now);
    if (first->router.name != m_self.name)
        return first->router;
    for (const auto &[zone, routers] : m_zones) {
        const Entry *other = firstAnswering(routers, now);
        if (other && placeOf(other->router) < placeOf(first->router))
            first = other;
    }
    return first->router.name == m_self.name ? std::nullopt : std::optional(first->router);
}

std::optional<KnownRouter>
RouterDirectory::firstOfAll(const std::function<bool(const KnownRouter &)> &isWanted) const
{
    std::optional<KnownRouter> best;
    for (const auto &[zone, routers] : m_zones) {
        const auto found = std::find_if(routers.begin(), routers.end(), [&](const auto &entry) {
            return isWanted(entry.second.router);
        });
        if (found != routers.end() && (!best || found->first < placeOf(*best)))
            best = found->second.router;
    }
    return best;
}

std::size_t RouterDirectory::size() const
{
    std::size_t count = 0;
    for (const auto &[zone, routers] : m_zones)
        count += routers.size();
    return count;
}

std::size_t RouterDirectory::ownRank() const
{
    return rankOf(m_self);
}

std::size_t RouterDirectory::rankOf(const KnownRouter &router) const
{
    const auto found = m_zones.find(router.zone);
    if (found == m_zones.end())
        return 0;
    const auto &zone = found->second;
    return static_cast<std::size_t>(std::distance(zone.begin(), zone.lower_bound(placeOf(router))));
}

bool RouterDirectory::precedesSelf(const KnownRouter &router) const
{
    return placeOf(router) < placeOf(m_self);
}

std::size_t RouterDirectory::zoneSize(const ZoneId &zone) const
{
    const auto found = m_zones.find(zone);
    return found == m_zones.end() ? 0 : found->second.size();
}

std::vector<ZoneId> RouterDirectory::otherZones() const
{
    std::vector<ZoneId> zones;
    for (const auto &[zone, routers] : m_zones) {
        if (zone != m_self.zone)
            zones.push_back(zone);
    }
    return zones;
}

void RouterDirectory::onGood(const std::string &name)
{
    if (Entry *entry = find(name))
        entry->failures = 0;
}

void RouterDirectory::onFailed(const std::string &name, TimePoint now)
{
    Entry *entry = find(name);
    if (!entry)
        return;
    entry->askAgainAt =
        now + std::min(kLongestPause, kFirstPause * (1U << std::min(entry->failures, 4U)));
    entry->silentUntil = entry->askAgainAt;
    ++entry->failures;
}

void RouterDirectory::onNotFresh(const std::string &name, TimePoint now)
{
    Entry *entry = find(name);
    if (!entry)
        return;
    entry->askAgainAt =
        now + std::min(kLongestNotFresh, kNotFreshPause * (1U << std::min(entry->failures, 4U)));
    ++entry->failures;
}

void RouterDirectory::onLeaving(const std::string &name, TimePoint now)
{
    if (Entry *entry = find(name))
        entry->askAgainAt = entry->silentUntil = now + kLeavingPause;
}

} // namespace comfrey
