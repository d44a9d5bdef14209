// The steps of a played load, run in the order of their time and, at one time, of their planning.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "comfrey/units.h"

namespace comfrey {

class SimulationSteps
{
public:
    using Step = std::function<void(TimePoint)>;

    void schedule(TimePoint at, Step step)
    {
        m_steps.push({at, ++m_lastSequence, std::move(step)});
    }

    /// Until no step is left.
    void runAll()
    {
        while (!m_steps.empty()) {
            const ScheduledStep next = m_steps.top();
            m_steps.pop();
            next.step(next.at);
        }
    }

private:
    struct ScheduledStep
    {
        TimePoint at;
        std::uint64_t sequence;
        Step step;
        bool operator<(const ScheduledStep &other) const
        {
            return std::pair(other.at, other.sequence) < std::pair(at, sequence);
        }
    };

    std::priority_queue<ScheduledStep> m_steps;
    std::uint64_t m_lastSequence = 0;
};

} // namespace comfrey
