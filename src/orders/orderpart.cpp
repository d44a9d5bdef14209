// Orders to engines: which models, adapters, versions and roles each should have.
#include "orders/orderpart.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "outcome/claimkey.h"
#include "outcome/routerrank.h"
#include "wire/envelope.h"

namespace comfrey {

namespace {

const StreamId kStream("orders");
constexpr Duration kWorkInterval = milliseconds(250);
constexpr Duration kPauseLimit = milliseconds(1500); ///< A longer gap between events is a pause.
constexpr Duration kProbeInterval = milliseconds(500);
constexpr Duration kAnswerTimeout = milliseconds(10000);
constexpr Duration kRetryDelay = milliseconds(1000);
constexpr Duration kRateLimitDelay = milliseconds(5000);
constexpr Duration kReadRetry = milliseconds(500);
constexpr Duration kReadPause = milliseconds(50); ///< Between reads that brought nothing.
constexpr Duration kReadTimeout = milliseconds(15000);
constexpr std::uint64_t kRepeatAfterMs =
    600000; ///< Goals are written again before they are dropped.
constexpr double kMsPerMinute = 60000;

template<typename Entry>
record::RecordT recordWith(Entry entry)
{
    record::RecordT record;
    record.items.push_back(std::make_unique<record::ItemT>());
    record.items.back()->entry.Set(std::move(entry));
    return record;
}

} // namespace

OrderPart::OrderPart(const PartContext &context) : m_context(context) { }

void OrderPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    noticePause(now);
    if (const auto *read = std::get_if<LogRead>(&event)) {
        if (read->stream == kStream)
            onLogRead(*read, now);
    } else if (const auto *failed = std::get_if<LogReadFailed>(&event)) {
        if (failed->stream == kStream)
            onReadAnswered(true, now);
    } else if (const auto *probed = std::get_if<ProbeAnswered>(&event)) {
        if (m_goals.find(probed->report.backend) != nullptr)
            m_engines[probed->report.backend].report = probed->report;
    } else if (const auto *order = std::get_if<OrderAnswered>(&event)) {
        onOrderAnswered(*order, now);
    } else if (const auto *weights = std::get_if<WeightsAnswered>(&event)) {
        onWeightsAnswered(*weights, now);
    }
    readOn(now, out);
    if (now >= m_nextWorkAt)
        workOnGoals(now, out);
}

/// A process that stood still may hold old goals: it has to read the log before it gives an order.
void OrderPart::noticePause(TimePoint now)
{
    if (!m_lastEventAt || now > *m_lastEventAt + kPauseLimit)
        requireFreshRead(now);
    m_lastEventAt = now;
}

void OrderPart::requireFreshRead(TimePoint now)
{
    m_isFresh = false;
    m_sawReadFail = false;
    m_isReadWanted = true;
    m_nextReadAt = now;
}

void OrderPart::onLogRead(const LogRead &read, TimePoint now)
{
    const LogOffset before = m_next;
    m_next = std::max(m_next, read.firstOffset);
    for (const LogRecord &logRecord : read.records) {
        if (logRecord.offset < m_next)
            continue;
        if (logRecord.offset > m_next)
            break;
        if (const auto decoded = decodeRecord(logRecord.payload))
            m_goals.apply(logRecord.offset, *decoded);
        m_next = m_next.next();
    }
    onReadAnswered(false, now);
    m_nextReadAt = m_next > before ? now : std::max(now, m_readAt + kReadPause);
    if (!m_isFresh && m_readsOut == 0 && !m_isReadWanted) {
        m_isFresh = !m_sawReadFail && m_next >= read.endOffset;
        m_isReadWanted = !m_isFresh;
        m_sawReadFail = false;
    }
}

void OrderPart::onReadAnswered(bool failed, TimePoint now)
{
    if (m_readsOut > 0)
        --m_readsOut;
    if (!failed)
        return;
    m_sawReadFail = true;
    m_isReadWanted = m_isReadWanted || !m_isFresh;
    m_nextReadAt = now + kReadRetry;
}

/// Answers of reads that were asked before a pause may come after it. So the log counts as read
/// only when every read, the one asked since included, was answered.
void OrderPart::readOn(TimePoint now, Outbox &out)
{
    if (m_readsOut > 0 && now >= m_readAt + kReadTimeout)
        m_readsOut = 0;
    if (now < m_nextReadAt || (m_readsOut > 0 && !m_isReadWanted))
        return;
    out.push(ReadLog{kStream, m_next, m_isFresh});
    ++m_readsOut;
    m_readAt = now;
    m_isReadWanted = false;
}

void OrderPart::workOnGoals(TimePoint now, Outbox &out)
{
    m_nextWorkAt = now + kWorkInterval;
    const double perMinute = m_context.settings.orders.weightFetchesPerMinute;
    const auto passed = std::chrono::duration<double, std::milli>(now - m_budgetAt).count();
    m_fetchBudget =
        std::min(std::max(perMinute, 1.0),
                 m_fetchBudget + std::min(passed, kMsPerMinute) * perMinute / kMsPerMinute);
    m_budgetAt = now;
    if (!m_isFresh)
        return;
    const std::set<BackendId> changeable =
        m_goals.changeable(m_context.fleet, m_context.settings.orders.maxChangingShare);
    for (const auto &[id, goal] : m_goals.goals()) {
        const BackendView *view = m_context.fleet.backend(id);
        if (!isHomeOf(id)) {
            m_engines.erase(id);
            continue;
        }
        if (goal.writtenMs + kRepeatAfterMs < unixMs(now))
            repeatGoal(id, goal, now, out);
        if (view != nullptr)
            workOn(*view, goal, goal.reached || changeable.count(id) != 0, now, out);
    }
}

void OrderPart::workOn(const BackendView &view, const Goal &goal, bool mayChange, TimePoint now,
                       Outbox &out)
{
    Engine &engine = m_engines[view.id];
    if (engine.isAnswerAwaited && now < engine.askedAt + kAnswerTimeout)
        return;
    const bool isKnown = engine.report && engine.report->measuredAt > engine.orderedAt;
    probe(engine, view, now, out);
    if (!isKnown)
        return;
    const std::optional<WantedOrder> wanted = nextOrder(goal, *engine.report);
    if (!wanted) {
        if (!goal.reached)
            appendReached(view.id, goal, engine, now, out);
        return;
    }
    if (!mayChange || now < engine.notBefore)
        return;
    const OrderId id = orderIdOf(view.id, goal, *wanted);
    if (wanted->kind == OrderKind::LoadModel && !fetchWeights(engine, view, *wanted, id, now, out))
        return;
    engine.isAnswerAwaited = true;
    engine.askedAt = now;
    engine.orderedAt = now;
    const FencingNumber fencing(goal.origin.value());
    out.push(GiveOrder{id, view.id, view.address, fencing, wanted->kind, wanted->subject});
}

void OrderPart::probe(Engine &engine, const BackendView &view, TimePoint now, Outbox &out)
{
    if (now < engine.probedAt + kProbeInterval)
        return;
    engine.probedAt = now;
    out.push(ProbeBackend{view.id, view.address});
}

/// True if the order's weights are granted already; the store grants an order id once, so asking
/// again after a lost answer costs nothing.
bool OrderPart::fetchWeights(Engine &engine, const BackendView &view, const WantedOrder &wanted,
                             OrderId id, TimePoint now, Outbox &out)
{
    if (engine.weightsFor == id)
        return true;
    if (m_fetchBudget < 1)
        return false;
    m_fetchBudget -= 1;
    engine.isAnswerAwaited = true;
    engine.askedAt = now;
    out.push(FetchWeights{id, view.id, ModelId(wanted.subject)});
    return false;
}

void OrderPart::onOrderAnswered(const OrderAnswered &answer, TimePoint now)
{
    const auto found = m_engines.find(answer.backend);
    if (found == m_engines.end())
        return;
    found->second.isAnswerAwaited = false;
    if (answer.result == OrderResult::Failed)
        found->second.notBefore = now + kRetryDelay;
    if (answer.result == OrderResult::RefusedStale)
        requireFreshRead(now);
}

void OrderPart::onWeightsAnswered(const WeightsAnswered &answer, TimePoint now)
{
    for (auto &[id, engine] : m_engines) {
        const Goal *goal = m_goals.find(id);
        if (!engine.isAnswerAwaited || !engine.report || goal == nullptr)
            continue;
        const auto wanted = nextOrder(*goal, *engine.report);
        if (!wanted || orderIdOf(id, *goal, *wanted) != answer.order)
            continue;
        engine.isAnswerAwaited = false;
        if (answer.result == WeightsResult::Granted)
            engine.weightsFor = answer.order;
        else if (answer.result == WeightsResult::RateLimited)
            engine.notBefore = now + kRateLimitDelay;
        else
            engine.notBefore = now + kRetryDelay;
    }
}

void OrderPart::appendReached(const BackendId &id, const Goal &goal, Engine &engine, TimePoint now,
                              Outbox &out)
{
    if (now < engine.reportedAt + kRetryDelay)
        return;
    engine.reportedAt = now;
    record::GoalReachedT reached;
    reached.engine = id.value();
    reached.origin = goal.origin.value();
    append(recordWith(std::move(reached)), now, out);
}

/// Writes the goal again before the log drops its record.
void OrderPart::repeatGoal(const BackendId &id, const Goal &goal, TimePoint now, Outbox &out)
{
    Engine &engine = m_engines[id];
    if (now < engine.reportedAt + kRetryDelay)
        return;
    engine.reportedAt = now;
    record::EngineGoalT repeated;
    repeated.engine = id.value();
    repeated.models = {goal.models.begin(), goal.models.end()};
    repeated.adapters = {goal.adapters.begin(), goal.adapters.end()};
    repeated.version = goal.version;
    repeated.role = goal.role;
    repeated.origin = goal.origin.value();
    repeated.reached = goal.reached;
    append(recordWith(std::move(repeated)), now, out);
}

/// Its answer doesn't matter: whatever was not read back is appended again.
void OrderPart::append(record::RecordT record, TimePoint now, Outbox &out)
{
    const AppendId id = m_context.ids.nextAppend();
    record.writer = m_context.fleet.self().value();
    record.id = record.writer + "/" + std::to_string(m_context.incarnation.value()) + "/"
        + std::to_string(id.value());
    record.writtenMs = unixMs(now);
    out.push(AppendToLog{id, kStream, encodeRecord(record)});
}

bool OrderPart::isHomeOf(const BackendId &engine) const
{
    const std::uint64_t hash = XXH64(engine.value().data(), engine.value().size(), 0);
    const std::vector<RouterId> ranks = rankedRouters(m_context.fleet, hash, 1);
    return !ranks.empty() && ranks.front() == m_context.fleet.self();
}

TimePoint OrderPart::nextWakeUp() const
{
    const TimePoint read = m_readsOut > 0 ? m_readAt + kReadTimeout : m_nextReadAt;
    return std::min(read, std::max(m_nextWorkAt, m_lastEventAt.value_or(TimePoint())));
}

void OrderPart::dump(nlohmann::json &out, TimePoint now) const
{
    (void)now;
    out = nlohmann::json::object();
    out["nextOffset"] = m_next.value();
    out["fresh"] = m_isFresh;
    out["goals"] = nlohmann::json::array();
    for (const auto &[id, goal] : m_goals.goals()) {
        out["goals"].push_back({{"engine", id.value()},
                                {"origin", goal.origin.value()},
                                {"reached", goal.reached},
                                {"home", isHomeOf(id)}});
    }
}

} // namespace comfrey
