// Estimates the load of a backend server from what one router knows: its local requests, the counts
// that other routers report, and the load that the server reported in its last answer.
#pragma once

#include <algorithm>
#include <cstdint>

#include "comfrey/units.h"

namespace comfrey {

/// The load of one backend server, in requests. Local requests are those of this router, remote
/// requests those of all other routers.
class ReplicaLoad
{
public:
    /// Number of requests that the server runs at once; 0 counts as 1.
    void setSlots(std::uint32_t slots) { m_slots = std::max(1U, slots); }
    std::uint32_t slots() const { return m_slots; }

    /// This router sent a request to the server.
    void onRequestSent() { ++m_localInFlight; }
    /// A request of this router ended.
    void onRequestEnded() { m_localInFlight -= m_localInFlight > 0 ? 1 : 0; }
    /// An answer of the server reported its `running` and `waiting` requests of all routers.
    void onReport(std::uint32_t running, std::uint32_t waiting, TimePoint now)
    {
        m_reportedInFlight = running + waiting;
        m_localAtReport = m_localInFlight;
        m_reportedAt = now;
    }

    /// Sets the requests of all other routers, as reported by them.
    void setRemoteInFlight(std::uint32_t requests, TimePoint now)
    {
        m_remoteInFlight = requests;
        m_remoteReceivedAt = now;
    }

    /// Age of the newest information about remote requests; zero if there is none.
    Duration remoteLoadAge(TimePoint now) const
    {
        const TimePoint at = std::max(m_remoteReceivedAt, m_reportedAt);
        return at == TimePoint::min() ? Duration(0) : now - at;
    }

    /// Requests of this router that have not ended.
    std::uint32_t localInFlight() const { return m_localInFlight; }
    /// Estimated requests at the server: the local ones and those that other routers reported;
    /// without a recent report of them, the server's last report corrected by the change of the
    /// local requests since then; without either, the local requests.
    double estimate(TimePoint now) const
    {
        if (m_remoteReceivedAt != TimePoint::min() && now - m_remoteReceivedAt <= kRemoteLifetime)
            return static_cast<double>(m_localInFlight) + m_remoteInFlight;
        if (m_reportedAt == TimePoint::min() || now - m_reportedAt > kReportLifetime)
            return m_localInFlight;
        const double localChange = static_cast<double>(m_localInFlight) - m_localAtReport;
        return std::max<double>(m_localInFlight, m_reportedInFlight + localChange);
    }

private:
    static constexpr Duration kReportLifetime =
        milliseconds(1000); ///< About the duration of one chat on an engine.

    static constexpr Duration kRemoteLifetime =
        milliseconds(1500); ///< A few polls between routers.

    std::uint32_t m_slots = 1; ///< At least 1.
    std::uint32_t m_localInFlight = 0;
    std::uint32_t m_reportedInFlight = 0; ///< Of all routers, reported by the server.
    std::uint32_t m_localAtReport = 0;    ///< Local requests when the server reported.
    TimePoint m_reportedAt = TimePoint::min();
    std::uint32_t m_remoteInFlight = 0; ///< Reported by the other routers.
    TimePoint m_remoteReceivedAt = TimePoint::min();
};

} // namespace comfrey
