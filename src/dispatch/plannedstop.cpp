// Requests that come before the stop is announced are taken whatever their time limit: mostly they
// are answered long before it, and no other process would be asked instead.
#include "dispatch/plannedstop.h"

namespace comfrey {

void PlannedStop::begin(TimePoint announcedAt, TimePoint end)
{
    m_hasBegun = true;
    m_announcedAt = announcedAt;
    m_end = end;
}

bool PlannedStop::takes(TimePoint arrivedAt, TimePoint deadline) const
{
    return !m_hasBegun || arrivedAt < m_announcedAt || deadline <= m_end;
}

} // namespace comfrey
