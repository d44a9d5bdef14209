// Rendezvous hashing over engines and routers.
#include "placement/ranking.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace comfrey {

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvousWeight(std::uint64_t key, std::string_view candidate)
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), key);
}

std::uint64_t affinityKey(const CallerRequest &request)
{
    if (!request.chat.isEmpty())
        return hashOf(request.chat.value());
    if (request.sharedPrefix.value() != 0)
        return request.sharedPrefix.value();
    return request.fingerprint.value();
}

std::vector<const BackendView *> ranked(std::uint64_t key,
                                        const std::vector<const BackendView *> &engines)
{
    std::vector<std::pair<std::uint64_t, const BackendView *>> weighed;
    weighed.reserve(engines.size());
    for (const BackendView *engine : engines)
        weighed.emplace_back(rendezvousWeight(key, engine->id.value()), engine);
    std::sort(weighed.begin(), weighed.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first
                                         : left.second->id < right.second->id;
    });
    std::vector<const BackendView *> order;
    order.reserve(weighed.size());
    for (const auto &[weight, engine] : weighed)
        order.push_back(engine);
    return order;
}

std::vector<const BackendView *> enginesServing(const ModelId &model, const FleetView &fleet)
{
    std::vector<const BackendView *> engines;
    for (const BackendView &backend : fleet.backends()) {
        if (backend.kind != InstanceKind::Engine || backend.state == BackendState::Leaving)
            continue;
        if (std::find(backend.models.begin(), backend.models.end(), model) != backend.models.end())
            engines.push_back(&backend);
    }
    return engines;
}

std::uint64_t poolKey(const BackendView &backend)
{
    std::uint64_t key = 0;
    for (const ModelId &model : backend.models)
        key = rendezvousWeight(key, model.value());
    return key;
}

RouterId homeRouterOf(const BackendId &backend, const FleetView &fleet)
{
    const std::uint64_t key = hashOf(backend.value());
    const RouterView *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const RouterView &router : fleet.routers()) {
        if (router.state != RouterState::Alive)
            continue;
        const std::uint64_t weight = rendezvousWeight(key, router.id.value());
        if (best != nullptr && weight <= bestWeight)
            continue;
        best = &router;
        bestWeight = weight;
    }
    return best == nullptr ? fleet.self() : best->id;
}

} // namespace comfrey
