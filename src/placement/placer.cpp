// Finds an engine for each request.
#include "placement/placer.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "placement/ranking.h"

namespace comfrey {

namespace {

constexpr Duration kMedianInterval = milliseconds(100);
constexpr double kQuarters = 4;
constexpr Duration kIsolatedAfter = milliseconds(1000); ///< Without an answer of any home router.
constexpr double kMostQuarters = 255;

bool contains(const std::vector<BackendId> &list, const BackendId &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

std::unique_ptr<PlacementPolicy> policyOf(const PartContext &context)
{
    auto policy = makePlacementPolicy(context.settings.placement.policy, context.random);
    return policy ? std::move(policy) : makePlacementPolicy({}, context.random);
}

} // namespace

Placer::Placer(const PartContext &context, EngineHealth &health)
    : m_context(context), m_health(health), m_policy(policyOf(context)), m_slots(context),
      m_moved(context.settings.placement.movedChatsKept)
{ }

std::vector<EngineCandidate> Placer::candidates(const PlacementQuery &query, TimePoint now)
{
    std::vector<EngineCandidate> list;
    for (const BackendView *engine : enginesServing(query.model, m_context.fleet)) {
        if (contains(query.exclude, engine->id))
            continue;
        EngineCandidate candidate;
        candidate.engine = engine;
        const auto own = m_inFlight.find(engine->id);
        candidate.ownInFlight = own == m_inFlight.end() ? 0 : own->second;
        const auto reported = m_reported.find(engine->id);
        candidate.fleetInFlight = reported == m_reported.end() ? 0 : reported->second;
        candidate.deferred = asksForSlots() && m_health.isDeferred(*engine, now);
        list.push_back(candidate);
    }
    return list;
}

std::vector<BackendId> Placer::orderFor(const PlacementQuery &query, TimePoint now)
{
    const auto list = candidates(query, now);
    std::vector<BackendId> order;
    if (list.empty())
        return order;
    for (const BackendView *engine : m_policy->order({query.key, m_moved.find(query.key)}, list))
        order.push_back(engine->id);
    return order;
}

SearchId Placer::find(const PlacementQuery &query, TimePoint now, Outbox &out)
{
    const SearchId id = m_lastSearch = m_lastSearch.next();
    Search &search = m_searches[id];
    search.query = query;
    search.startedAt = now;
    search.order = orderFor(query, now);
    if (search.order.empty())
        fail(id);
    else if (!asksForSlots())
        place(id, m_context.ids.nextAttempt(), BackendId(search.order.front()));
    else
        askMore(id, now, out);
    handleNews(now, out);
    return id;
}

void Placer::fail(SearchId id)
{
    Placement placement;
    placement.search = id;
    placement.request = m_searches[id].query.request;
    m_placements.push_back(std::move(placement));
    m_searches.erase(id);
}

// One engine first; if it is full, a few at once.
void Placer::askMore(SearchId id, TimePoint now, Outbox &out)
{
    Search &search = m_searches[id];
    const auto &placement = m_context.settings.placement;
    const std::size_t last = std::min<std::size_t>(search.order.size(), placement.maxAsks);
    const std::size_t count = search.next == 0 ? 1 : std::max(1U, placement.spillAsks);
    const std::size_t end = std::min(last, search.next + count);
    std::vector<std::pair<AttemptId, BackendId>> asks;
    for (; search.next < end; ++search.next)
        asks.emplace_back(m_context.ids.nextAttempt(), search.order[search.next]);
    for (const auto &[attempt, engine] : asks) {
        search.unanswered.push_back(attempt);
        m_asks[attempt] = id;
    }
    const SlotAskOptions options = search.query.options;
    for (const auto &[attempt, engine] : asks)
        m_slots.ask(attempt, engine, options, now, out);
}

void Placer::handleNews(TimePoint now, Outbox &out)
{
    for (auto news = m_slots.takeNews(); !news.empty(); news = m_slots.takeNews()) {
        for (const SlotNews &item : news)
            onNews(item, now, out);
    }
}

void Placer::onNews(const SlotNews &news, TimePoint now, Outbox &out)
{
    const auto ask = m_asks.find(news.attempt);
    if (ask == m_asks.end()) {
        if (news.kind == SlotNewsKind::Granted)
            m_slots.release(news.attempt, 0, now, out);
        return;
    }
    const SearchId id = ask->second;
    if (news.kind == SlotNewsKind::Granted) {
        endSearch(id, news.attempt, now, out);
        return place(id, news.attempt, news.backend);
    }
    Search &search = m_searches[id];
    search.homesSilent = search.homesSilent && news.kind == SlotNewsKind::TimedOut;
    std::erase(search.unanswered, news.attempt);
    std::erase(search.queued, news.attempt);
    if (news.kind == SlotNewsKind::Queued && search.query.options.mayWait)
        search.queued.push_back(news.attempt);
    else
        m_asks.erase(ask);
    if (!search.unanswered.empty())
        return;
    const std::size_t last =
        std::min<std::size_t>(search.order.size(), m_context.settings.placement.maxAsks);
    if (search.next < last)
        return askMore(id, now, out);
    if (!search.query.options.mayWait)
        return fail(id);
    if (search.queued.empty())
        withoutHomes(id, now);
}

// No home router answers: this router may be cut off from the others. It stays within its own part
// of each engine's limit and starts over later if that is used up.
void Placer::withoutHomes(SearchId id, TimePoint now)
{
    Search &search = m_searches[id];
    search.stalledUntil = now + milliseconds(m_context.settings.placement.slotAskTimeoutMs);
    if (!search.homesSilent)
        return;
    const std::uint32_t least = now - search.startedAt >= kIsolatedAfter ? 1 : 0;
    for (const BackendId &engine : search.order) {
        const AttemptId attempt = m_context.ids.nextAttempt();
        if (m_slots.takeOwnPart(attempt, engine, least, now))
            return place(id, attempt, BackendId(engine));
    }
}

void Placer::place(SearchId id, AttemptId attempt, const BackendId &engine)
{
    const Search &search = m_searches[id];
    Placement placement;
    placement.search = id;
    placement.request = search.query.request;
    placement.found = true;
    placement.attempt = attempt;
    placement.engine = engine;
    placement.importFrom = importSource(search, engine);
    m_placements.push_back(std::move(placement));
    m_placed[attempt] = engine;
    ++m_inFlight[engine];
    m_searches.erase(id);
}

std::optional<Endpoint> Placer::importSource(const Search &search, const BackendId &engine) const
{
    if (!asksForSlots() || search.order.front() == engine
        || search.query.promptTokens < m_context.settings.placement.kvImportTokens)
        return std::nullopt;
    const BackendView *source = m_context.fleet.backend(search.order.front());
    return source == nullptr ? std::nullopt : std::make_optional(source->address);
}

// Gives up every ask of the search but `kept`.
void Placer::endSearch(SearchId id, AttemptId kept, TimePoint now, Outbox &out)
{
    Search &search = m_searches[id];
    std::vector<AttemptId> asks = std::exchange(search.unanswered, {});
    asks.insert(asks.end(), search.queued.begin(), search.queued.end());
    search.queued.clear();
    for (const AttemptId attempt : asks) {
        m_asks.erase(attempt);
        if (attempt != kept)
            m_slots.release(attempt, 0, now, out);
    }
    m_asks.erase(kept);
}

void Placer::cancel(SearchId search, TimePoint now, Outbox &out)
{
    if (m_searches.count(search) == 0)
        return;
    endSearch(search, AttemptId(), now, out);
    m_searches.erase(search);
    handleNews(now, out);
}

void Placer::ended(AttemptId attempt, std::uint8_t slowQuarters, TimePoint now, Outbox &out)
{
    const auto placed = m_placed.find(attempt);
    if (placed == m_placed.end())
        return;
    const auto count = m_inFlight.find(placed->second);
    if (--count->second == 0)
        m_inFlight.erase(count);
    m_placed.erase(placed);
    m_slots.release(attempt, slowQuarters, now, out);
    handleNews(now, out);
}

void Placer::served(std::uint64_t key, const ModelId &model, const BackendId &engine)
{
    const BackendView *first = nullptr;
    std::uint64_t firstWeight = 0;
    for (const BackendView *candidate : enginesServing(model, m_context.fleet)) {
        const std::uint64_t weight = rendezvousWeight(key, candidate->id.value());
        if (first != nullptr && weight <= firstWeight)
            continue;
        first = candidate;
        firstWeight = weight;
    }
    if (first != nullptr && first->id == engine)
        m_moved.forget(key);
    else
        m_moved.remember(key, engine);
}

void Placer::noticeSlow(const BackendId &engine, double ratio, TimePoint now, Outbox &out)
{
    if (!asksForSlots())
        return;
    const double quarters = std::clamp(std::round(ratio * kQuarters), 1.0, kMostQuarters);
    m_slots.noticeSlow(engine, static_cast<std::uint8_t>(quarters), now, out);
}

void Placer::onReport(const LoadReport &report, Outbox &out)
{
    m_reported[report.backend] = report.running + report.waiting;
    if (!m_policy->usesReports())
        return;
    for (const RouterView &router : m_context.fleet.routers()) {
        if (router.id == m_context.fleet.self())
            continue;
        wire::LoadDigestT digest;
        auto load = std::make_unique<wire::BackendLoadT>();
        load->backend = report.backend.value();
        load->inFlight = report.running + report.waiting;
        load->slots = std::max(1U, report.slots);
        digest.loads.push_back(std::move(load));
        out.send(router.id, std::move(digest));
    }
}

const std::map<std::uint64_t, std::size_t> &Placer::poolsOf(const ModelId &model)
{
    if (m_poolsVersion != m_context.fleet.version()) {
        m_poolsVersion = m_context.fleet.version();
        m_pools.clear();
    }
    const auto [found, isNew] = m_pools.try_emplace(model);
    if (isNew) {
        for (const BackendView *engine : enginesServing(model, m_context.fleet))
            ++found->second[poolKey(*engine)];
    }
    return found->second;
}

void Placer::setWaiting(const ModelId &model, std::uint32_t count)
{
    const auto &pools = poolsOf(model);
    std::size_t all = 0;
    for (const auto &[pool, size] : pools)
        all += size;
    for (const auto &[pool, size] : pools)
        m_slots.setWaiting(pool, static_cast<std::uint32_t>((count * size + all - 1) / all));
}

void Placer::onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now,
                       Outbox &out)
{
    if (const auto *digest = message.body.AsLoadDigest()) {
        for (const auto &load : digest->loads) {
            if (load->slots != 0)
                m_reported[BackendId(load->backend)] = load->inFlight;
        }
    }
    m_slots.onMessage(from, message, now, out);
    handleNews(now, out);
}

void Placer::tick(TimePoint now, Outbox &out)
{
    if (now >= m_medianAt) {
        m_slots.setUsualSlowness(m_health.medianSlowness());
        m_medianAt = now + kMedianInterval;
    }
    m_slots.tick(now, out);
    handleNews(now, out);
    std::vector<SearchId> stalled;
    for (const auto &[id, search] : m_searches) {
        if (search.stalledUntil <= now)
            stalled.push_back(id);
    }
    for (const SearchId id : stalled) {
        Search &search = m_searches[id];
        search.stalledUntil = kNever;
        search.homesSilent = true;
        search.next = 0;
        search.order = orderFor(search.query, now);
        if (search.order.empty())
            fail(id);
        else
            askMore(id, now, out);
        handleNews(now, out);
    }
}

TimePoint Placer::nextWakeUp() const
{
    TimePoint next = m_slots.nextWakeUp();
    for (const auto &[id, search] : m_searches)
        next = std::min(next, search.stalledUntil);
    return next;
}

void Placer::dump(nlohmann::json &out, TimePoint now) const
{
    m_slots.dump(out["slots"], now);
    out["policy"] = m_context.settings.placement.policy;
    out["searches"] = m_searches.size();
    out["movedChats"] = m_moved.size();
}

} // namespace comfrey
