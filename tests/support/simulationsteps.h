// The steps of a played load, run in the order of their time and, at one time, of their planning.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "comfrey/units.h"

namespace comfrey {

class PlaySteps
{
public:
    using Step = std::function<void(TimePoint)>;

    void later(TimePoint at, Step step) { m_steps.push({at, ++m_last, std::move(step)}); }

    /// Until no step is left.
    void runAll()
    {
        while (!m_steps.empty()) {
            const Planned planned = m_steps.top();
            m_steps.pop();
            planned.step(planned.at);
        }
    }

private:
    struct Planned
    {
        TimePoint at;
        std::uint64_t number;
        Step step;
        bool operator<(const Planned &other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };

    std::priority_queue<Planned> m_steps;
    std::uint64_t m_last = 0;
};

} // namespace comfrey
