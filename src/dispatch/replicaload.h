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

    void onSent() { ++m_ownInFlight; }
    void onEnded() { m_ownInFlight -= m_ownInFlight > 0 ? 1 : 0; }
    /// `running` and `waiting` of all routers, as the server's answer told.
    void onReport(std::uint32_t running, std::uint32_t waiting, TimePoint now)
    {
        m_reported = running + waiting;
        m_ownAtReport = m_ownInFlight;
        m_reportedAt = now;
    }

    /// Requests of all other routers, as they told.
    void setOthers(std::uint32_t requests, TimePoint now)
    {
        m_others = requests;
        m_othersAt = now;
    }

    /// Of what others' requests are known by; zero if nothing is.
    Duration age(TimePoint now) const
    {
        const TimePoint at = std::max(m_othersAt, m_reportedAt);
        return at == TimePoint::min() ? Duration(0) : now - at;
    }

    std::uint32_t ownInFlight() const { return m_ownInFlight; }
    /// Requests at the server: this router's own and what the others told, or the server's last
    /// report with this router's own changes since then; without either, this router's own.
    double estimate(TimePoint now) const
    {
        if (m_othersAt != TimePoint::min() && now - m_othersAt <= kToldLife)
            return static_cast<double>(m_ownInFlight) + m_others;
        if (m_reportedAt == TimePoint::min() || now - m_reportedAt > kReportLife)
            return m_ownInFlight;
        const double changed = static_cast<double>(m_ownInFlight) - m_ownAtReport;
        return std::max<double>(m_ownInFlight, m_reported + changed);
    }

private:
    static constexpr Duration kReportLife =
        milliseconds(1000); // about the length of one chat on an engine

    static constexpr Duration kToldLife = milliseconds(1500); // a few exchanges between routers

    std::uint32_t m_slots = 1; ///< At least 1.
    std::uint32_t m_ownInFlight = 0;
    std::uint32_t m_reported = 0;
    std::uint32_t m_ownAtReport = 0;
    TimePoint m_reportedAt = TimePoint::min();
    std::uint32_t m_others = 0;
    TimePoint m_othersAt = TimePoint::min();
};

} // namespace comfrey
