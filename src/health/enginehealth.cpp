// Smooths the latency of each engine against the typical one, and ejects slow or failing engines.
#include "health/enginehealth.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include <nlohmann/json.hpp>

namespace comfrey {

namespace {

constexpr double kObservationGain = 0.25;
constexpr double kMaxSlowness = 8; ///< Limits the weight of one observation.
constexpr std::uint32_t kSamplesToEject = 3;
constexpr std::uint32_t kFailuresToEject = 2;
constexpr std::uint32_t kMaxDoublings = 3;
constexpr Duration kEjectionRetention = milliseconds(60000);
constexpr int kMinHedgeDelayOverMedian = 2; ///< Minimum hedge delay as a multiple of the median.

} // namespace

EngineHealth::EngineHealth(const PartContext &context)
    : m_context(context), m_buckets(kBuckets + 1, Bucket(context.settings.health.hedgeQuantile)),
      m_tokenInterval(0.5)
{ }

std::size_t EngineHealth::bucketIndex(Tokens promptTokens)
{
    return std::min<std::size_t>(std::bit_width(promptTokens), kBuckets - 1);
}

const EngineHealth::Bucket &EngineHealth::bucketFor(Tokens promptTokens) const
{
    const Bucket &bucket = m_buckets[bucketIndex(promptTokens)];
    return bucket.median.value() ? bucket : m_buckets.back();
}

void EngineHealth::onFirstToken(const BackendId &engine, Tokens computedPrompt, Duration waited,
                                TimePoint now)
{
    if (const auto ratio = firstTokenRatio(computedPrompt, waited))
        recordSlowness(m_engines[engine], *ratio, now);
    for (Bucket *bucket : {&m_buckets[bucketIndex(computedPrompt)], &m_buckets.back()}) {
        bucket->median.add(waited, now);
        bucket->high.add(waited, now);
    }
}

void EngineHealth::onTokenInterval(const BackendId &engine, Duration tokenInterval, TimePoint now)
{
    if (const auto ratio = perTokenRatio(tokenInterval))
        recordSlowness(m_engines[engine], *ratio, now);
    m_tokenInterval.add(tokenInterval, now);
}

void EngineHealth::onOverdue(const BackendId &engine, Tokens promptTokens, Duration waited,
                             TimePoint now)
{
    if (const auto ratio = firstTokenRatio(promptTokens, waited); ratio && *ratio > 1)
        recordSlowness(m_engines[engine], *ratio, now);
}

void EngineHealth::onFailure(const BackendId &engine, TimePoint now)
{
    Engine &known = m_engines[engine];
    if (++known.consecutiveFailures >= kFailuresToEject)
        eject(known, now);
}

void EngineHealth::onSuccess(const BackendId &engine)
{
    m_engines[engine].consecutiveFailures = 0;
}

void EngineHealth::recordSlowness(Engine &engine, double ratio, TimePoint now)
{
    // Averages logarithms, so that one uncached prompt does not outweigh many cached ones.
    const double observedLog = std::log2(std::clamp(ratio, 1 / kMaxSlowness, kMaxSlowness));
    const double previousLog = std::log2(engine.slowness);
    engine.slowness = std::exp2(previousLog + kObservationGain * (observedLog - previousLog));
    ++engine.samples;
    if (engine.samples >= kSamplesToEject
        && engine.slowness >= m_context.settings.health.ejectRatio)
        eject(engine, now);
}

bool EngineHealth::mayEject(TimePoint now) const
{
    const auto &backends = m_context.fleet.backends();
    const auto engines =
        std::count_if(backends.begin(), backends.end(), [](const BackendView &view) {
            return view.kind == InstanceKind::Engine && view.state != BackendState::Leaving;
        });
    const auto ejected = std::count_if(m_engines.begin(), m_engines.end(), [now](const auto &item) {
        return item.second.ejectedUntil > now;
    });
    const double maxEjectedEngines =
        m_context.settings.health.maxEjected * static_cast<double>(engines);
    return static_cast<double>(ejected + 1) <= maxEjectedEngines;
}

void EngineHealth::eject(Engine &engine, TimePoint now)
{
    if (engine.ejectedUntil > now || !mayEject(now))
        return;
    if (now - engine.lastEjected > kEjectionRetention)
        engine.ejections = 0;
    const std::uint32_t doublings = std::min(engine.ejections, kMaxDoublings);
    engine.ejectedUntil = now + milliseconds(m_context.settings.health.ejectMs) * (1U << doublings);
    engine.lastEjected = now;
    ++engine.ejections;
    engine.samples = 0;
    engine.consecutiveFailures = 0;
    engine.slowness = 1;
}

// Share of its normal load that a joining or returning engine receives, from 0 to 1.
double EngineHealth::loadShare(const BackendView &view, TimePoint now) const
{
    const auto elapsedShare = [now](TimePoint since, std::uint32_t rampMs) {
        const double ramp = static_cast<double>(milliseconds(std::max(1U, rampMs)).count());
        return std::clamp(static_cast<double>((now - since).count()) / ramp, 0.0, 1.0);
    };
    double ramp = 1;
    if (view.state == BackendState::Joining)
        ramp = elapsedShare(view.since, m_context.settings.membership.joinRampMs);
    const auto known = m_engines.find(view.id);
    if (known != m_engines.end() && known->second.ejections != 0) {
        const double returnShare =
            elapsedShare(known->second.ejectedUntil, m_context.settings.health.returnRampMs);
        ramp = std::min(ramp, returnShare);
    }
    return ramp;
}

bool EngineHealth::isDeferred(const BackendView &engine, TimePoint now)
{
    const double ramp = loadShare(engine, now);
    if (ramp >= 1)
        return false;
    return std::uniform_real_distribution<double>(0, 1)(m_context.random) >= ramp;
}

std::optional<double> EngineHealth::firstTokenRatio(Tokens computedPrompt, Duration waited) const
{
    const auto typical = medianFirstTokenLatency(computedPrompt);
    if (!typical || typical->count() <= 0)
        return std::nullopt;
    return static_cast<double>(waited.count()) / static_cast<double>(typical->count());
}

std::optional<double> EngineHealth::perTokenRatio(Duration tokenInterval) const
{
    const auto typical = m_tokenInterval.value();
    if (!typical || typical->count() <= 0)
        return std::nullopt;
    return static_cast<double>(tokenInterval.count()) / static_cast<double>(typical->count());
}

std::optional<Duration> EngineHealth::medianFirstTokenLatency(Tokens computedPrompt) const
{
    return bucketFor(computedPrompt).median.value();
}

std::optional<Duration> EngineHealth::hedgeDelay(Tokens promptTokens) const
{
    const Bucket &bucket = bucketFor(promptTokens);
    const auto median = bucket.median.value();
    const auto high = bucket.high.value();
    if (!median || !high)
        return std::nullopt;
    return std::max(*high, *median * kMinHedgeDelayOverMedian);
}

double EngineHealth::medianSlowness() const
{
    std::vector<double> slownesses;
    slownesses.reserve(m_engines.size());
    for (const auto &[id, engine] : m_engines)
        slownesses.push_back(engine.slowness);
    if (slownesses.empty())
        return 1;
    const auto middle =
        slownesses.begin() + static_cast<std::ptrdiff_t>((slownesses.size() - 1) / 2);
    std::nth_element(slownesses.begin(), middle, slownesses.end());
    return *middle;
}

void EngineHealth::dump(nlohmann::json &out, TimePoint now) const
{
    out = nlohmann::json::object();
    for (const auto &[id, engine] : m_engines) {
        if (engine.samples == 0 && engine.ejections == 0)
            continue;
        out[id.value()] = {{"slowness", engine.slowness},
                           {"ejected", engine.ejectedUntil > now},
                           {"ejections", engine.ejections}};
    }
}

} // namespace comfrey
