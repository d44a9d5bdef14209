// The desired state of each engine, folded from the stream "orders", and which engines may be
// changed now.
//
// A goal's number is the offset of the operator's record that set it, its origin. It fences the
// goal's orders. The goal with the highest origin is in force, so a repeated record, which keeps a
// goal from being dropped by the log, never undoes a later one.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "comfrey/fleet.h"
#include "comfrey/ids.h"
#include "generated/records.generated.h"

namespace comfrey {

struct Goal
{
    LogOffset origin;
    std::set<std::string> models;
    std::set<std::string> adapters;
    std::string version;
    std::string role;
    std::set<std::string> touched; ///< Models whose capacity the change to this goal affects.
    bool reached = false;          ///< The engine reported it.
    std::uint64_t writtenMs = 0;   ///< Of the newest record that tells the goal.
};

class GoalTable
{
public:
    /// Records must come in the order of offsets.
    void apply(LogOffset offset, const record::RecordT &record);

    const Goal *find(const BackendId &engine) const;
    const std::map<BackendId, Goal> &goals() const { return m_goals; }

    /// Engines that may be changed now: of each model, at most `share` of its engines and at least
    /// one, in the order of their goals. Every router with the same records and the same list of
    /// engines finds the same ones.
    std::set<BackendId> changeable(const FleetView &fleet, float share) const;

private:
    void applyGoal(LogOffset offset, std::uint64_t writtenMs, const record::EngineGoalT &goal);
    std::map<std::string, std::size_t> capacities(const FleetView &fleet) const;

    std::map<BackendId, Goal> m_goals;
};

} // namespace comfrey
