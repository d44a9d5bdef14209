// Passive health checking: no extra requests are sent, only results of callers' requests count.
#include "dispatch/replicahealth.h"

#include <algorithm>

namespace comfrey {

namespace {

constexpr double kFailureWeight =
    0.25; ///< Weight of one result in the failure share: two consecutive failures eject a server.
constexpr double kLatencyWeight = 0.1; ///< Weight of one answer in the smoothed latency.
constexpr double kMaxExcessFailureShare =
    0.3; ///< Failure share above that of the peers; beyond it, they serve callers better.
constexpr Duration kInitialEjection = milliseconds(500);
constexpr Duration kMaxEjection = milliseconds(4000); // a crashed server restarts within seconds
constexpr Duration kMinSilenceLimit =
    milliseconds(400); // a long prompt ahead causes shorter silences
constexpr int kSilenceOverTypicalLatency =
    6; ///< Multiple of the typical latency, far in the tail of a busy server's latencies.

/// Time without an answer that load alone does not explain.
Duration silenceLimit(Duration typicalLatency)
{
    return std::max(kMinSilenceLimit, typicalLatency * kSilenceOverTypicalLatency);
}

} // namespace

void ReplicaHealth::onSent(TimePoint now)
{
    if (m_pendingRequests++ == 0)
        m_silentSince = now;
}

void ReplicaHealth::endPendingRequest(TimePoint now)
{
    if (m_pendingRequests > 0)
        --m_pendingRequests;
    m_silentSince = m_pendingRequests > 0 ? now : kNever;
}

void ReplicaHealth::onAnswer(Duration waited, TimePoint now)
{
    const auto sample = static_cast<double>(waited.count());
    m_latencyUs = m_latencyUs == 0 ? sample : m_latencyUs + kLatencyWeight * (sample - m_latencyUs);
    m_failureShare *= 1 - kFailureWeight;
    m_ejectionLevel -= m_ejectionLevel > 0 ? 1 : 0;
    m_unreachable = false;
    m_ejectedUntil = TimePoint::min();
    endPendingRequest(now);
}

void ReplicaHealth::recordFailure(double peerFailureShare, TimePoint now)
{
    m_failureShare += kFailureWeight * (1 - m_failureShare);
    if (m_failureShare > peerFailureShare + kMaxExcessFailureShare)
        eject(now);
}

void ReplicaHealth::onFailure(double peerFailureShare, TimePoint now)
{
    recordFailure(peerFailureShare, now);
    m_unreachable = false;
    endPendingRequest(now);
}

void ReplicaHealth::onAnswerInterrupted(double peerFailureShare, TimePoint now)
{
    recordFailure(peerFailureShare, now);
}

void ReplicaHealth::onUnreachable(TimePoint now)
{
    onConnectFailure(now);
    endPendingRequest(now);
}

void ReplicaHealth::onConnectFailure(TimePoint now)
{
    m_failureShare += kFailureWeight * (1 - m_failureShare);
    m_unreachable = true;
    eject(now);
}

void ReplicaHealth::onAbandoned(Duration waited, Duration typicalLatency, double peerFailureShare,
                                TimePoint now)
{
    if (waited > silenceLimit(typicalLatency)) {
        onFailure(peerFailureShare, now);
        return;
    }
    if (m_pendingRequests > 0)
        --m_pendingRequests;
    if (m_pendingRequests == 0)
        m_silentSince = kNever;
}

void ReplicaHealth::eject(TimePoint now)
{
    if (now < m_ejectedUntil)
        return;
    m_ejectedUntil =
        now + std::min(kMaxEjection, kInitialEjection * (1U << std::min(m_ejectionLevel, 5U)));
    ++m_ejectionLevel;
}

bool ReplicaHealth::shouldAvoid(Duration typicalLatency, TimePoint now) const
{
    if (now < m_ejectedUntil)
        return true;
    if (m_ejectionLevel > 0 && m_pendingRequests > 0)
        return true; // One probe at a time until the server answers successfully.
    return m_silentSince != kNever && now - m_silentSince > silenceLimit(typicalLatency);
}

} // namespace comfrey
