// Transitions of the store between available and lost.
#include "routers/storewatch.h"

namespace comfrey {

StoreWatch::Change StoreWatch::update(bool isFresh, bool storeReadsFail, TimePoint now)
{
    if (isFresh) {
        m_staleSince = kNever;
        if (!m_isLost)
            return Change::None;
        m_isLost = false;
        m_recoveredAt = now;
        return Change::Recovered;
    }
    if (m_staleSince == kNever)
        m_staleSince = now;
    const bool wasReported =
        m_lossReportedAt != TimePoint::min() && now - m_lossReportedAt <= kReportLifetime;
    if (m_isLost || now - m_staleSince < kLostAfter || !(storeReadsFail || wasReported))
        return Change::None;
    m_isLost = true;
    return Change::Lost;
}

} // namespace comfrey
