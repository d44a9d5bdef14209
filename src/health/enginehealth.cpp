// How engines do, from this router's own answers.
#include "health/enginehealth.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include <nlohmann/json.hpp>

namespace comfrey {

namespace {

constexpr double kObservationGain = 0.25;
constexpr double kMostSlowness = 8; ///< One observation counts no more.
constexpr std::uint32_t kSamplesToEject = 3;
constexpr std::uint32_t kFailuresToEject = 2;
constexpr std::uint32_t kMaxDoublings = 3;
constexpr Duration kForgetEjections = milliseconds(60000);
constexpr int kHedgeOverMedian = 2; ///< A hedge waits at least this many times the median.

} // namespace

EngineHealth::EngineHealth(const PartContext &context)
    : m_context(context), m_buckets(kBuckets + 1, Bucket(context.settings.health.hedgeQuantile)),
      m_perToken(0.5)
{ }

std::size_t EngineHealth::bucketOf(Tokens promptTokens)
{
    return std::min<std::size_t>(std::bit_width(promptTokens), kBuckets - 1);
}

const EngineHealth::Bucket &EngineHealth::bucketFor(Tokens promptTokens) const
{
    const Bucket &bucket = m_buckets[bucketOf(promptTokens)];
    return bucket.median.value() ? bucket : m_buckets.back();
}

void EngineHealth::onFirstToken(const BackendId &engine, Tokens computedPrompt, Duration waited,
                                TimePoint now)
{
    if (const auto ratio = firstTokenRatio(computedPrompt, waited))
        observe(m_engines[engine], *ratio, now);
    for (Bucket *bucket : {&m_buckets[bucketOf(computedPrompt)], &m_buckets.back()}) {
        bucket->median.add(waited, now);
        bucket->high.add(waited, now);
    }
}

void EngineHealth::onTokens(const BackendId &engine, Duration perToken, TimePoint now)
{
    if (const auto ratio = perTokenRatio(perToken))
        observe(m_engines[engine], *ratio, now);
    m_perToken.add(perToken, now);
}

void EngineHealth::onOverdue(const BackendId &engine, Tokens promptTokens, Duration waited,
                             TimePoint now)
{
    if (const auto ratio = firstTokenRatio(promptTokens, waited); ratio && *ratio > 1)
        observe(m_engines[engine], *ratio, now);
}

void EngineHealth::onFailure(const BackendId &engine, TimePoint now)
{
    Engine &known = m_engines[engine];
    if (++known.failures >= kFailuresToEject)
        eject(known, now);
}

void EngineHealth::onSuccess(const BackendId &engine)
{
    m_engines[engine].failures = 0;
}

void EngineHealth::observe(Engine &engine, double ratio, TimePoint now)
{
    // Geometric, so that one prompt that was not cached does not outweigh many that were.
    const double seen = std::log2(std::clamp(ratio, 1 / kMostSlowness, kMostSlowness));
    const double before = std::log2(engine.slowness);
    engine.slowness = std::exp2(before + kObservationGain * (seen - before));
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
    const double most = m_context.settings.health.maxEjected * static_cast<double>(engines);
    return static_cast<double>(ejected + 1) <= most;
}

void EngineHealth::eject(Engine &engine, TimePoint now)
{
    if (engine.ejectedUntil > now || !mayEject(now))
        return;
    if (now - engine.lastEjected > kForgetEjections)
        engine.ejections = 0;
    const std::uint32_t doublings = std::min(engine.ejections, kMaxDoublings);
    engine.ejectedUntil = now + milliseconds(m_context.settings.health.ejectMs) * (1U << doublings);
    engine.lastEjected = now;
    ++engine.ejections;
    engine.samples = 0;
    engine.failures = 0;
    engine.slowness = 1;
}

// The part of its usual load that the engine gets, from 0 to 1.
double EngineHealth::rampOf(const BackendView &view, TimePoint now) const
{
    const auto part = [now](TimePoint since, std::uint32_t rampMs) {
        const double ramp = static_cast<double>(milliseconds(std::max(1U, rampMs)).count());
        return std::clamp(static_cast<double>((now - since).count()) / ramp, 0.0, 1.0);
    };
    double ramp = 1;
    if (view.state == BackendState::Joining)
        ramp = part(view.since, m_context.settings.membership.joinRampMs);
    const auto known = m_engines.find(view.id);
    if (known != m_engines.end() && known->second.ejections != 0) {
        const double back =
            part(known->second.ejectedUntil, m_context.settings.health.returnRampMs);
        ramp = std::min(ramp, back);
    }
    return ramp;
}

bool EngineHealth::isDeferred(const BackendView &engine, TimePoint now)
{
    const double ramp = rampOf(engine, now);
    if (ramp >= 1)
        return false;
    return std::uniform_real_distribution<double>(0, 1)(m_context.random) >= ramp;
}

std::optional<double> EngineHealth::firstTokenRatio(Tokens computedPrompt, Duration waited) const
{
    const auto usual = usualFirstToken(computedPrompt);
    if (!usual || usual->count() <= 0)
        return std::nullopt;
    return static_cast<double>(waited.count()) / static_cast<double>(usual->count());
}

std::optional<double> EngineHealth::perTokenRatio(Duration perToken) const
{
    const auto usual = m_perToken.value();
    if (!usual || usual->count() <= 0)
        return std::nullopt;
    return static_cast<double>(perToken.count()) / static_cast<double>(usual->count());
}

std::optional<Duration> EngineHealth::usualFirstToken(Tokens computedPrompt) const
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
    return std::max(*high, *median * kHedgeOverMedian);
}

double EngineHealth::medianSlowness() const
{
    std::vector<double> all;
    all.reserve(m_engines.size());
    for (const auto &[id, engine] : m_engines)
        all.push_back(engine.slowness);
    if (all.empty())
        return 1;
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
    std::nth_element(all.begin(), middle, all.end());
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
