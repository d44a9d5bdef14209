// A fake model engine.
#include "support/fakeengine.h"

#include <algorithm>

namespace comfrey::test {

namespace {

constexpr Tokens kTokensPerStep = 16;
constexpr std::size_t kCacheEventsKept = 8;
constexpr double kCachedPrefillShare = 0.2; // of the time to the first token of an uncached prompt

} // namespace

FakeEngine::FakeEngine(EventQueue &queue, AttemptSink &sink, EngineOptions options)
    : m_queue(queue), m_sink(sink), m_options(std::move(options)),
      m_models(m_options.models.begin(), m_options.models.end())
{
    noteLoad();
}

Instance FakeEngine::instance() const
{
    Instance instance;
    instance.id = m_options.id;
    instance.kind = InstanceKind::Engine;
    instance.zone = ZoneId(m_options.zone);
    instance.address = Endpoint(m_options.id + ":80");
    for (const std::string &model : m_options.models)
        instance.models.emplace_back(model);
    instance.slots = m_options.slots;
    instance.checksFencing = m_options.checksFencing;
    return instance;
}

Duration FakeEngine::slowed(Duration time) const
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * m_faults.slow));
}

std::uint32_t FakeEngine::inFlight() const
{
    std::size_t count = m_running.size();
    for (const auto &[priority, queue] : m_waiting)
        count += queue.size();
    return static_cast<std::uint32_t>(count);
}

void FakeEngine::noteLoad()
{
    const auto running = static_cast<std::uint32_t>(m_running.size());
    m_loads.push_back({m_queue.now(), running, inFlight() - running});
    const TimePoint oldest = m_queue.now() - m_options.reportLag;
    while (m_loads.size() > 1 && m_loads[1].at <= oldest)
        m_loads.pop_front();
}

void FakeEngine::refuse(const Arrival &arrival)
{
    AttemptEnded end;
    end.how = AttemptEnd::RefusedUnstarted;
    end.status = 503;
    end.backendLeaving = m_faults.leaving;
    m_sink.ended(arrival.key, end);
}

void FakeEngine::arrive(const Arrival &arrival)
{
    const bool serves = m_models.count(arrival.submission.detail.model.value()) > 0;
    if (m_faults.refuse || !serves || (m_faults.leaving && !m_faults.ignoresLeaving))
        return refuse(arrival);
    m_waiting[arrival.priority].push_back(arrival);
    startNext();
    noteLoad();
}

void FakeEngine::startNext()
{
    while (m_running.size() < m_options.slots) {
        const auto queue = std::find_if(m_waiting.rbegin(), m_waiting.rend(),
                                        [](const auto &entry) { return !entry.second.empty(); });
        if (queue == m_waiting.rend())
            return;
        const Arrival arrival = queue->second.front();
        queue->second.pop_front();
        start(arrival);
    }
}

void FakeEngine::start(const Arrival &arrival)
{
    ++m_started;
    m_sink.started(arrival);
    Running running{arrival, 0, useCache(arrival.submission.detail)};
    const Tokens prompt = std::max<Tokens>(arrival.submission.detail.promptTokens, 1);
    const double cachedShare = std::min(1.0, static_cast<double>(running.cached) / prompt);
    const double factor = 1 - cachedShare * (1 - kCachedPrefillShare);
    const AttemptKey key = arrival.key;
    m_running.emplace(key, std::move(running));
    const Duration first = slowed(m_options.firstToken);
    const Duration wait(static_cast<Duration::rep>(static_cast<double>(first.count()) * factor));
    if (arrival.submission.crashesBackend) {
        m_queue.after(wait / 2, [this, key] {
            if (m_running.count(key) > 0)
                crashByRequest();
        });
        return;
    }
    m_queue.after(wait, [this, key] { step(key, 1); });
}

Tokens FakeEngine::useCache(const CallerRequest &detail)
{
    if (detail.chat.isEmpty())
        return 0;
    Tokens cached = 0;
    const auto found = m_cache.find(detail.chat);
    if (found != m_cache.end()) {
        cached = std::min(found->second.first, detail.promptTokens);
        m_cacheOrder.erase(found->second.second);
        m_cache.erase(found);
    }
    m_cacheOrder.push_back(detail.chat);
    m_cache.emplace(detail.chat,
                    std::make_pair(detail.promptTokens, std::prev(m_cacheOrder.end())));
    m_cacheEvents.push_back(
        {CacheChange::Stored, detail.chat, detail.sharedPrefix, detail.promptTokens});
    if (m_cache.size() > m_options.cachedChats) {
        m_cacheEvents.push_back({CacheChange::Evicted, m_cacheOrder.front(), PrefixHash(), 0});
        m_cache.erase(m_cacheOrder.front());
        m_cacheOrder.pop_front();
    }
    while (m_cacheEvents.size() > kCacheEventsKept)
        m_cacheEvents.pop_front();
    m_cachedTokensUsed += cached;
    return cached;
}

void FakeEngine::step(const AttemptKey &key, Tokens tokens)
{
    const auto found = m_running.find(key);
    if (found == m_running.end())
        return;
    Running &running = found->second;
    const Tokens whole = running.arrival.submission.outputTokens;
    const Tokens wanted = whole - std::min(whole, running.arrival.resumeAt);
    running.delivered = std::min(wanted, running.delivered + tokens);
    if (running.delivered > 0)
        m_sink.progressed(key, running.delivered, running.cached);
    if (running.delivered >= wanted)
        return finish(key);
    const Tokens next = std::min(kTokensPerStep, wanted - running.delivered);
    m_queue.after(slowed(m_options.perToken) * next, [this, key, next] { step(key, next); });
}

void FakeEngine::finish(const AttemptKey &key)
{
    const auto found = m_running.find(key);
    AttemptEnded end;
    end.how = AttemptEnd::Completed;
    end.status = 200;
    end.tokens = found->second.delivered;
    end.cachedPromptTokens = found->second.cached;
    end.backendLeaving = m_faults.leaving;
    m_running.erase(found);
    startNext();
    noteLoad();
    m_sink.ended(key, end);
}

void FakeEngine::cancel(const AttemptKey &key)
{
    m_running.erase(key);
    for (auto &[priority, queue] : m_waiting)
        std::erase_if(queue, [&key](const Arrival &arrival) { return arrival.key == key; });
    startNext();
    noteLoad();
}

void FakeEngine::crash()
{
    m_up = false;
    const auto running = std::exchange(m_running, {});
    const auto waiting = std::exchange(m_waiting, {});
    m_cache.clear();
    m_cacheOrder.clear();
    m_cacheEvents.clear();
    noteLoad();
    for (const auto &[key, entry] : running) {
        AttemptEnded end;
        end.how = entry.delivered > 0 ? AttemptEnd::BrokenInAnswer : AttemptEnd::BrokenBeforeAnswer;
        end.tokens = entry.delivered;
        end.cachedPromptTokens = entry.cached;
        m_sink.ended(key, end);
    }
    for (const auto &[priority, queue] : waiting) {
        for (const Arrival &arrival : queue) {
            AttemptEnded end;
            end.how = AttemptEnd::BrokenBeforeAnswer;
            m_sink.ended(arrival.key, end);
        }
    }
}

void FakeEngine::crashByRequest()
{
    ++m_crashes;
    crash();
    m_queue.after(m_options.restartAfter, [this] { restart(); });
}

void FakeEngine::restart()
{
    m_up = true;
    m_newestOrder = FencingNumber();
}

LoadReport FakeEngine::report() const
{
    LoadReport report;
    report.backend = BackendId(m_options.id);
    const TimePoint oldest = m_queue.now() - m_options.reportLag;
    Load load = m_loads.front();
    for (const Load &later : m_loads) {
        if (later.at <= oldest)
            load = later;
    }
    report.measuredAt = oldest;
    report.running = load.running;
    report.waiting = load.waiting;
    report.slots = m_options.slots;
    report.leaving = m_faults.leaving;
    for (const std::string &model : m_models)
        report.models.emplace_back(model);
    for (const std::string &adapter : m_adapters)
        report.adapters.emplace_back(adapter);
    report.role = m_role;
    report.newestOrder = m_newestOrder;
    report.cacheEvents.assign(m_cacheEvents.begin(), m_cacheEvents.end());
    return report;
}

OrderResult FakeEngine::order(const GiveOrder &order)
{
    if (m_options.checksFencing && order.fencing < m_newestOrder)
        return OrderResult::RefusedStale;
    m_newestOrder = order.fencing;
    switch (order.kind) {
    case OrderKind::LoadModel:
        m_models.insert(order.subject);
        break;
    case OrderKind::UnloadModel:
        m_models.erase(order.subject);
        break;
    case OrderKind::LoadAdapter:
        m_adapters.insert(order.subject);
        break;
    case OrderKind::SetVersion:
        break;
    case OrderKind::SetRole:
        m_role = order.subject;
        break;
    }
    return m_faults.losesOrderAnswers ? OrderResult::Lost : OrderResult::Done;
}

} // namespace comfrey::test
