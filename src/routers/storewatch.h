// Whether the platform's store counts as lost. While it does, a server whose record is missing may
// be alive; while it does not, such a server has left. So a router that only lost the router it
// hears the news from must not take the store for lost.
#pragma once

#include "comfrey/units.h"

namespace comfrey {

class StoreWatch
{
public:
    enum class Change : std::uint8_t { None, Lost, Recovered };

    /// Another router told that the store is lost, or was a moment ago.
    void onLossReported(TimePoint now) { m_lossReportedAt = now; }
    /// `isFresh`: this router's news are up to date. `ownReadsFail`: it reads the store itself, in
    /// vain.
    Change update(bool isFresh, bool storeReadsFail, TimePoint now);

    bool isLost() const { return m_isLost; }
    /// Since when the news are not up to date; never if they are.
    TimePoint staleSince() const { return m_staleSince; }
    /// What other routers are told: lost, or back for so short that records may still be missing.
    bool isUnconfirmed(TimePoint now) const
    {
        return m_isLost
            || (m_recoveredAt != TimePoint::min() && now - m_recoveredAt < kUnconfirmedTime);
    }

private:
    /// Without fresh news: longer than one failed read.
    static constexpr Duration kLostAfter = milliseconds(1000);
    /// For which another router's word counts: a few asks.
    static constexpr Duration kReportLifetime = milliseconds(1500);
    static constexpr Duration kUnconfirmedTime =
        milliseconds(2000); ///< Servers are listed again by then.

    TimePoint m_staleSince = kNever;
    TimePoint m_lossReportedAt = TimePoint::min();
    TimePoint m_recoveredAt = TimePoint::min();
    bool m_isLost = false;
};

} // namespace comfrey
