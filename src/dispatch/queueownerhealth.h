// What a router may expect of the owner of a shared queue: how long it waits for an answer, and how
// long it turns to other routers after one failed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "comfrey/units.h"

namespace comfrey {

/// State of one lease request for the choice of the next wait.
struct LeaseWait
{
    Duration waited{0};    ///< Since the lease was requested.
    Duration timeLeft{0};  ///< Until the caller leaves.
    bool isQueued = false; ///< An owner said that the request waits in its queue.
};

class QueueOwnerHealth
{
public:
    /// A request that no owner has answered by then is decided by its own router.
    static constexpr Duration kUndecidedTime = milliseconds(80);
    /// The owner answers a first poll within this time, and a later one within kLongPollTime.
    static constexpr Duration kFirstPollTime = milliseconds(40);
    static constexpr Duration kLongPollTime = milliseconds(150);
    /// Remaining time at which a router stops to wait for an owner: an answer takes about as long.
    static constexpr Duration kLastPlacementTime = milliseconds(60);

    /// Time to wait for the owner's answer to a poll; none if the router decides alone now: it
    /// refuses a request that waits in a queue, and places any other.
    static std::optional<Duration> pollTimeout(const LeaseWait &wait);

    /// The router did not answer a poll in time: it may be slow, frozen or cut off. It is skipped
    /// for a pause that doubles with each consecutive failure.
    void onSilent(const std::string &address, TimePoint now);
    /// The router refuses connections or polls: it has stopped.
    void onGone(const std::string &address, TimePoint now);
    void onAnswered(const std::string &address) { m_failures.erase(address); }
    bool isSkipped(const std::string &address, TimePoint now) const;

private:
    struct Failures
    {
        TimePoint skippedUntil = TimePoint::min();
        std::uint32_t consecutive = 0;
    };

    void skip(const std::string &address, Duration firstPause, TimePoint now);

    std::map<std::string, Failures> m_failures; ///< By address.
};

} // namespace comfrey
