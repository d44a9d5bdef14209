// Quarantine of requests that crash engines. A request is identified by the fingerprint of customer
// and body, so a retry by its caller counts as the same request. Every router receives a notice of
// each crash; after crashes on a configured number of engines all routers refuse the request for a
// configured period.
//
// A request that ran beside the one at fault fails with the engine too and becomes suspect. It is
// cleared when a later run succeeds; until then an engine runs one suspect at a time, so two
// suspects never fail together.
#pragma once

#include <set>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "facade/part.h"

namespace comfrey {

/// Table of suspect and refused requests.
class Quarantine
{
public:
    explicit Quarantine(const PartContext &context);

    /// The engine crashed while it ran the request. Records it and sends a notice to every other
    /// router.
    void onCrash(Fingerprint request, const BackendId &engine, TimePoint now, Outbox &out);
    /// The request succeeded on some engine: it is no longer suspect, unless it reached
    /// the crash limit.
    void onRequestSucceeded(Fingerprint request);
    /// Another router reported the engines that a request crashed.
    void onNotice(const wire::CrashNoticeT &notice, TimePoint now);

    /// The request crashed as many engines as the crash limit, and its period has not ended.
    bool isRefused(Fingerprint request, TimePoint now) const;
    /// An engine crashed recently while it ran the request, and the request has not succeeded
    /// since.
    bool isSuspect(Fingerprint request, TimePoint now) const;
    /// Time until a refused request is accepted again.
    Duration remainingRefusal(Fingerprint request, TimePoint now) const;

    /// Drops expired suspects.
    void tick(TimePoint now);
    TimePoint nextWakeUp() const { return m_suspects.empty() ? kNever : m_nextSweepAt; }
    /// Writes the numbers of refused and suspect requests.
    void dump(nlohmann::json &out, TimePoint now) const;

private:
    struct Suspect
    {
        std::set<BackendId> crashedEngines; ///< Engines that crashed while they ran the request.
        TimePoint expiresAt;
    };

    void recordCrash(Fingerprint request, const BackendId &engine, TimePoint now);

    PartContext m_context;
    std::unordered_map<Fingerprint, Suspect> m_suspects;
    TimePoint m_nextSweepAt;
};

} // namespace comfrey
