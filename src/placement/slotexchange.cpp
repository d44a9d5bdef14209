// This router's slots on engines.
#include "placement/slotexchange.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "placement/ranking.h"

namespace comfrey {

namespace {

constexpr Duration kRepeatInterval = milliseconds(1000);
constexpr Duration kHoldingRepeatInterval = milliseconds(150);
constexpr int kHoldingRepeats = 3;
constexpr Duration kLossMemory = milliseconds(5000);
constexpr Duration kRepeatIntervalInLoss = milliseconds(60);

} // namespace

SlotExchange::SlotExchange(const PartContext &context) : m_context(context), m_home(context) { }

std::uint32_t SlotExchange::demand(std::uint64_t pool) const
{
    const auto waiting = m_waiting.find(pool);
    const auto held = m_heldInPool.find(pool);
    return (waiting == m_waiting.end() ? 0 : waiting->second)
        + (held == m_heldInPool.end() ? 0 : held->second);
}

std::uint32_t SlotExchange::held(const BackendId &backend) const
{
    const auto found = m_engines.find(backend);
    return found == m_engines.end() ? 0 : found->second.held;
}

std::uint32_t SlotExchange::lastInFlight(const BackendId &backend) const
{
    const auto found = m_engines.find(backend);
    return found == m_engines.end() ? 0 : found->second.lastInFlight;
}

void SlotExchange::followFleet(TimePoint now, Outbox &out)
{
    const FleetView &fleet = m_context.fleet;
    if (m_started && m_version == fleet.version())
        return;
    m_started = true;
    m_version = fleet.version();
    m_home.followFleet(now);
    for (const BackendView &backend : fleet.backends()) {
        if (backend.kind != InstanceKind::Engine)
            continue;
        Engine &engine = m_engines[backend.id];
        engine.pool = poolKey(backend);
        const RouterId home = homeRouterOf(backend.id, fleet);
        if (home != engine.home)
            moveHome(backend.id, engine, home, now, out);
    }
    std::erase_if(m_engines, [&fleet](const auto &item) {
        return fleet.backend(item.first) == nullptr && item.second.held == 0;
    });
}

// After the new home heard this router, no slot of the former one is used: its open asks end here.
void SlotExchange::moveHome(const BackendId &backend, Engine &engine, const RouterId &home,
                            TimePoint now, Outbox &out)
{
    dropAsks(backend);
    if (!engine.home.isEmpty() && engine.home != m_context.fleet.self())
        sendHolding(backend, engine.home, true, now, out);
    engine.home = home;
    for (auto &[attempt, own] : m_own) {
        if (own.backend == backend)
            own.home = home;
    }
    sendHolding(backend, home, false, now, out);
    engine.holdingRepeats = home == m_context.fleet.self() ? 0 : kHoldingRepeats;
    m_repeatHoldingsAt = std::min(m_repeatHoldingsAt, now + kHoldingRepeatInterval);
}

void SlotExchange::repeatHoldings(TimePoint now, Outbox &out)
{
    if (now < m_repeatHoldingsAt)
        return;
    m_repeatHoldingsAt = kNever;
    for (auto &[backend, engine] : m_engines) {
        if (engine.holdingRepeats == 0)
            continue;
        sendHolding(backend, engine.home, false, now, out);
        if (--engine.holdingRepeats != 0)
            m_repeatHoldingsAt = now + kHoldingRepeatInterval;
    }
}

void SlotExchange::dropAsks(const BackendId &backend)
{
    for (auto item = m_own.begin(); item != m_own.end();) {
        const bool open = item->second.backend == backend && item->second.state != State::Held;
        if (!open) {
            ++item;
            continue;
        }
        m_news.push_back({SlotNewsKind::Moved, item->first, backend});
        item = m_own.erase(item);
    }
}

void SlotExchange::sendHolding(const BackendId &backend, const RouterId &to, bool moved,
                               TimePoint now, Outbox &out)
{
    wire::SlotHoldingT holding;
    holding.backend = backend.value();
    holding.newest = m_newest.value();
    holding.demand = demand(m_engines[backend].pool);
    holding.moved = moved;
    for (const auto &[attempt, own] : m_own) {
        if (own.backend != backend)
            continue;
        auto &list = own.state == State::Held ? holding.attempts : holding.asked;
        list.push_back(attempt.value());
    }
    if (to == m_context.fleet.self())
        m_home.holding(to, holding, now);
    else
        out.send(to, std::move(holding));
}

void SlotExchange::ask(AttemptId attempt, const BackendId &backend, const SlotAskOptions &options,
                       TimePoint now, Outbox &out)
{
    followFleet(now, out);
    const Engine &engine = m_engines[backend];
    m_newest = std::max(m_newest, attempt);
    const Own &own = m_own[attempt] = {backend, engine.home, State::Asked, now, options};
    m_repeatAt = std::min(m_repeatAt, now + repeatInterval(now));
    m_nextTimeout =
        std::min(m_nextTimeout, now + milliseconds(m_context.settings.placement.slotAskTimeoutMs));
    sendAsk(attempt, Own(own), now, out);
}

void SlotExchange::sendAsk(AttemptId attempt, const Own &own, TimePoint now, Outbox &out)
{
    const SlotAskOptions &options = own.options;
    const std::uint32_t wanted = demand(m_engines[own.backend].pool);
    if (own.home == m_context.fleet.self()) {
        m_home.ask(own.backend,
                   {own.home, attempt, options.priority, options.withinShare, options.mayWait,
                    wanted, options.suspect},
                   now);
        return deliverAnswers(now, out);
    }
    wire::SlotAskT ask;
    ask.backend = own.backend.value();
    ask.attempt = attempt.value();
    ask.priority = static_cast<std::uint8_t>(options.priority);
    ask.withinShare = options.withinShare;
    ask.mayWait = options.mayWait;
    ask.demand = wanted;
    ask.suspect = options.suspect;
    out.send(own.home, std::move(ask));
}

Duration SlotExchange::repeatInterval(TimePoint now) const
{
    return now < m_lossyUntil ? kRepeatIntervalInLoss : kRepeatInterval;
}

// An ask or its answer was lost, so the home may count a slot that nobody holds. It is told soon
// what this router holds, not only at the next renewal.
void SlotExchange::noteLoss(const BackendId &backend, TimePoint now)
{
    m_lossyUntil = now + kLossMemory;
    repeatHoldingSoon(backend, now);
}

void SlotExchange::repeatHoldingSoon(const BackendId &backend, TimePoint now)
{
    Engine &engine = m_engines[backend];
    if (engine.home == m_context.fleet.self())
        return;
    engine.holdingRepeats = std::max(engine.holdingRepeats, 1);
    m_repeatHoldingsAt = std::min(m_repeatHoldingsAt, now + kHoldingRepeatInterval);
}

// A home router forgets who waits when it is replaced or its answer is lost.
void SlotExchange::repeatQueuedAsks(TimePoint now, Outbox &out)
{
    if (now < m_repeatAt)
        return;
    m_repeatAt = kNever;
    const Duration interval = repeatInterval(now);
    std::vector<AttemptId> due;
    for (auto &[attempt, own] : m_own) {
        if (own.state != State::Queued)
            continue;
        if (now - own.askedAt >= interval) {
            due.push_back(attempt);
            own.askedAt = now;
        }
        m_repeatAt = std::min(m_repeatAt, own.askedAt + interval);
    }
    for (const AttemptId attempt : due) {
        const auto found = m_own.find(attempt);
        if (found != m_own.end())
            sendAsk(attempt, Own(found->second), now, out);
    }
}

void SlotExchange::sendRelease(const RouterId &to, const BackendId &backend, AttemptId attempt,
                               std::uint8_t slowQuarters, TimePoint now, Outbox &out)
{
    const std::uint32_t wanted = demand(m_engines[backend].pool);
    if (to == m_context.fleet.self()) {
        m_home.release(backend, to, attempt, wanted, slowQuarters, now);
        return deliverAnswers(now, out);
    }
    wire::SlotReleaseT release;
    release.backend = backend.value();
    release.attempt = attempt.value();
    release.demand = wanted;
    release.slow = slowQuarters;
    out.send(to, std::move(release));
}

void SlotExchange::release(AttemptId attempt, std::uint8_t slowQuarters, TimePoint now, Outbox &out)
{
    const auto found = m_own.find(attempt);
    if (found == m_own.end())
        return;
    const Own own = found->second;
    m_own.erase(found);
    if (own.state == State::Held) {
        Engine &engine = m_engines[own.backend];
        --engine.held;
        --m_heldInPool[engine.pool];
    }
    sendRelease(own.home, own.backend, attempt, slowQuarters, now, out);
    if (now < m_lossyUntil)
        repeatHoldingSoon(own.backend, now);
}

bool SlotExchange::takeOwnPart(AttemptId attempt, const BackendId &backend, std::uint32_t least,
                               TimePoint now)
{
    Engine &engine = m_engines[backend];
    const auto routers =
        static_cast<std::uint32_t>(std::max<std::size_t>(1, m_context.fleet.routers().size()));
    if (engine.held >= std::max(least, engine.lastLimit / routers))
        return false;
    m_newest = std::max(m_newest, attempt);
    m_own[attempt] = {backend, engine.home, State::Held, now, {}};
    ++engine.held;
    ++m_heldInPool[engine.pool];
    m_renewAt = std::min(m_renewAt, now);
    return true;
}

void SlotExchange::noticeSlow(const BackendId &backend, std::uint8_t slowQuarters, TimePoint now,
                              Outbox &out)
{
    const RouterId &to = m_engines[backend].home;
    if (to == m_context.fleet.self())
        return m_home.noticeSlow(backend, slowQuarters, now);
    wire::LoadDigestT digest;
    auto load = std::make_unique<wire::BackendLoadT>();
    load->backend = backend.value();
    load->slow = slowQuarters;
    digest.loads.push_back(std::move(load));
    out.send(to, std::move(digest));
}

void SlotExchange::onAnswer(const RouterId &from, const wire::SlotGrantT &answer, TimePoint now,
                            Outbox &out)
{
    const BackendId backend(answer.backend);
    const AttemptId attempt(answer.attempt);
    const auto found = m_own.find(attempt);
    const bool wanted =
        found != m_own.end() && found->second.home == from && found->second.backend == backend;
    if (!wanted) {
        if (answer.granted)
            sendRelease(from, backend, attempt, 0, now, out);
        return;
    }
    Engine &engine = m_engines[backend];
    engine.lastLimit = answer.limit;
    engine.lastInFlight = answer.inFlight;
    Own &own = found->second;
    if (own.state == State::Held)
        return;
    if (answer.granted) {
        own.state = State::Held;
        ++engine.held;
        ++m_heldInPool[engine.pool];
        m_renewAt =
            std::min(m_renewAt, now + milliseconds(m_context.settings.placement.slotRenewMs));
        m_news.push_back({SlotNewsKind::Granted, attempt, backend});
    } else if (own.state == State::Asked) {
        own.state = State::Queued;
        m_news.push_back({SlotNewsKind::Queued, attempt, backend});
    }
}

void SlotExchange::deliverAnswers(TimePoint now, Outbox &out)
{
    for (const SlotAnswer &answer : m_home.takeAnswers()) {
        wire::SlotGrantT grant;
        grant.backend = answer.backend.value();
        grant.attempt = answer.attempt.value();
        grant.granted = answer.granted;
        grant.limit = answer.limit;
        grant.inFlight = answer.inFlight;
        if (answer.to == m_context.fleet.self())
            onAnswer(answer.to, grant, now, out);
        else
            out.send(answer.to, std::move(grant));
    }
}

void SlotExchange::onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now,
                             Outbox &out)
{
    followFleet(now, out);
    if (const auto *ask = message.body.AsSlotAsk()) {
        const auto priority = static_cast<Priority>(std::min<std::uint8_t>(ask->priority, 2));
        m_home.ask(BackendId(ask->backend),
                   {from, AttemptId(ask->attempt), priority, ask->withinShare, ask->mayWait,
                    ask->demand, ask->suspect},
                   now);
    } else if (const auto *grant = message.body.AsSlotGrant()) {
        onAnswer(from, *grant, now, out);
    } else if (const auto *release = message.body.AsSlotRelease()) {
        m_home.release(BackendId(release->backend), from, AttemptId(release->attempt),
                       release->demand, release->slow, now);
    } else if (const auto *holding = message.body.AsSlotHolding()) {
        m_home.holding(from, *holding, now);
    } else if (const auto *digest = message.body.AsLoadDigest()) {
        for (const auto &load : digest->loads) {
            if (load->slow != 0)
                m_home.noticeSlow(BackendId(load->backend), load->slow, now);
        }
    }
    deliverAnswers(now, out);
}

void SlotExchange::endLateAsks(TimePoint now, Outbox &out)
{
    if (now < m_nextTimeout)
        return;
    const Duration limit = milliseconds(m_context.settings.placement.slotAskTimeoutMs);
    m_nextTimeout = kNever;
    std::vector<AttemptId> late;
    for (const auto &[attempt, own] : m_own) {
        if (own.state != State::Asked)
            continue;
        if (now - own.askedAt >= limit)
            late.push_back(attempt);
        else
            m_nextTimeout = std::min(m_nextTimeout, own.askedAt + limit);
    }
    for (const AttemptId attempt : late) {
        const BackendId backend = m_own[attempt].backend;
        m_news.push_back({SlotNewsKind::TimedOut, attempt, backend});
        noteLoss(backend, now);
        release(attempt, 0, now, out);
    }
}

void SlotExchange::renew(TimePoint now, Outbox &out)
{
    if (now < m_renewAt)
        return;
    m_renewAt =
        m_own.empty() ? kNever : now + milliseconds(m_context.settings.placement.slotRenewMs);
    for (const auto &[backend, engine] : m_engines) {
        if (engine.held != 0)
            sendHolding(backend, engine.home, false, now, out);
    }
}

void SlotExchange::tick(TimePoint now, Outbox &out)
{
    followFleet(now, out);
    endLateAsks(now, out);
    repeatQueuedAsks(now, out);
    repeatHoldings(now, out);
    renew(now, out);
    m_home.tick(now);
    deliverAnswers(now, out);
}

TimePoint SlotExchange::nextWakeUp() const
{
    return std::min(
        {m_home.nextWakeUp(), m_renewAt, m_nextTimeout, m_repeatAt, m_repeatHoldingsAt});
}

void SlotExchange::dump(nlohmann::json &out, TimePoint now) const
{
    m_home.dump(out["home"], now);
    out["asked"] = std::count_if(m_own.begin(), m_own.end(),
                                 [](const auto &item) { return item.second.state != State::Held; });
    out["held"] = nlohmann::json::object();
    for (const auto &[backend, engine] : m_engines) {
        if (engine.held != 0)
            out["held"][backend.value()] = engine.held;
    }
}

} // namespace comfrey
