// Rendezvous hashing: every router ranks the same candidates for a key in the same order, without a
// table or a message. When a candidate leaves, only the keys that it ranked first move.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "comfrey/events.h"
#include "comfrey/fleet.h"

namespace comfrey {

/// The weight of a candidate for a key; the highest one ranks first.
std::uint64_t rendezvousWeight(std::uint64_t key, std::string_view candidate);

std::uint64_t hashOf(std::string_view text);

/// The key that engines are ranked by: the chat, or the shared prefix if the request has no chat,
/// or the request's own fingerprint.
std::uint64_t affinityKey(const CallerRequest &request);

/// `engines` ordered by falling weight for `key`.
std::vector<const BackendView *> ranked(std::uint64_t key,
                                        const std::vector<const BackendView *> &engines);

/// Engines that take new work for the request's model, in the order of FleetView::backends().
std::vector<const BackendView *> enginesServing(const ModelId &model, const FleetView &fleet);

/// Equal for engines that serve the same models; their mean load is one.
std::uint64_t poolKey(const BackendView &backend);

/// The router that is home of a back end: it probes it and keeps its slots. Only routers that are
/// alive count; this router itself if the view holds none.
RouterId homeRouterOf(const BackendId &backend, const FleetView &fleet);

} // namespace comfrey
