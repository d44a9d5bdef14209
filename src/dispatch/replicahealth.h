// How a backend server does, from this router's own answers. A server that fails or falls silent is
// set aside for a while, longer each time, and comes back by single trials.
#pragma once

#include <cstdint>

#include "comfrey/units.h"

namespace comfrey {

class ReplicaHealth
{
public:
    /// A request was sent. Exactly one of the four that follow ends its wait for an answer.
    void onSent(TimePoint now);
    /// A good answer began `waited` after the request was sent.
    void onAnswer(Duration waited, TimePoint now);
    /// The server answered with a failure of its own or broke off. `usualShare`: of failures at the
    /// service's other servers.
    void onFailure(double peerFailureShare, TimePoint now);
    /// No connection could be made for the request.
    void onUnreachable(TimePoint now);
    /// No connection could be made, without a request that waited for it.
    void onConnectFailure(TimePoint now);
    /// The request was given up before an answer, `waited` after it was sent. After long enough a
    /// wait the server failed it.
    void onAbandoned(Duration waited, Duration typicalLatency, double peerFailureShare,
                     TimePoint now);
    /// An answer broke off after it had begun.
    void onAnswerInterrupted(double peerFailureShare, TimePoint now);

    /// True while new work should go elsewhere. `usualWait`: the service's usual time to an answer.
    bool shouldAvoid(Duration typicalLatency, TimePoint now) const;
    /// Smoothed share of failures, 0 to 1.
    double failureShare() const { return m_failureShare; }
    /// Smoothed time to the first bytes of an answer; zero before the first.
    Duration smoothedLatency() const { return Duration(static_cast<std::int64_t>(m_latencyUs)); }
    bool isUnreachable(TimePoint now) const { return m_unreachable && now < m_ejectedUntil; }

private:
    void endPendingRequest(TimePoint now);
    void recordFailure(double peerFailureShare, TimePoint now);
    void eject(TimePoint now);

    double m_failureShare = 0;
    double m_latencyUs = 0;
    std::uint32_t m_ejectionLevel = 0;   ///< In a row, without a good answer between them.
    std::uint32_t m_pendingRequests = 0; ///< Requests without an answer.
    bool m_unreachable = false;
    TimePoint m_ejectedUntil = TimePoint::min();
    TimePoint m_silentSince = kNever; ///< With requests open, the last sign of life.
};

} // namespace comfrey
