// Requests that crash engines. A request is known by the fingerprint of customer and body, so its
// caller's resend counts as the same one. Every router hears of each crash; after crashes on a set
// number of engines the request is refused everywhere for a term.
//
// A request that was in flight beside the one at fault breaks with the engine too. It is cleared
// when a later run of it goes well; until then an engine runs one such suspect at a time, so two
// suspects never break together.
#pragma once

#include <set>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "facade/part.h"

namespace comfrey {

class Quarantine
{
public:
    explicit Quarantine(const PartContext &context);

    /// The engine broke while it ran the request. Tells every other router.
    void onCrash(Fingerprint request, const BackendId &engine, TimePoint now, Outbox &out);
    /// The request ran well on some engine.
    void onRequestSucceeded(Fingerprint request);
    void onNotice(const wire::CrashNoticeT &notice, TimePoint now);

    bool isRefused(Fingerprint request, TimePoint now) const;
    /// It broke with an engine lately, and has not run well since.
    bool isSuspect(Fingerprint request, TimePoint now) const;
    /// Until a refused request is taken again.
    Duration remainingRefusal(Fingerprint request, TimePoint now) const;

    void tick(TimePoint now);
    TimePoint nextWakeUp() const { return m_suspects.empty() ? kNever : m_nextSweepAt; }
    void dump(nlohmann::json &out, TimePoint now) const;

private:
    struct Suspect
    {
        std::set<BackendId> crashedEngines; ///< That broke while they ran the request.
        TimePoint expiresAt;
    };

    void recordCrash(Fingerprint request, const BackendId &engine, TimePoint now);

    PartContext m_context;
    std::unordered_map<Fingerprint, Suspect> m_suspects;
    TimePoint m_nextSweepAt;
};

} // namespace comfrey
