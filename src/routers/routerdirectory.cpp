// Routers in the shared order.
#include "routers/routerdirectory.h"

#include <algorithm>

#include "placement/ranking.h"

namespace comfrey {

namespace {

constexpr Duration kFirstPause = milliseconds(500);
constexpr Duration kLongestPause = milliseconds(8000);  // a replaced router never comes back, a restarted one in seconds
constexpr Duration kLeavingPause = milliseconds(3000);  // a restart takes longer

} // namespace

void RouterDirectory::add(const KnownRouter &router)
{
    Entry &entry = m_zones[router.zone][hashOf(router.name)];
    if (entry.router.address != router.address)
        entry = Entry{router, 0, TimePoint::min()};
}

std::optional<KnownRouter> RouterDirectory::first(const ZoneId &zone, bool selfFails, TimePoint now) const
{
    const auto found = m_zones.find(zone);
    if (found == m_zones.end())
        return std::nullopt;
    for (const auto &[hash, entry] : found->second) {
        const bool isSelf = entry.router.name == m_self.name;
        if (isSelf ? !selfFails : now >= entry.askAgainAt)
            return entry.router;
    }
    return std::nullopt;
}

std::size_t RouterDirectory::ownRank() const
{
    const auto &zone = m_zones.at(m_self.zone);
    return static_cast<std::size_t>(std::distance(zone.begin(), zone.find(hashOf(m_self.name))));
}

bool RouterDirectory::precedesSelf(const std::string &name) const
{
    return hashOf(name) < hashOf(m_self.name);
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
    for (auto &[zone, routers] : m_zones) {
        const auto found = routers.find(hashOf(name));
        if (found != routers.end())
            found->second.failures = 0;
    }
}

void RouterDirectory::onFailed(const std::string &name, TimePoint now)
{
    for (auto &[zone, routers] : m_zones) {
        const auto found = routers.find(hashOf(name));
        if (found == routers.end())
            continue;
        Entry &entry = found->second;
        entry.askAgainAt = now + std::min(kLongestPause, kFirstPause * (1U << std::min(entry.failures, 4U)));
        ++entry.failures;
    }
}

void RouterDirectory::onLeaving(const std::string &name, TimePoint now)
{
    for (auto &[zone, routers] : m_zones) {
        const auto found = routers.find(hashOf(name));
        if (found != routers.end())
            found->second.askAgainAt = now + kLeavingPause;
    }
}

} // namespace comfrey
