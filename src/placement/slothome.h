// The home router's side of slots: one exact queue for each engine. A slot is the right to have one
// request in flight on the engine, so its load is bounded by arithmetic.
//
// A router that becomes home of an engine grants nothing before every router of its view, suspects
// too, has told it what it holds, or placement.takeover_limit_ms has passed. And a router that has
// told it uses no slot of the former home any more. So the former and the new home together never
// grant more than the limit.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "comfrey/actions.h"
#include "facade/part.h"
#include "placement/slotlimit.h"

namespace comfrey {

struct SlotQuestion
{
    RouterId router;
    AttemptId attempt;
    Priority priority = Priority::Short;
    bool withinShare = true;
    bool mayWait = true;
    std::uint32_t demand = 0;
    bool suspect = false; ///< An engine runs one such request at a time.
};

struct SlotAnswer
{
    RouterId to;
    BackendId backend;
    AttemptId attempt;
    bool granted = false; ///< If not, and it may wait, it is queued; a grant may follow.
    std::uint32_t limit = 0;
    std::uint32_t inFlight = 0;
};

class SlotHome
{
public:
    explicit SlotHome(const PartContext &context);

    /// Recomputes which engines this router is home of.
    void followFleet(TimePoint now);

    void ask(const BackendId &backend, const SlotQuestion &question, TimePoint now);
    /// `slowQuarters`: latency of the attempt over the usual one, in quarters; 0 is unknown.
    void release(const BackendId &backend, const RouterId &router, AttemptId attempt,
                 std::uint32_t demand, std::uint8_t slowQuarters, TimePoint now);
    void holding(const RouterId &router, const wire::SlotHoldingT &message, TimePoint now);
    /// A router saw a slow answer that has not ended yet.
    void noticeSlow(const BackendId &backend, std::uint8_t slowQuarters, TimePoint now);

    /// Median slowness of all engines, so that a slowdown of all of them cuts none.
    void setUsualSlowness(double slowness) { m_usualSlowness = std::max(1.0, slowness); }

    /// Ends slots of silent routers and stale waits, and grants what became free.
    void tick(TimePoint now);
    TimePoint nextWakeUp() const { return m_next; }

    std::vector<SlotAnswer> takeAnswers() { return std::exchange(m_answers, {}); }
    bool isHomeOf(const BackendId &backend) const;
    std::uint32_t inFlight(const BackendId &backend) const;
    std::uint32_t limitOf(const BackendId &backend, TimePoint now) const;
    void dump(nlohmann::json &out, TimePoint now) const;

private:
    struct SlotKey
    {
        RouterId router;
        AttemptId attempt;
        friend bool operator<(const SlotKey &left, const SlotKey &right)
        {
            const int order = left.router.value().compare(right.router.value());
            return order != 0 ? order < 0 : left.attempt.value() < right.attempt.value();
        }
    };

    struct Slot
    {
        TimePoint heardAt;
        bool longWork = false;
        bool suspect = false;
    };

    struct Waiting
    {
        SlotQuestion question;
        TimePoint heardAt; ///< Its router asked again.
        TimePoint rank;    ///< The earliest is served first.
    };

    struct EngineSlots
    {
        std::map<SlotKey, Slot> held;
        std::vector<Waiting> waiting;
        std::uint32_t longHeld = 0;    ///< Slots of long work in `held`.
        std::uint32_t suspectHeld = 0; ///< Slots of suspects in `held`.
        bool home = false;
        std::uint64_t pool = 0;
        std::set<RouterId> heardFrom; ///< Routers that take this router for the home.
        TimePoint takeoverEnds;       ///< Grants begin here at the latest.
        double slowness = 1;          ///< Smoothed latency over the usual one (geometric).
        TimePoint slownessAt;
    };

    bool mayGrant(const EngineSlots &engine, TimePoint now) const;
    std::uint32_t lentLimit(const BackendId &backend, std::uint32_t limit) const;
    bool hasRoom(const BackendId &backend, const EngineSlots &engine, const SlotQuestion &question,
                 TimePoint now) const;
    void grant(const BackendId &backend, EngineSlots &engine, const SlotQuestion &question,
               TimePoint now);
    void answer(const BackendId &backend, const EngineSlots &engine, const SlotQuestion &question,
                bool granted, TimePoint now);
    void serveWaiting(const BackendId &backend, EngineSlots &engine, TimePoint now);
    void endSilent(EngineSlots &engine, TimePoint now) const;
    static std::vector<Waiting>::iterator findWaiting(EngineSlots &engine, const RouterId &router,
                                                      AttemptId attempt);
    static void erase(EngineSlots &engine, const SlotKey &key);
    static void observe(EngineSlots &engine, double ratio, TimePoint now);
    static double slownessOf(const EngineSlots &engine, TimePoint now);
    double speedOf(const EngineSlots &engine, TimePoint now) const;
    void forgetFormerRuns();
    static void forgetRouter(EngineSlots &engine, const RouterId &router);

    PartContext m_context;
    std::map<BackendId, EngineSlots> m_engines;
    std::map<std::uint64_t, DemandEstimate> m_demand; ///< By pool: engines with the same models.
    std::map<std::uint64_t, std::size_t> m_poolSizes; ///< Engines that take new work.
    std::size_t m_aliveRouters = 1;
    double m_usualSlowness = 1; ///< At least 1.
    std::map<RouterId, Incarnation> m_incarnations;
    std::vector<SlotAnswer> m_answers;
    std::uint64_t m_version = 0;
    bool m_started = false;
    TimePoint m_next = kNever;
};

} // namespace comfrey
