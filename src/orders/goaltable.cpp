// The desired state of each engine, folded from the stream "orders".
#include "orders/goaltable.h"

#include <algorithm>

namespace comfrey {

void GoalTable::apply(LogOffset offset, const record::RecordT &record)
{
    for (const auto &item : record.items) {
        if (item == nullptr)
            continue;
        if (const auto *goal = item->entry.AsEngineGoal())
            applyGoal(offset, record.writtenMs, *goal);
        const auto *reached = item->entry.AsGoalReached();
        if (reached == nullptr)
            continue;
        const auto found = m_goals.find(BackendId(reached->engine));
        if (found != m_goals.end() && found->second.origin.value() == reached->origin)
            found->second.reached = true;
    }
}

void GoalTable::applyGoal(LogOffset offset, std::uint64_t writtenMs,
                          const record::EngineGoalT &goal)
{
    const LogOffset origin = goal.origin == 0 ? offset : LogOffset(goal.origin);
    Goal &current = m_goals[BackendId(goal.engine)];
    if (origin < current.origin)
        return;
    current.writtenMs = std::max(current.writtenMs, writtenMs);
    current.reached = goal.reached || (origin == current.origin && current.reached);
    if (origin == current.origin)
        return;
    current.origin = origin;
    current.touched = std::move(current.models);
    current.models = {goal.models.begin(), goal.models.end()};
    current.touched.insert(current.models.begin(), current.models.end());
    current.adapters = {goal.adapters.begin(), goal.adapters.end()};
    current.version = goal.version;
    current.role = goal.role;
}

const Goal *GoalTable::find(const BackendId &engine) const
{
    const auto found = m_goals.find(engine);
    return found == m_goals.end() ? nullptr : &found->second;
}

std::set<BackendId> GoalTable::changeable(const FleetView &fleet, float share) const
{
    std::vector<std::pair<LogOffset, BackendId>> pending;
    for (const auto &[engine, goal] : m_goals) {
        if (!goal.reached && fleet.backend(engine) != nullptr)
            pending.emplace_back(goal.origin, engine);
    }
    std::sort(pending.begin(), pending.end());
    const auto capacity = capacities(fleet);
    std::map<std::string, std::size_t> changing;
    std::set<BackendId> chosen;
    for (const auto &[origin, engine] : pending) {
        const std::set<std::string> &models = m_goals.at(engine).touched;
        const bool fits = std::all_of(models.begin(), models.end(), [&](const auto &model) {
            const auto all = static_cast<float>(capacity.at(model));
            const auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(share * all));
            return changing[model] < limit;
        });
        if (!fits)
            continue;
        chosen.insert(engine);
        for (const std::string &model : models)
            ++changing[model];
    }
    return chosen;
}

/// Engines of each model: those that have it, shall have it, or had it before their goal.
std::map<std::string, std::size_t> GoalTable::capacities(const FleetView &fleet) const
{
    std::map<std::string, std::size_t> counts;
    for (const BackendView &backend : fleet.backends()) {
        std::set<std::string> models;
        for (const ModelId &model : backend.models)
            models.insert(model.value());
        if (const Goal *goal = find(backend.id); goal != nullptr)
            models.insert(goal->touched.begin(), goal->touched.end());
        for (const std::string &model : models)
            ++counts[model];
    }
    return counts;
}

} // namespace comfrey
