// Which routers are responsible for a thing that every router can name: rendezvous hashing over the
// routers that are alive in this router's view. Views may differ, so responsibility gives no
// authority; whatever it leads to has to be harmless when two routers do it.
#pragma once

#include <vector>

#include "comfrey/fleet.h"

namespace comfrey {

/// The first `count` routers for the thing with this hash, the responsible one first.
std::vector<RouterId> rankedRouters(const FleetView &fleet, std::uint64_t hash, std::size_t count);

} // namespace comfrey
