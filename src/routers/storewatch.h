// Decides whether the platform's store is lost. While it is lost, a server whose record is missing
// may still be alive; otherwise such a server has left. A router that has only lost its upstream
// router must therefore not report the store as lost.
#pragma once

#include "comfrey/units.h"

namespace comfrey {

/// Detects the loss of the store from failed reads or the report of another router.
class StoreWatch
{
public:
    /// What a call of update() changed.
    enum class Change : std::uint8_t { None, Lost, Recovered };

    /// Another router reported the store as unconfirmed: lost, or recovered a moment ago.
    void onLossReported(TimePoint now) { m_lossReportedAt = now; }
    /// To be called regularly. `isFresh` means that this router's records are up to date with the
    /// store; `storeReadsFail` that it reads the store itself and the reads fail.
    Change update(bool isFresh, bool storeReadsFail, TimePoint now);

    /// True from the reported change Lost until Recovered.
    bool isLost() const { return m_isLost; }
    /// Since when the records are not up to date; kNever if they are.
    TimePoint staleSince() const { return m_staleSince; }
    /// True if the store is lost or recovered so recently that records may still be missing. Other
    /// routers are sent this.
    bool isUnconfirmed(TimePoint now) const
    {
        return m_isLost
            || (m_recoveredAt != TimePoint::min() && now - m_recoveredAt < kUnconfirmedTime);
    }

private:
    /// Time without fresh updates before the store is lost; longer than one failed read.
    static constexpr Duration kLostAfter = milliseconds(1000);
    /// How long another router's report counts: a few polls.
    static constexpr Duration kReportLifetime = milliseconds(1500);
    static constexpr Duration kUnconfirmedTime =
        milliseconds(2000); ///< After the recovery; servers are listed again by then.

    TimePoint m_staleSince = kNever;
    /// Time of the last report by another router; TimePoint::min() if there was none.
    TimePoint m_lossReportedAt = TimePoint::min();
    TimePoint m_recoveredAt = TimePoint::min();
    bool m_isLost = false;
};

} // namespace comfrey
