// Event queue of a simulation. Steps run in the order of their time; steps of the same time run in
// the order in which they were scheduled.
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

    /// Runs `step` at the scripted time `at`.
    void schedule(TimePoint at, Step step)
    {
        m_steps.push({at, ++m_lastSequence, std::move(step)});
    }

    /// Runs steps until none is left, including those scheduled meanwhile.
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
        std::uint64_t sequence; ///< Order of scheduling.
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
