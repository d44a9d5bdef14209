// The facade: all decisions of one router behind one function. It opens no socket, reads no clock,
// starts no thread, and draws randomness only from its seed, so every run can be replayed.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "comfrey/actions.h"
#include "comfrey/events.h"
#include "comfrey/settings.h"
#include "comfrey/units.h"

namespace comfrey {

class Router
{
public:
    /// `incarnation` must be above that of every earlier start of the same router id.
    Router(const Settings &settings, Incarnation incarnation, std::uint64_t seed);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Takes one event and appends the resulting actions to `out`. `now` never goes back.
    void handle(const Event &event, TimePoint now, std::vector<Action> &out);

    /// When the next Tick is due; kNever if only another event can change anything.
    TimePoint nextWakeUp() const;

    /// True while callers' requests should be sent here (readiness).
    bool isReady() const;

    /// The whole state as JSON text, without prompts and keys.
    std::string dump(TimePoint now) const;

    /// Models that the owner of the key may use and that some engine serves; empty for an unknown
    /// key.
    std::vector<ModelId> modelsFor(const ApiKeyHash &key) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace comfrey
