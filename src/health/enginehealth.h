// Health of engines, judged by the answers to this router's requests: latency relative to the
// typical latency over all engines, and failures. Slow or failing engines are ejected, up to a
// maximum share of all engines, and return with gradually rising load.
#pragma once

#include <array>
#include <map>
#include <optional>

#include <nlohmann/json_fwd.hpp>

#include "facade/part.h"
#include "health/recentquantile.h"

namespace comfrey {

/// Tracks the health of all engines for one router.
class EngineHealth
{
public:
    explicit EngineHealth(const PartContext &context);

    /// The first token arrived `waited` after the request was sent. `computedPrompt`: prompt tokens
    /// that were not in the engine's cache.
    void onFirstToken(const BackendId &engine, Tokens computedPrompt, Duration waited,
                      TimePoint now);
    /// Tokens arrived with this mean interval between them.
    void onTokenInterval(const BackendId &engine, Duration tokenInterval, TimePoint now);
    /// The first token is still missing `waited` after the request was sent.
    void onOverdue(const BackendId &engine, Tokens promptTokens, Duration waited, TimePoint now);
    /// A request failed at the engine; consecutive failures eject it.
    void onFailure(const BackendId &engine, TimePoint now);
    /// A request succeeded, which ends a series of failures.
    void onSuccess(const BackendId &engine);

    /// True if the engine should be chosen after all others. Always true while it is ejected; while
    /// it returns or joins, drawn from the router's random generator so that its load rises
    /// gradually.
    bool isDeferred(const BackendView &engine, TimePoint now);

    /// Latency divided by the typical latency; nullopt while that is unknown.
    std::optional<double> firstTokenRatio(Tokens computedPrompt, Duration waited) const;
    /// Token interval divided by the typical interval; nullopt while that is unknown.
    std::optional<double> perTokenRatio(Duration tokenInterval) const;
    /// Median time to the first token for prompts of this length; nullopt while it is unknown.
    std::optional<Duration> medianFirstTokenLatency(Tokens computedPrompt) const;
    /// Time without a first token after which a hedged request to a second engine pays off; nullopt
    /// while it is unknown.
    std::optional<Duration> hedgeDelay(Tokens promptTokens) const;

    /// Median slowness of the engines that this router has results from; 1 before the first result.
    double medianSlowness() const;

    /// Writes the slowness and the ejections of each engine.
    void dump(nlohmann::json &out, TimePoint now) const;

private:
    struct Engine
    {
        double slowness = 1; ///< Smoothed latency divided by the typical latency.
        std::uint32_t samples = 0;
        std::uint32_t consecutiveFailures = 0; ///< Failures since the last success or ejection.
        std::uint32_t ejections = 0;
        TimePoint ejectedUntil;
        TimePoint lastEjected;
    };

    struct Bucket
    {
        explicit Bucket(double highQuantile) : median(0.5), high(highQuantile) { }
        RecentQuantile median;
        RecentQuantile high;
    };

    static std::size_t bucketIndex(Tokens promptTokens);
    const Bucket &bucketFor(Tokens promptTokens) const;
    void recordSlowness(Engine &engine, double ratio, TimePoint now);
    void eject(Engine &engine, TimePoint now);
    bool mayEject(TimePoint now) const;
    double loadShare(const BackendView &view, TimePoint now) const;

    static constexpr std::size_t kBuckets = 18; ///< Prompt lengths by powers of two.

    PartContext m_context;
    std::vector<Bucket> m_buckets; ///< kBuckets, and a last one over all prompts.
    RecentQuantile m_tokenInterval;
    std::map<BackendId, Engine> m_engines;
};

} // namespace comfrey
