// When the store counts as lost and when as back.
#include "routers/storewatch.h"

namespace comfrey {

StoreWatch::Change StoreWatch::update(bool isFresh, bool ownReadsFail, TimePoint now)
{
    if (isFresh) {
        m_staleSince = kNever;
        if (!m_isLost)
            return Change::None;
        m_isLost = false;
        m_backAt = now;
        return Change::Back;
    }
    if (m_staleSince == kNever)
        m_staleSince = now;
    const bool wasTold = m_heardLostAt != TimePoint::min() && now - m_heardLostAt <= kHeardLife;
    if (m_isLost || now - m_staleSince < kLostAfter || !(ownReadsFail || wasTold))
        return Change::None;
    m_isLost = true;
    return Change::Lost;
}

} // namespace comfrey
