// Simulates a fleet of routers before engines that have too little room for some seconds. Uses the
// routers, the arrivals and the exchange of request counts of PlacementSimulation, with engines
// that work in steps, and callers that have a priority, an organisation and a time limit, and come
// back once after a refusal.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <vector>

#include "dispatch/engineadmission.h"
#include "dispatch/workestimate.h"
#include "support/placementsimulation.h"

namespace comfrey {

/// What a kind of chat has beside its sizes.
struct CallerKind
{
    std::uint32_t priority = 0;
    Duration timeLimit;
};

struct OverloadLoad
{
    PlacementLoad placement;
    std::vector<CallerKind> callers; ///< For each of `placement.kinds`.
    double readTokensPerMs = 68;     ///< Of a prompt, by one engine.
    double downShare = 0.25;         ///< Engines that are down in the hot phase.
    double slowShare = 0;            ///< Engines that take four times as long in it.
    std::size_t organisations = 24;
    std::size_t hotOrganisation = 3; ///< By size.
    double hotOrganisationFactor = 7.5;
    bool hasAdmission = true; ///< False: routers send every request on at once.
};

/// Outcomes of the requests that were first sent in the hot phase.
struct OverloadCounts
{
    std::size_t asked = 0;
    std::size_t onTime = 0;  ///< First token within the objective, and complete.
    std::size_t late = 0;    ///< Complete, later.
    std::size_t refused = 0; ///< In the end.
    std::size_t cut = 0;     ///< At their time limit.
    std::size_t slow = 0;    ///< First token late after the attempt that was sent to an engine.

    double onTimeShare() const { return share(onTime); }
    double servedShare() const { return share(onTime + late); }

private:
    double share(std::size_t part) const
    {
        return asked == 0 ? 1 : static_cast<double>(part) / static_cast<double>(asked);
    }
};

struct OverloadResult
{
    std::vector<OverloadCounts> kinds;
    std::vector<OverloadCounts> organisations;
    double urgentWorkShare = 0; ///< Slot time of the most urgent kind over the slots there are.
    Duration longestRefusal{0}; ///< Longest time from a request's arrival to its refusal.
    double wastedWorkShare = 0; ///< Engine time for answers that were late or cut.
    double cutWorkShare = 0;    ///< Engine time for answers that were cut.
    double refusedWithRoom = 0; ///< Refusals while under half of the slots were taken.
    double calmRefused = 0;     ///< Refusals before the hot phase.

    OverloadCounts all() const;
    /// Lowest share of an organisation's requests that was served, over that of all.
    double worstOrganisation() const;
    std::string summary() const;
};

class OverloadSimulation : private PlacementSimulation
{
public:
    OverloadSimulation(const OverloadLoad &load, const ReplicaChooser &chooser);
    /// Call once.
    OverloadResult runOverload();

private:
    enum class Stage : std::uint8_t { Asking, Waiting, Reading, Generating, Ended };

    struct Call
    {
        Chat chat;
        std::size_t organisation = 0;
        TimePoint firstSentAt;
        TimePoint deadline;
        bool isCounted = false; ///< First sent in the hot phase.
        bool hasReturned = false;
        Stage stage = Stage::Asking;
        double unreadTokens = 0;
        double ungenerated = 0;
        double work = 0; ///< Engine time, ms.
        TimePoint sentAt;
        TimePoint firstTokenAt = TimePoint::min();
        std::vector<std::string> tried;
    };
    struct WorkingEngine
    {
        std::vector<std::size_t> waiting;
        std::vector<std::size_t> running;
        std::unordered_set<std::uint64_t> prompts;
        bool isStepping = false;
        bool isDown = false;
        bool isSlow = false;
    };
    struct RouterDecisions
    {
        std::unique_ptr<ShareAdmission> admission;
        WorkEstimator work;
        double slotTimeUs = 0; ///< Smoothed, as the dispatcher's.
    };

    void sendChat(Chat chat, TimePoint now) override;
    void setHot(bool isHotPhase, TimePoint now);
    void ask(std::size_t call, TimePoint now);
    void place(std::size_t call, TimePoint now);
    void refuse(std::size_t call, Duration retryAfter, TimePoint now);
    void onDeadline(std::size_t call, TimePoint now);
    void startStep(std::size_t engine, TimePoint now);
    void endStep(std::size_t engine, const std::vector<std::size_t> &generating,
                 std::size_t reading, double read, double ms, TimePoint now);
    void finish(std::size_t call, std::size_t OverloadCounts::*outcome, TimePoint now);
    void leaveEngine(std::size_t call);
    EngineRoom room(const Router &router, const RouterDecisions &decisions, TimePoint now) const;
    RequestFacts facts(const Call &call) const;
    double takenShare() const;

    const OverloadLoad m_overload;
    std::vector<RouterDecisions> m_decisions;
    std::vector<WorkingEngine> m_working;
    std::vector<Call> m_calls;
    OverloadResult m_result;
    double m_work = 0;
    double m_wasted = 0;
    double m_cutWork = 0;
    double m_urgentWork = 0;
};

} // namespace comfrey
