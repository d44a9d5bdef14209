// How engines do, from this router's own answers: latency against the usual one over all engines,
// failures, ejection with a cap on how many, and a slow return.
#pragma once

#include <array>
#include <map>
#include <optional>

#include <nlohmann/json_fwd.hpp>

#include "facade/part.h"
#include "health/recentquantile.h"

namespace comfrey {

class EngineHealth
{
public:
    explicit EngineHealth(const PartContext &context);

    /// `computedPrompt`: prompt tokens that were not in the engine's cache.
    void onFirstToken(const BackendId &engine, Tokens computedPrompt, Duration waited,
                      TimePoint now);
    void onTokenInterval(const BackendId &engine, Duration tokenInterval, TimePoint now);
    /// A first token that has not come for `waited` already.
    void onOverdue(const BackendId &engine, Tokens promptTokens, Duration waited, TimePoint now);
    void onFailure(const BackendId &engine, TimePoint now);
    void onSuccess(const BackendId &engine);

    /// True while the engine is to be taken after all others: ejected, returning or joining. Draws
    /// from the router's randomness while the engine returns.
    bool isDeferred(const BackendView &engine, TimePoint now);

    /// Latency over the usual one; nothing while the usual one is unknown.
    std::optional<double> firstTokenRatio(Tokens computedPrompt, Duration waited) const;
    std::optional<double> perTokenRatio(Duration tokenInterval) const;
    /// The usual wait for a first token.
    std::optional<Duration> medianFirstTokenLatency(Tokens computedPrompt) const;
    /// After this long without a first token, a second engine is worth trying.
    std::optional<Duration> hedgeDelay(Tokens promptTokens) const;

    /// Over the engines that this router has sent to; 1 before the first.
    double medianSlowness() const;

    void dump(nlohmann::json &out, TimePoint now) const;

private:
    struct Engine
    {
        double slowness = 1; ///< Smoothed latency over the usual one.
        std::uint32_t samples = 0;
        std::uint32_t consecutiveFailures = 0; ///< In a row.
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

    static constexpr std::size_t kBuckets = 18; ///< By powers of two of prompt tokens.

    PartContext m_context;
    std::vector<Bucket> m_buckets; ///< kBuckets, and one of all prompts at the end.
    RecentQuantile m_tokenInterval;
    std::map<BackendId, Engine> m_engines;
};

} // namespace comfrey
