// What an engine still has to be told.
#include "orders/nextorder.h"

#include <algorithm>

#include <xxhash.h>

namespace comfrey {

namespace {

template<typename Name>
bool contains(const std::vector<Name> &names, const std::string &wanted)
{
    return std::any_of(names.begin(), names.end(),
                       [&wanted](const Name &name) { return name.value() == wanted; });
}

} // namespace

std::optional<WantedOrder> nextOrder(const Goal &goal, const LoadReport &report)
{
    for (const ModelId &model : report.models) {
        if (goal.models.count(model.value()) == 0)
            return WantedOrder{OrderKind::UnloadModel, model.value()};
    }
    for (const std::string &model : goal.models) {
        if (!contains(report.models, model))
            return WantedOrder{OrderKind::LoadModel, model};
    }
    for (const std::string &adapter : goal.adapters) {
        if (!contains(report.adapters, adapter))
            return WantedOrder{OrderKind::LoadAdapter, adapter};
    }
    if (!goal.role.empty() && goal.role != report.role)
        return WantedOrder{OrderKind::SetRole, goal.role};
    if (!goal.version.empty() && report.newestOrder.value() < goal.origin.value())
        return WantedOrder{OrderKind::SetVersion, goal.version};
    return std::nullopt;
}

OrderId orderIdOf(const BackendId &engine, const Goal &goal, const WantedOrder &order)
{
    const std::uint64_t seed =
        XXH64(engine.value().data(), engine.value().size(), goal.origin.value());
    const auto kind = static_cast<std::uint64_t>(order.kind);
    return OrderId(XXH64(order.subject.data(), order.subject.size(), seed + kind));
}

} // namespace comfrey
