// What an engine still has to be told, from its goal and its own report.
#pragma once

#include <optional>
#include <string>

#include "comfrey/actions.h"
#include "comfrey/events.h"
#include "orders/goaltable.h"

namespace comfrey {

struct WantedOrder
{
    OrderKind kind = OrderKind::LoadModel;
    std::string subject;
    friend bool operator==(const WantedOrder &, const WantedOrder &) = default;
};

/// The first difference between goal and report, or nothing if they agree. Models that are not
/// wanted leave before others come, since an engine's memory is limited. Adapters that are not
/// wanted stay until the engine itself evicts them.
std::optional<WantedOrder> nextOrder(const Goal &goal, const LoadReport &report);

/// The same for the same order, whoever gives it: a repeated fetch of weights counts once.
OrderId orderIdOf(const BackendId &engine, const Goal &goal, const WantedOrder &order);

} // namespace comfrey
