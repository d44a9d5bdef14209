// A request that crashes each replica that begins to run it and comes again, and the check of the
// rule BUDGET for it.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "fleet.h"

namespace comfrey::review {

class CrashingRequest
{
public:
    static constexpr std::int64_t kStableWindowMs = 3000; ///< Bound stable_window_ms.
    static constexpr std::size_t kMostRetries = 3;        ///< Of the rule.

    /// `crashTime`: from the start of its run to the end of the replica's process.
    CrashingRequest(Fleet &fleet, Duration crashTime) : m_fleet(fleet), m_crashTime(crashTime) { }

    /// Starts a replica that the request can crash; another one starts 3 s after its crash.
    void startReplica()
    {
        Replica &replica = m_fleet.startReplica("zone-a");
        replica.crashTime = m_crashTime;
        replica.onCrash([this, &replica] {
            m_crashesMs.push_back(m_fleet.record().nowMs());
            m_fleet.later(kReplicaReturn, [this] { startReplica(); });
            m_fleet.later(kExpiry, [this, &replica] {
                m_fleet.store().append(Fleet::kServers, replica.id(), "");
            });
        });
    }

    /// Sends the request to each router in turn. The requester leaves after `patience`.
    void send(Duration patience)
    {
        m_fleet.sendTo(m_fleet.member(m_sent++ % m_fleet.size()), Replica::kCrashingBody, patience);
    }

    /// Notes and returns whether the rule is broken.
    bool isRuleBroken() const
    {
        std::size_t retries = 0;
        if (m_crashesMs.size() >= 3)
            retries = static_cast<std::size_t>(
                std::count_if(m_crashesMs.begin(), m_crashesMs.end(), [this](std::int64_t at) {
                    return at > m_crashesMs[2] + kStableWindowMs + m_crashTime.count() / 1000;
                }));
        m_fleet.record().note("BUDGET: the request crashed " + std::to_string(m_crashesMs.size())
                              + " replicas; " + std::to_string(retries)
                              + " sendings reached replicas later than "
                              + std::to_string(kStableWindowMs) + " ms after the third crash");
        return retries > kMostRetries;
    }

private:
    static constexpr Duration kReplicaReturn = milliseconds(3000); ///< "After some seconds".
    static constexpr Duration kExpiry = milliseconds(3600);        ///< Three heartbeats.

    Fleet &m_fleet;
    Duration m_crashTime;
    std::vector<std::int64_t> m_crashesMs; ///< Each is a sending that reached a replica.
    std::size_t m_sent = 0;
};

} // namespace comfrey::review
