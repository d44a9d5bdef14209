// Which routers read the stream "config" from the log for all.
#include "config/tailers.h"

#include <algorithm>
#include <set>
#include <utility>

#include "placement/ranking.h"

namespace comfrey {

namespace {

using Ranked = std::pair<std::uint64_t, const RouterView *>;

std::vector<Ranked> rankedByWeight(const FleetView &fleet)
{
    const std::uint64_t key = hashOf("config tail");
    std::vector<Ranked> ranks;
    for (const RouterView &router : fleet.routers()) {
        if (router.state == RouterState::Alive)
            ranks.emplace_back(rendezvousWeight(key, router.id.value()), &router);
    }
    std::sort(ranks.begin(), ranks.end(), [](const Ranked &left, const Ranked &right) {
        return left.first != right.first ? left.first > right.first
                                         : left.second->id < right.second->id;
    });
    return ranks;
}

} // namespace

std::vector<RouterId> tailingRouters(const FleetView &fleet, std::uint32_t count)
{
    const std::vector<Ranked> ranks = rankedByWeight(fleet);
    std::vector<RouterId> chosen;
    std::set<ZoneId> zones;
    const auto isChosen = [&chosen](const RouterId &id) {
        return std::find(chosen.begin(), chosen.end(), id) != chosen.end();
    };
    for (const auto &[weight, router] : ranks) {
        if (chosen.size() < count && zones.insert(router->zone).second)
            chosen.push_back(router->id);
    }
    for (const auto &[weight, router] : ranks) {
        if (chosen.size() < count && !isChosen(router->id))
            chosen.push_back(router->id);
    }
    return chosen;
}

std::optional<std::uint32_t> ownTailingRank(const FleetView &fleet, std::uint32_t count)
{
    const std::vector<RouterId> chosen = tailingRouters(fleet, count);
    const auto own = std::find(chosen.begin(), chosen.end(), fleet.self());
    if (own == chosen.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(own - chosen.begin());
}

} // namespace comfrey
