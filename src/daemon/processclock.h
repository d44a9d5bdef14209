// The process's only source of the present time for decisions.
#pragma once

#include <chrono>

#include "comfrey/units.h"

namespace comfrey {

/// Wall time at the start of the process plus the steady time since: never goes back, also when the
/// wall clock is set.
class ProcessClock
{
public:
    ProcessClock()
        : m_wallStart(std::chrono::duration_cast<Duration>(
            std::chrono::system_clock::now().time_since_epoch())),
          m_steadyStart(std::chrono::steady_clock::now())
    { }

    TimePoint now() const
    {
        const auto passed = std::chrono::steady_clock::now() - m_steadyStart;
        return TimePoint(m_wallStart + std::chrono::duration_cast<Duration>(passed));
    }

private:
    Duration m_wallStart;
    std::chrono::steady_clock::time_point m_steadyStart;
};

} // namespace comfrey
