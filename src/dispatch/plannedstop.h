// Which requests a process takes after it was told to stop.
#pragma once

#include "comfrey/units.h"

namespace comfrey {

class PlannedStop
{
public:
    /// Callers may not know of the stop until `announcedAt`. The process ends at `end` at the
    /// latest.
    void begin(TimePoint announcedAt, TimePoint end);
    bool hasBegun() const { return m_hasBegun; }
    /// False for a request that might be cut by the end of the process, although its caller can
    /// turn to another one. `deadline`: when the request ends by itself.
    bool takes(TimePoint arrivedAt, TimePoint deadline) const;

private:
    bool m_hasBegun = false;
    TimePoint m_announcedAt = kNever;
    TimePoint m_end = kNever;
};

} // namespace comfrey
