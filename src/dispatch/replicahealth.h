// Health of one backend server, judged by the results of this router's requests to it (passive
// health checking). A server that fails is ejected for a period that doubles with each ejection,
// and returns by one probe at a time. A server that stops answering is avoided until it answers.
#pragma once

#include <cstdint>

#include "comfrey/units.h"

namespace comfrey {

/// Failure share, latency and ejection of one backend server.
class ReplicaHealth
{
public:
    /// A request was sent and is pending until exactly one call of onAnswer, onFailure,
    /// onUnreachable or onAbandoned.
    void onSent(TimePoint now);
    /// A successful answer began `waited` after the request was sent.
    void onAnswer(Duration waited, TimePoint now);
    /// The server answered with a failure of its own or closed the connection. `peerFailureShare`:
    /// share of failures at the other servers of the service, 0 to 1.
    void onFailure(double peerFailureShare, TimePoint now);
    /// No connection could be made for the pending request.
    void onUnreachable(TimePoint now);
    /// No connection could be made, and no request was pending for it.
    void onConnectFailure(TimePoint now);
    /// The pending request was abandoned `waited` after it was sent. It counts as a failure if it
    /// waited longer than the silence limit, which follows from `typicalLatency`.
    void onAbandoned(Duration waited, Duration typicalLatency, double peerFailureShare,
                     TimePoint now);
    /// An answer that had begun was cut off. The request is no longer pending then.
    void onAnswerInterrupted(double peerFailureShare, TimePoint now);

    /// True while new requests should go to other servers: the server is ejected, its probe is
    /// pending, or it is silent. `typicalLatency`: typical time to the first bytes at the service.
    bool shouldAvoid(Duration typicalLatency, TimePoint now) const;
    /// Smoothed share of requests that failed, 0 to 1.
    double failureShare() const { return m_failureShare; }
    /// Smoothed time to the first bytes of an answer; zero before the first answer.
    Duration smoothedLatency() const { return Duration(static_cast<std::int64_t>(m_latencyUs)); }
    /// True while the server is ejected because no connection could be made.
    bool isUnreachable(TimePoint now) const { return m_unreachable && now < m_ejectedUntil; }

private:
    void endPendingRequest(TimePoint now);
    void recordFailure(double peerFailureShare, TimePoint now);
    void eject(TimePoint now);

    double m_failureShare = 0;
    double m_latencyUs = 0;
    std::uint32_t m_ejectionLevel = 0;   ///< Raised by an ejection, lowered by a successful answer;
                                         ///< doubles the period of the next ejection.
    std::uint32_t m_pendingRequests = 0; ///< Requests that have no answer yet.
    bool m_unreachable = false;
    TimePoint m_ejectedUntil = TimePoint::min();
    TimePoint m_silentSince = kNever; ///< Start or last answer of the pending requests; kNever
                                      ///< without any.
};

} // namespace comfrey
