// How much work a backend server has, as well as one router can know it: its own requests there,
// and what the server said of all of them in its last answer.
#pragma once

#include <algorithm>
#include <cstdint>

#include "comfrey/units.h"

namespace comfrey {

class ReplicaLoad
{
public:
    void setSlots(std::uint32_t slots) { m_slots = std::max(1U, slots); }
    std::uint32_t slots() const { return m_slots; }

    void onRequestSent() { ++m_localInFlight; }
    void onRequestEnded() { m_localInFlight -= m_localInFlight > 0 ? 1 : 0; }
    /// `running` and `waiting` of all routers, as the server's answer told.
    void onReport(std::uint32_t running, std::uint32_t waiting, TimePoint now)
    {
        m_reportedInFlight = running + waiting;
        m_localAtReport = m_localInFlight;
        m_reportedAt = now;
    }

    /// Requests of all other routers, as they told.
    void setRemoteInFlight(std::uint32_t requests, TimePoint now)
    {
        m_remoteInFlight = requests;
        m_remoteReceivedAt = now;
    }

    /// Of what others' requests are known by; zero if nothing is.
    Duration remoteLoadAge(TimePoint now) const
    {
        const TimePoint at = std::max(m_remoteReceivedAt, m_reportedAt);
        return at == TimePoint::min() ? Duration(0) : now - at;
    }

    std::uint32_t localInFlight() const { return m_localInFlight; }
    /// Requests at the server: this router's own and what the others told, or the server's last
    /// report with this router's own changes since then; without either, this router's own.
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
        milliseconds(1000); // about the length of one chat on an engine

    static constexpr Duration kRemoteLifetime =
        milliseconds(1500); // a few exchanges between routers

    std::uint32_t m_slots = 1; ///< At least 1.
    std::uint32_t m_localInFlight = 0;
    std::uint32_t m_reportedInFlight = 0;
    std::uint32_t m_localAtReport = 0;
    TimePoint m_reportedAt = TimePoint::min();
    std::uint32_t m_remoteInFlight = 0;
    TimePoint m_remoteReceivedAt = TimePoint::min();
};

} // namespace comfrey
