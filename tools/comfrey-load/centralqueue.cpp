#include "comfrey-load/centralqueue.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <unordered_map>

#include "standin-engine/enginemodel.h"

namespace comfrey::load {

namespace {

using standin::EngineModel;

double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

struct Running
{
    std::size_t request = 0; ///< Index in the schedule.
    Tokens prefillLeft = 0;
    Tokens produced = 0;
    double firstToken = 0; ///< Model time; 0 before.
};

struct Engine
{
    std::vector<Running> running;
    double stepEnd = 0; ///< Model time of the present step's end; meaningful while running.
};

class CentralQueue
{
public:
    CentralQueue(const Workload &workload, const std::vector<PlannedRequest> &requests)
        : m_workload(workload), m_requests(requests), m_engines(workload.engines),
          m_inContract(requests.size(), false)
    { }

    std::vector<bool> serve()
    {
        std::size_t next = 0;
        for (;;) {
            while (next < m_requests.size() && m_requests[next].kind != PlannedKind::Chat)
                ++next;
            Engine *const engine = firstToStep();
            const double arrival = next < m_requests.size() ? m_requests[next].at : kNoTime;
            const double step = engine == nullptr ? kNoTime : engine->stepEnd;
            if (arrival == kNoTime && step == kNoTime)
                return m_inContract;
            if (arrival <= step)
                m_queue.push_back(next++);
            else
                endStep(*engine);
            assign(std::min(arrival, step));
        }
    }

private:
    static constexpr double kNoTime = std::numeric_limits<double>::infinity();

    Engine *firstToStep()
    {
        Engine *first = nullptr;
        for (Engine &engine : m_engines) {
            if (!engine.running.empty() && (first == nullptr || engine.stepEnd < first->stepEnd))
                first = &engine;
        }
        return first;
    }

    void endStep(Engine &engine)
    {
        const double now = engine.stepEnd;
        for (Running &running : engine.running) {
            if (running.prefillLeft > 0)
                continue;
            if (running.produced == 0)
                running.firstToken = now;
            ++running.produced;
            if (running.produced >= m_requests[running.request].answerTokens)
                judge(running, now);
        }
        std::erase_if(engine.running, [this](const Running &running) {
            return running.produced >= m_requests[running.request].answerTokens;
        });
        startStep(engine, now);
    }

    void judge(const Running &running, double now)
    {
        const PlannedRequest &request = m_requests[running.request];
        const double gaps = std::max<double>(1, running.produced - 1);
        const bool isFirstInTime =
            running.firstToken - request.at <= secondsOf(m_workload.contract.firstToken);
        const bool isSteady =
            (now - running.firstToken) / gaps <= secondsOf(m_workload.contract.betweenTokens);
        m_inContract[running.request] = isFirstInTime && isSteady;
    }

    void startStep(Engine &engine, double now)
    {
        Tokens budget = m_model.prefillPerStep;
        for (Running &running : engine.running) {
            const Tokens part = std::min(budget, running.prefillLeft);
            running.prefillLeft -= part;
            budget -= part;
        }
        const auto batch = static_cast<Duration::rep>(engine.running.size());
        engine.stepEnd = now
            + secondsOf(m_model.step + m_model.stepPerRequest * batch
                        + m_model.prefillPerToken * (m_model.prefillPerStep - budget));
    }

    void assign(double now)
    {
        while (!m_queue.empty()) {
            const std::size_t index = m_queue.front();
            const PlannedRequest &request = m_requests[index];
            const Tokens uncached = request.promptTokens - request.possibleCached;
            const double quickest = secondsOf(m_model.step + m_model.prefillPerToken * uncached);
            const bool isLate =
                now + quickest > request.at + secondsOf(m_workload.contract.firstToken);
            Engine *const engine = isLate ? nullptr : pickEngine(request);
            if (!isLate && engine == nullptr)
                return;
            m_queue.pop_front();
            if (!isLate)
                enter(*engine, index, uncached, now);
        }
    }

    Engine *pickEngine(const PlannedRequest &request)
    {
        const auto home = m_homes.find(request.chat);
        if (home != m_homes.end() && home->second->running.size() < m_workload.slots)
            return home->second;
        Engine *const least = &*std::min_element(
            m_engines.begin(), m_engines.end(), [](const Engine &left, const Engine &right) {
                return left.running.size() < right.running.size();
            });
        return least->running.size() < m_workload.slots ? least : nullptr;
    }

    void enter(Engine &engine, std::size_t index, Tokens uncached, double now)
    {
        m_homes[m_requests[index].chat] = &engine;
        engine.running.push_back({index, uncached, 0, 0});
        if (engine.running.size() == 1)
            startStep(engine, now);
    }

    const Workload &m_workload;
    const std::vector<PlannedRequest> &m_requests;
    const EngineModel m_model;
    std::vector<Engine> m_engines;
    std::deque<std::size_t> m_queue; ///< Indices in the schedule, in the order of arrival.
    std::unordered_map<std::string, Engine *> m_homes; ///< By chat.
    std::vector<bool> m_inContract;
};

} // namespace

std::vector<bool> serveCentrally(const Workload &workload,
                                 const std::vector<PlannedRequest> &requests)
{
    return CentralQueue(workload, requests).serve();
}

} // namespace comfrey::load
