// Bounds the lines that callers can cause: so many a second, the rest is only counted.
#pragma once

#include <cstdint>
#include <utility>

#include "comfrey/units.h"

namespace comfrey {

class LineRate
{
public:
    /// True if a line may be written now.
    bool allows(TimePoint now)
    {
        if (now - m_since >= milliseconds(1000)) {
            m_since = now;
            m_lines = 0;
        }
        if (m_lines >= kLinesPerSecond) {
            ++m_leftOut;
            return false;
        }
        ++m_lines;
        return true;
    }
    /// Lines that were not allowed since the last call.
    std::int64_t takeLeftOut() { return std::exchange(m_leftOut, 0); }

private:
    static constexpr std::uint32_t kLinesPerSecond = 10;

    TimePoint m_since{Duration(0)}; ///< Begin of the second that m_lines counts.
    std::uint32_t m_lines = 0;
    std::int64_t m_leftOut = 0;
};

} // namespace comfrey
