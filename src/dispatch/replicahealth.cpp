// Passive health: no probes, only what requests showed.
#include "dispatch/replicahealth.h"

#include <algorithm>

namespace comfrey {

namespace {

constexpr double kFailureWeight =
    0.25; ///< Of one result in the smoothed share: two failures in a row tell.
constexpr double kWaitWeight = 0.1; ///< Of one answer in the smoothed wait.
constexpr double kShareOverUsual =
    0.3; ///< Failures over the others' share: another server serves callers better.
constexpr Duration kFirstSetAside = milliseconds(500);
constexpr Duration kLongestSetAside =
    milliseconds(4000); // a crashed server is back after some seconds
constexpr Duration kShortestSilence =
    milliseconds(400);            // below it, a long prompt ahead looks the same
constexpr int kSilenceFactor = 6; ///< Times the usual wait: far in the tail of a busy server.

/// No answer after so long is no matter of load.
Duration silenceLimit(Duration usualWait)
{
    return std::max(kShortestSilence, usualWait * kSilenceFactor);
}

} // namespace

void ReplicaHealth::onSent(TimePoint now)
{
    if (m_open++ == 0)
        m_silentSince = now;
}

void ReplicaHealth::endWait(TimePoint now)
{
    if (m_open > 0)
        --m_open;
    m_silentSince = m_open > 0 ? now : kNever;
}

void ReplicaHealth::onAnswer(Duration waited, TimePoint now)
{
    const auto sample = static_cast<double>(waited.count());
    m_waitUs = m_waitUs == 0 ? sample : m_waitUs + kWaitWeight * (sample - m_waitUs);
    m_failureShare *= 1 - kFailureWeight;
    m_setAsides -= m_setAsides > 0 ? 1 : 0;
    m_unreachable = false;
    m_setAsideUntil = TimePoint::min();
    endWait(now);
}

void ReplicaHealth::noteFailure(double usualShare, TimePoint now)
{
    m_failureShare += kFailureWeight * (1 - m_failureShare);
    if (m_failureShare > usualShare + kShareOverUsual)
        setAside(now);
}

void ReplicaHealth::onFailure(double usualShare, TimePoint now)
{
    noteFailure(usualShare, now);
    m_unreachable = false;
    endWait(now);
}

void ReplicaHealth::onBrokenOff(double usualShare, TimePoint now)
{
    noteFailure(usualShare, now);
}

void ReplicaHealth::onUnreachable(TimePoint now)
{
    onSeenUnreachable(now);
    endWait(now);
}

void ReplicaHealth::onSeenUnreachable(TimePoint now)
{
    m_failureShare += kFailureWeight * (1 - m_failureShare);
    m_unreachable = true;
    setAside(now);
}

void ReplicaHealth::onAbandoned(Duration waited, Duration usualWait, double usualShare,
                                TimePoint now)
{
    if (waited > silenceLimit(usualWait)) {
        onFailure(usualShare, now);
        return;
    }
    if (m_open > 0)
        --m_open;
    if (m_open == 0)
        m_silentSince = kNever;
}

void ReplicaHealth::setAside(TimePoint now)
{
    if (now < m_setAsideUntil)
        return;
    m_setAsideUntil =
        now + std::min(kLongestSetAside, kFirstSetAside * (1U << std::min(m_setAsides, 5U)));
    ++m_setAsides;
}

bool ReplicaHealth::isDoubtful(Duration usualWait, TimePoint now) const
{
    if (now < m_setAsideUntil)
        return true;
    if (m_setAsides > 0 && m_open > 0)
        return true; // One trial at a time until it answers well.
    return m_silentSince != kNever && now - m_silentSince > silenceLimit(usualWait);
}

} // namespace comfrey
