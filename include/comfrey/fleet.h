// What one router believes about the other routers and about the back ends. Views of different
// routers may differ for seconds; each decision states what it guarantees meanwhile.
#pragma once

#include <cstdint>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

enum class InstanceKind : std::uint8_t { Router, Engine, Service };
enum class InstanceState : std::uint8_t { Live, Leaving };

/// One line of the platform's lagging list of instances.
struct Instance
{
    std::string id;
    InstanceKind kind = InstanceKind::Engine;
    InstanceState state = InstanceState::Live;
    ZoneId zone;
    Endpoint address;            ///< HTTP of a back end; nng of a router.
    Endpoint operatorAddress;    ///< Operators' HTTP port of a router.
    std::vector<ModelId> models; ///< Of an engine.
    ServiceName service;         ///< Of a service replica.
    std::uint32_t slots = 0;     ///< Requests that a back end runs at once.
    bool checksFencing = false;  ///< Whether it refuses orders with an old fencing number.
};

enum class RouterState : std::uint8_t { Alive, Suspect, Leaving };

struct RouterView
{
    RouterId id;
    ZoneId zone;
    Endpoint peerAddress;
    Endpoint operatorAddress;
    Incarnation incarnation;
    RouterState state = RouterState::Alive;
};

enum class BackendState : std::uint8_t {
    Joining, ///< Gets a growing part of its load.
    Live,
    Leaving, ///< Gets no new work; its requests in flight end.
};

struct BackendView
{
    BackendId id;
    InstanceKind kind = InstanceKind::Engine;
    ZoneId zone;
    Endpoint address;
    std::vector<ModelId> models;
    ServiceName service;
    std::uint32_t slots = 0;
    bool checksFencing = false;
    BackendState state = BackendState::Live;
    TimePoint since; ///< When this router first saw the present state.
};

/// This router's present view of the fleet. Lists are ordered by id.
class FleetView
{
public:
    virtual ~FleetView() = default;
    virtual const RouterId &self() const = 0;
    virtual const ZoneId &zone() const = 0;
    /// Every router believed to run, this one included.
    virtual const std::vector<RouterView> &routers() const = 0;
    /// Every back end that may have requests in flight.
    virtual const std::vector<BackendView> &backends() const = 0;
    virtual const BackendView *backend(const BackendId &id) const = 0;
    /// Grows whenever routers() or backends() changes, so that users can keep derived tables.
    virtual std::uint64_t version() const = 0;
    /// False until the platform's list was read once.
    virtual bool hasList() const { return true; }
};

} // namespace comfrey
