// One concern of a router. The facade hands every event and message to every part in a fixed order;
// a part keeps its own state and sees the others only through the views in PartContext.
#pragma once

#include <cstdint>
#include <random>

#include <nlohmann/json_fwd.hpp>

#include "comfrey/events.h"
#include "comfrey/fleet.h"
#include "comfrey/lists.h"
#include "comfrey/settings.h"
#include "facade/outbox.h"
#include "generated/messages.generated.h"

namespace comfrey {

/// Gives out the router's numeric ids. A router never uses an id twice in one incarnation.
class IdSource
{
public:
    AttemptId nextAttempt() { return AttemptId(++m_last); }
    AppendId nextAppend() { return AppendId(++m_last); }

private:
    std::uint64_t m_last = 0;
};

using Random = std::mt19937_64;

/// What a part may use of its router. All references outlive the parts.
struct PartContext
{
    const Settings &settings;
    Incarnation incarnation;
    const FleetView &fleet;
    const ListsView &lists;
    IdSource &ids;
    Random &random;
};

class Part
{
public:
    virtual ~Part() = default;
    Part() = default;
    Part(const Part &) = delete;
    Part &operator=(const Part &) = delete;

    /// Key of the part's state in the dump.
    virtual const char *name() const = 0;
    virtual void onEvent(const Event &event, TimePoint now, Outbox &out) = 0;
    /// A verified message from another router.
    virtual void onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now,
                           Outbox &out)
    {
        (void)from;
        (void)message;
        (void)now;
        (void)out;
    }
    /// When the part wants the next Tick; kNever if it waits for other events only.
    virtual TimePoint nextWakeUp() const = 0;
    /// True when a stopping router need not wait for this part.
    virtual bool isIdle() const { return true; }
    virtual void dump(nlohmann::json &out, TimePoint now) const = 0;
};

} // namespace comfrey
