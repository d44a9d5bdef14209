// Quarantine of requests that crash engines. A request is identified by the fingerprint of customer
// and body, so a retry by its caller counts as the same request. Every router receives a notice of
// each crash; after crashes on a configured number of engines all routers refuse the request for a
// configured period.
//
// Different requests that share a prefix of their prompts may crash engines too: the crashes are
// attributed to the prefix (see crashattribution.h), and requests with it are refused.
//
// A request that ran beside the one at fault fails with the engine too and becomes suspect. It is
// cleared when a later run succeeds; until then an engine runs one suspect at a time, so two
// suspects never fail together.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "facade/part.h"
#include "quarantine/crashattribution.h"

namespace comfrey {

/// An attempt that an engine's crash ended.
struct BrokenAttempt
{
    Fingerprint request;
    PrefixHash
        sharedPrefix; ///< 0 if the prompt has none or the answer had gone on after its start.
    BackendId engine;
    TimePoint sentAt;
};

/// Table of suspect and refused requests.
class Quarantine
{
public:
    explicit Quarantine(const PartContext &context);

    /// The engine crashed while it ran the attempt. Records it and sends a notice to every other
    /// router.
    void onCrash(const BrokenAttempt &attempt, TimePoint now, Outbox &out);
    /// An answer that began at `begunAt` went on after its start. Sends a notice if crashes are
    /// known that may be due to the prefix.
    void onSoundAnswer(PrefixHash sharedPrefix, TimePoint begunAt, TimePoint now, Outbox &out);
    /// Time for which requests with the prefix are refused; zero if they are accepted.
    Duration remainingPrefixRefusal(PrefixHash sharedPrefix, TimePoint now) const;
    /// True if a request with the refused prefix is to be sent as a probe.
    bool tryProbe(PrefixHash sharedPrefix, TimePoint now);
    /// The request succeeded on some engine: it is no longer suspect, unless it reached
    /// the crash limit.
    void onRequestSucceeded(Fingerprint request);
    /// Another router reported the engines that a request crashed.
    void onNotice(const wire::CrashNoticeT &notice, const RouterId &from, TimePoint now);
    /// Returns and clears what changed of refused prefixes since the last call, for the log.
    std::vector<PartVerdict> takeVerdicts() { return std::exchange(m_verdicts, {}); }

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
    /// Adds the crash to those that are attributed to prefixes.
    void attributeCrash(const BrokenAttempt &attempt, const std::string &reporter, bool isFamiliar,
                        TimePoint now);
    /// Name of the engine's process that crashed at `now`: broken attempts of one crash share it.
    std::string crashedProcess(const BackendId &engine, TimePoint now);
    void updateAttribution(TimePoint now);
    void sendToOthers(const wire::CrashNoticeT &notice, Outbox &out) const;

    struct EngineCrashes
    {
        std::uint64_t count = 0;
        TimePoint lastAt; ///< Last broken attempt of the last crash.
    };

    PartContext m_context;
    CrashAttribution m_attribution;
    std::vector<PartVerdict> m_verdicts;
    std::map<BackendId, EngineCrashes> m_engineCrashes;
    std::unordered_map<Fingerprint, Suspect> m_suspects;
    TimePoint m_nextSweepAt;
};

} // namespace comfrey
