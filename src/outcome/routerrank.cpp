// Which routers are responsible for a thing that every router can name.
#include "outcome/routerrank.h"

#include <algorithm>
#include <functional>

#include <xxhash.h>

namespace comfrey {

std::vector<RouterId> rankedRouters(const FleetView &fleet, std::uint64_t hash, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const RouterId *>> weighted;
    for (const RouterView &router : fleet.routers()) {
        const std::string &id = router.id.value();
        if (router.state == RouterState::Alive)
            weighted.emplace_back(XXH64(id.data(), id.size(), hash), &router.id);
    }
    const std::size_t kept = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept),
                      weighted.end(), std::greater<>());
    std::vector<RouterId> ranks;
    for (std::size_t at = 0; at < kept; ++at)
        ranks.push_back(*weighted[at].second);
    return ranks;
}

} // namespace comfrey
