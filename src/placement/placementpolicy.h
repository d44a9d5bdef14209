// Which engine for a request: the policies behind one interface, chosen by placement.policy.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "comfrey/fleet.h"
#include "facade/part.h"

namespace comfrey {

/// What this router knows of an engine when it places a request.
struct EngineCandidate
{
    const BackendView *engine = nullptr;
    std::uint32_t ownInFlight = 0;   ///< Of this router.
    std::uint32_t fleetInFlight = 0; ///< Of all routers, as last heard; it may be seconds old.
    bool deferred = false;           ///< Slow or new: to be taken after the others.
};

struct PlacementQuestion
{
    std::uint64_t key = 0;            ///< affinityKey() of the request.
    std::optional<BackendId> movedTo; ///< Engine that served the chat last, if not its first.
};

class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;
    PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy &) = delete;
    PlacementPolicy &operator=(const PlacementPolicy &) = delete;

    /// The engines in the order in which they are to be tried. `candidates` is ordered by id and
    /// not empty; it outlives the result.
    virtual std::vector<const BackendView *>
    order(const PlacementQuestion &question, const std::vector<EngineCandidate> &candidates) = 0;

    /// True if a request needs a slot of the engine's home router before it is sent.
    virtual bool asksForSlots() const { return false; }
    /// True if the policy needs every engine's reported load on every router.
    virtual bool usesReports() const { return false; }
};

/// Returns the policy of that name; an empty name is "bounded-affinity". Null for an unknown name.
std::unique_ptr<PlacementPolicy> makePlacementPolicy(const std::string &name, Random &random);

} // namespace comfrey
