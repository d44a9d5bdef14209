// Orders to engines: which models, adapters, versions and roles each should have.
//
// The engine's home router compares the engine's report with its goal and gives one order at a time
// until they agree. An order carries its goal's number for engines that check it. For engines that
// ignore it, a router that stood still reads the log to its end before it gives another order, and
// whatever a late order did shows in the report and is put right by the home router.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "facade/part.h"
#include "orders/goaltable.h"
#include "orders/nextorder.h"

namespace comfrey {

class OrderPart : public Part
{
public:
    explicit OrderPart(const PartContext &context);

    const char *name() const override { return "orders"; }
    void onEvent(const Event &event, TimePoint now, Outbox &out) override;
    TimePoint nextWakeUp() const override;
    void dump(nlohmann::json &out, TimePoint now) const override;

private:
    /// What this router knows of one engine as its home router.
    struct Engine
    {
        std::optional<LoadReport> report;
        TimePoint probedAt;
        TimePoint orderedAt;          ///< A report is needed that was measured after it.
        bool isAnswerAwaited = false; ///< Of an order or a fetch of weights.
        TimePoint askedAt;
        TimePoint notBefore;  ///< Of the next order or fetch, after a failure.
        OrderId weightsFor;   ///< The order whose weights were granted.
        TimePoint reportedAt; ///< Of the last append of GoalReached.
    };

    void onLogRead(const LogRead &read, TimePoint now);
    void onReadAnswered(bool failed, TimePoint now);
    void onOrderAnswered(const OrderAnswered &answer, TimePoint now);
    void onWeightsAnswered(const WeightsAnswered &answer, TimePoint now);
    void noticePause(TimePoint now);
    void requireFreshRead(TimePoint now);
    void readOn(TimePoint now, Outbox &out);
    void workOnGoals(TimePoint now, Outbox &out);
    void workOn(const BackendView &view, const Goal &goal, bool mayChange, TimePoint now,
                Outbox &out);
    void probe(Engine &engine, const BackendView &view, TimePoint now, Outbox &out);
    bool fetchWeights(Engine &engine, const BackendView &view, const WantedOrder &wanted,
                      OrderId id, TimePoint now, Outbox &out);
    void appendReached(const BackendId &id, const Goal &goal, Engine &engine, TimePoint now,
                       Outbox &out);
    void repeatGoal(const BackendId &id, const Goal &goal, TimePoint now, Outbox &out);
    void append(record::RecordT record, TimePoint now, Outbox &out);
    bool isHomeOf(const BackendId &engine) const;

    PartContext m_context;
    GoalTable m_goals;
    std::map<BackendId, Engine> m_engines;
    LogOffset m_next = LogOffset(1);
    std::uint32_t m_readsOut = 0; ///< Reads without an answer.
    TimePoint m_readAt;
    TimePoint m_nextReadAt;
    bool m_isFresh = false;     ///< The log was read to its end since the last pause.
    bool m_sawReadFail = false; ///< Since the last fresh read was required.
    bool m_isReadWanted = true; ///< A read that doesn't wait is due.
    std::optional<TimePoint> m_lastEventAt;
    double m_fetchBudget = 1; ///< Fetches of weights that may be asked for now.
    TimePoint m_budgetAt;
    TimePoint m_nextWorkAt;
};

} // namespace comfrey
