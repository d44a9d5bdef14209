// The check of the rule DRAIN: what reached a replica that had left the list.
#pragma once

#include <map>
#include <string>

#include "fleet.h"

namespace comfrey::review {

constexpr std::int64_t kDrainMs = 2000;        ///< Bound drain_ms.
constexpr std::int64_t kStableWindowMs = 3000; ///< Bound stable_window_ms.

/// Notes which requests reached `replica` too late, and returns how many. `ackedAtMs`: when the
/// store acknowledged that the replica is gone. `calmFromMs`: from when on all machines are in
/// touch again.
inline std::size_t judgeDrain(Fleet &fleet, const Replica &replica, std::int64_t ackedAtMs,
                              std::int64_t calmFromMs)
{
    std::map<std::string, std::size_t> byRouter;
    std::size_t late = 0;
    std::size_t lost = 0;
    for (const Arrival &arrival : fleet.record().arrivals()) {
        if (arrival.replica != replica.id() || arrival.atMs <= ackedAtMs + kDrainMs
            || arrival.atMs <= calmFromMs)
            continue;
        ++late;
        const auto sent = fleet.record().sent().find(arrival.request);
        if (sent == fleet.record().sent().end())
            continue;
        ++byRouter[sent->second.router];
        lost += sent->second.status == 200 ? 0 : 1;
    }
    std::string text = "DRAIN: " + std::to_string(late) + " requests reached " + replica.id()
        + " later than " + std::to_string(kDrainMs) + " ms after the store had acknowledged that "
        + "it is gone, from machines in touch";
    for (const auto &[router, count] : byRouter)
        text += "; " + std::to_string(count) + " from " + router;
    fleet.record().note(text + "; " + std::to_string(lost) + " of them got no success");
    return late;
}

} // namespace comfrey::review
