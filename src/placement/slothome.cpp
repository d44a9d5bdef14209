// The home router's side of slots.
#include "placement/slothome.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "placement/ranking.h"

namespace comfrey {

namespace {

constexpr int kRenewalsPerTerm = 3;
constexpr Duration kSweepInterval = milliseconds(250);
constexpr Duration kOverShareDelay = milliseconds(1000); ///< Behind those within their share.
constexpr Duration kLongDelay = milliseconds(2000);     ///< Behind short work; then it is its turn.
constexpr Duration kWaitTerm = milliseconds(5000);      ///< Of an asker that was not heard again.
constexpr Duration kSlownessFades = milliseconds(3000); ///< Half of it, without observations.
constexpr double kSlownessGain = 0.25;                  ///< Weight of one observation.
constexpr double kMostSlowness = 8;                     ///< One observation counts no more.
constexpr double kSlowFrom = 2;                         ///< Latency over the usual one.
constexpr double kNoticeRaises = 2;                     ///< Slowness at least, over the present.
constexpr double kQuarters = 4;
constexpr double kHashRange = 18446744073709551616.0; ///< 2^64.

} // namespace

SlotHome::SlotHome(const PartContext &context) : m_context(context) { }

bool SlotHome::isHomeOf(const BackendId &backend) const
{
    const auto found = m_engines.find(backend);
    return found != m_engines.end() && found->second.home;
}

std::uint32_t SlotHome::inFlight(const BackendId &backend) const
{
    const auto found = m_engines.find(backend);
    return found == m_engines.end() ? 0 : static_cast<std::uint32_t>(found->second.held.size());
}

void SlotHome::forgetRouter(EngineSlots &engine, const RouterId &router)
{
    std::erase_if(engine.waiting,
                  [&router](const Waiting &waiting) { return waiting.question.router == router; });
    std::vector<SlotKey> gone;
    for (const auto &[key, slot] : engine.held) {
        if (key.router == router)
            gone.push_back(key);
    }
    for (const SlotKey &key : gone)
        erase(engine, key);
}

// A router that started again counts its attempts from 1 again and holds nothing of before.
void SlotHome::forgetFormerRuns()
{
    std::map<RouterId, Incarnation> present;
    m_aliveRouters = 0;
    for (const RouterView &router : m_context.fleet.routers()) {
        m_aliveRouters += router.state == RouterState::Alive ? 1 : 0;
        present[router.id] = router.incarnation;
        const auto known = m_incarnations.find(router.id);
        if (known == m_incarnations.end() || known->second == router.incarnation)
            continue;
        for (auto &[id, engine] : m_engines)
            forgetRouter(engine, router.id);
    }
    m_incarnations = std::move(present);
}

void SlotHome::followFleet(TimePoint now)
{
    const FleetView &fleet = m_context.fleet;
    if (m_started && m_version == fleet.version())
        return;
    m_started = true;
    m_version = fleet.version();
    forgetFormerRuns();
    m_poolSizes.clear();
    for (const BackendView &backend : fleet.backends()) {
        if (backend.kind != InstanceKind::Engine)
            continue;
        EngineSlots &engine = m_engines[backend.id];
        engine.pool = poolKey(backend);
        m_poolSizes[engine.pool] += backend.state == BackendState::Leaving ? 0 : 1;
        const bool home = homeRouterOf(backend.id, fleet) == fleet.self();
        if (home && !engine.home) {
            engine.takeoverEnds = now + milliseconds(m_context.settings.placement.takeoverLimitMs);
        }
        if (!home)
            engine.waiting.clear();
        engine.home = home;
    }
    std::erase_if(m_engines, [&fleet](const auto &item) {
        return fleet.backend(item.first) == nullptr && item.second.held.empty();
    });
    m_next = now;
}

bool SlotHome::mayGrant(const EngineSlots &engine, TimePoint now) const
{
    if (!engine.home)
        return false;
    if (now >= engine.takeoverEnds)
        return true;
    const auto &routers = m_context.fleet.routers();
    return std::all_of(routers.begin(), routers.end(), [this, &engine](const RouterView &router) {
        return router.id == m_context.fleet.self() || engine.heardFrom.count(router.id) != 0;
    });
}

double SlotHome::slownessOf(const EngineSlots &engine, TimePoint now)
{
    const double silent = std::chrono::duration<double>(now - engine.slownessAt).count();
    const double half = std::chrono::duration<double>(kSlownessFades).count();
    return 1 + (engine.slowness - 1) * std::exp2(-silent / half);
}

// An engine that is slow beside the others gets less than its part, so that few
// requests meet it. When all are slow, none is cut: the load is the reason, not the engine.
double SlotHome::speedOf(const EngineSlots &engine, TimePoint now) const
{
    const double own = slownessOf(engine, now);
    if (own < kSlowFrom)
        return 1;
    const double relative = own / m_usualSlowness;
    return relative < kSlowFrom ? 1 : 1 / (relative * relative);
}

std::uint32_t SlotHome::limitOf(const BackendId &backend, TimePoint now) const
{
    const BackendView *view = m_context.fleet.backend(backend);
    const auto found = m_engines.find(backend);
    if (view == nullptr || found == m_engines.end())
        return 1;
    const std::uint64_t pool = found->second.pool;
    const auto size = m_poolSizes.find(pool);
    const auto demand = m_demand.find(pool);
    SlotLimitInput input;
    input.engines = size == m_poolSizes.end() ? 1 : size->second;
    input.demand = demand == m_demand.end() ? 0 : demand->second.total(m_aliveRouters, now);
    input.multiple = m_context.settings.placement.loadMultiple;
    input.slots = view->slots;
    input.engineQueue = m_context.settings.placement.engineQueue;
    input.speed = speedOf(found->second, now);
    return slotLimit(input);
}

// What an engine gives to work over its customer's share. The rest stays free for customers within
// theirs: lent slots come back only as answers end, which may be later than a contracted first
// token. Where the reserve is below one slot an engine, some engines keep one and the others none.
std::uint32_t SlotHome::lentLimit(const BackendId &backend, std::uint32_t limit) const
{
    const BackendView *view = m_context.fleet.backend(backend);
    const double slots = view == nullptr ? limit : view->slots;
    const std::uint64_t hash = XXH64(backend.value().data(), backend.value().size(), 0);
    const double fraction = static_cast<double>(hash) / kHashRange;
    const double reserve = slots * m_context.settings.admission.shareReserve;
    const auto kept = static_cast<std::uint32_t>(std::floor(reserve + fraction));
    const auto lent = static_cast<std::uint32_t>(std::max(1.0, slots - kept));
    return std::min(limit, lent);
}

bool SlotHome::hasRoom(const BackendId &backend, const EngineSlots &engine,
                       const SlotQuestion &question, TimePoint now) const
{
    const std::uint32_t limit = limitOf(backend, now);
    if (engine.held.size() >= limit)
        return false;
    if (question.suspect && engine.suspectHeld != 0)
        return false;
    if (!question.withinShare && engine.held.size() >= lentLimit(backend, limit))
        return false;
    if (question.priority != Priority::Long)
        return true;
    const BackendView *view = m_context.fleet.backend(backend);
    const double reserve = m_context.settings.admission.shortReserve;
    const double slots = view == nullptr ? limit : view->slots;
    const auto longLimit = static_cast<std::uint32_t>(std::max(1.0, slots * (1 - reserve)));
    return engine.longHeld < longLimit;
}

void SlotHome::answer(const BackendId &backend, const EngineSlots &engine,
                      const SlotQuestion &question, bool granted, TimePoint now)
{
    SlotAnswer answer;
    answer.to = question.router;
    answer.backend = backend;
    answer.attempt = question.attempt;
    answer.granted = granted;
    answer.limit = limitOf(backend, now);
    answer.inFlight = static_cast<std::uint32_t>(engine.held.size());
    m_answers.push_back(std::move(answer));
}

void SlotHome::grant(const BackendId &backend, EngineSlots &engine, const SlotQuestion &question,
                     TimePoint now)
{
    const bool longWork = question.priority == Priority::Long;
    engine.held[{question.router, question.attempt}] = {now, longWork, question.suspect};
    engine.suspectHeld += question.suspect ? 1 : 0;
    engine.longHeld += longWork ? 1 : 0;
    answer(backend, engine, question, true, now);
}

std::vector<SlotHome::Waiting>::iterator
SlotHome::findWaiting(EngineSlots &engine, const RouterId &router, AttemptId attempt)
{
    return std::find_if(engine.waiting.begin(), engine.waiting.end(), [&](const Waiting &waiting) {
        return waiting.question.router == router && waiting.question.attempt == attempt;
    });
}

void SlotHome::ask(const BackendId &backend, const SlotQuestion &question, TimePoint now)
{
    const BackendView *view = m_context.fleet.backend(backend);
    EngineSlots &engine = m_engines[backend];
    m_demand[engine.pool].heard(question.router, question.demand, now);
    if (engine.held.count({question.router, question.attempt}) != 0)
        return answer(backend, engine, question, true, now);
    const auto waiting = findWaiting(engine, question.router, question.attempt);
    if (waiting != engine.waiting.end())
        waiting->heardAt = now;
    if (waiting != engine.waiting.end())
        return answer(backend, engine, question, false, now);
    if (engine.home && view != nullptr && view->state != BackendState::Leaving) {
        TimePoint rank = now;
        rank += question.withinShare ? Duration::zero() : kOverShareDelay;
        rank += question.priority == Priority::Long ? kLongDelay : Duration::zero();
        engine.waiting.push_back({question, now, rank});
        serveWaiting(backend, engine, now);
        m_next = std::min(m_next, now + kSweepInterval);
    }
    if (engine.held.count({question.router, question.attempt}) != 0)
        return;
    answer(backend, engine, question, false, now);
    if (!question.mayWait && !engine.waiting.empty())
        engine.waiting.erase(findWaiting(engine, question.router, question.attempt));
}

void SlotHome::serveWaiting(const BackendId &backend, EngineSlots &engine, TimePoint now)
{
    if (!mayGrant(engine, now))
        return;
    const auto earlier = [](const Waiting &left, const Waiting &right) {
        return left.rank < right.rank;
    };
    std::stable_sort(engine.waiting.begin(), engine.waiting.end(), earlier);
    for (auto next = engine.waiting.begin(); next != engine.waiting.end();) {
        if (!hasRoom(backend, engine, next->question, now)) {
            ++next;
            continue;
        }
        const SlotQuestion question = next->question;
        next = engine.waiting.erase(next);
        grant(backend, engine, question, now);
    }
}

void SlotHome::erase(EngineSlots &engine, const SlotKey &key)
{
    const auto found = engine.held.find(key);
    if (found == engine.held.end())
        return;
    engine.longHeld -= found->second.longWork ? 1 : 0;
    engine.suspectHeld -= found->second.suspect ? 1 : 0;
    engine.held.erase(found);
}

void SlotHome::release(const BackendId &backend, const RouterId &router, AttemptId attempt,
                       std::uint32_t demand, std::uint8_t slowQuarters, TimePoint now)
{
    const auto found = m_engines.find(backend);
    if (found == m_engines.end())
        return;
    EngineSlots &engine = found->second;
    m_demand[engine.pool].heard(router, demand, now);
    erase(engine, {router, attempt});
    const auto waiting = findWaiting(engine, router, attempt);
    if (waiting != engine.waiting.end())
        engine.waiting.erase(waiting);
    if (slowQuarters != 0)
        observe(engine, slowQuarters / kQuarters, now);
    serveWaiting(backend, engine, now);
}

void SlotHome::observe(EngineSlots &engine, double ratio, TimePoint now)
{
    const double seen = std::log2(std::clamp(ratio, 1.0, kMostSlowness));
    const double before = std::log2(engine.slowness);
    engine.slowness = std::exp2(before + kSlownessGain * (seen - before));
    engine.slownessAt = now;
}

void SlotHome::noticeSlow(const BackendId &backend, std::uint8_t slowQuarters, TimePoint now)
{
    const auto found = m_engines.find(backend);
    if (found == m_engines.end())
        return;
    // The answer has not come yet: it is at least this slow, so the estimate only rises.
    const double least = found->second.slowness * kNoticeRaises;
    observe(found->second, std::max(slowQuarters / kQuarters, least), now);
}

void SlotHome::holding(const RouterId &router, const wire::SlotHoldingT &message, TimePoint now)
{
    const BackendId backend(message.backend);
    EngineSlots &engine = m_engines[backend];
    if (message.moved) {
        // Its slots count on: requests of the former time are still in flight.
        engine.heardFrom.erase(router);
        return;
    }
    engine.heardFrom.insert(router);
    m_demand[engine.pool].heard(router, message.demand, now);
    const auto named = [](const std::vector<std::uint64_t> &list, AttemptId attempt) {
        return std::find(list.begin(), list.end(), attempt.value()) != list.end();
    };
    std::vector<SlotKey> ended;
    for (const auto &[key, slot] : engine.held) {
        const bool older = key.router == router && key.attempt.value() <= message.newest;
        if (older && !named(message.attempts, key.attempt) && !named(message.asked, key.attempt))
            ended.push_back(key);
    }
    for (const SlotKey &key : ended)
        erase(engine, key);
    for (const std::uint64_t attempt : message.attempts)
        engine.held[{router, AttemptId(attempt)}].heardAt = now;
    serveWaiting(backend, engine, now);
    m_next = std::min(m_next, now + kSweepInterval);
}

void SlotHome::endSilent(EngineSlots &engine, TimePoint now) const
{
    const Duration term = milliseconds(m_context.settings.placement.slotRenewMs) * kRenewalsPerTerm;
    std::vector<SlotKey> silent;
    for (const auto &[key, slot] : engine.held) {
        if (now - slot.heardAt > term)
            silent.push_back(key);
    }
    for (const SlotKey &key : silent)
        erase(engine, key);
    std::erase_if(engine.waiting,
                  [now](const Waiting &waiting) { return now - waiting.heardAt > kWaitTerm; });
}

void SlotHome::tick(TimePoint now)
{
    followFleet(now);
    if (now < m_next)
        return;
    m_next = kNever;
    for (auto &[backend, engine] : m_engines) {
        endSilent(engine, now);
        serveWaiting(backend, engine, now);
        if (!engine.held.empty() || !engine.waiting.empty())
            m_next = now + kSweepInterval;
    }
}

void SlotHome::dump(nlohmann::json &out, TimePoint now) const
{
    out = nlohmann::json::object();
    for (const auto &[backend, engine] : m_engines) {
        if (!engine.home)
            continue;
        out[backend.value()] = {
            {"inFlight", engine.held.size()},    {"long", engine.longHeld},
            {"waiting", engine.waiting.size()},  {"limit", limitOf(backend, now)},
            {"granting", mayGrant(engine, now)}, {"speed", speedOf(engine, now)}};
    }
}

} // namespace comfrey
