// Which routers read the stream "config" from the log for all: a few, spread over availability
// zones, chosen by rendezvous hashing, so that every router names the same without a message.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "comfrey/fleet.h"

namespace comfrey {

/// The `count` routers that read, best first; routers that are not alive are passed over.
std::vector<RouterId> tailingRouters(const FleetView &fleet, std::uint32_t count);

/// This router's place among them; nothing if it is not one of them.
std::optional<std::uint32_t> ownTailingRank(const FleetView &fleet, std::uint32_t count);

} // namespace comfrey
