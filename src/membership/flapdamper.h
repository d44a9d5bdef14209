// Bounds what an instance that leaves and returns again and again may cause: each return within a
// short time is held off longer than the one before.
#pragma once

#include <map>
#include <string>

#include "comfrey/units.h"

namespace comfrey {

class FlapDamper
{
public:
    /// `firstHold` is the delay of the second return within a short time.
    explicit FlapDamper(Duration firstHold) : m_firstHold(firstHold) { }

    /// The instance was lost or left.
    void noteLoss(const std::string &id, TimePoint now);

    /// Until when the instance must not come back into the view.
    TimePoint heldUntil(const std::string &id) const;

private:
    struct Flaps
    {
        double penalty = 0; ///< Losses, halved each kHalfLife.
        TimePoint at;       ///< When `penalty` was right.
        TimePoint heldUntil;
    };

    void prune(TimePoint now);

    Duration m_firstHold;
    std::map<std::string, Flaps> m_flaps;
};

} // namespace comfrey
