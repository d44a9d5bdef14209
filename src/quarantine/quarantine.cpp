// Refuses requests that crash engines, and shares crash notices with the other routers.
#include "quarantine/quarantine.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace comfrey {

namespace {

constexpr Duration kSuspicionPeriod = milliseconds(60000);
constexpr Duration kSweepInterval = milliseconds(1000);
/// Attempts that break at an engine in this time belong to one crash; a restart takes longer.
constexpr Duration kOneCrash = milliseconds(1000);
constexpr std::size_t kMaxSuspects = 65536; ///< Bounds memory; further suspects are not recorded.

} // namespace

Quarantine::Quarantine(const PartContext &context)
    : m_context(context), m_attribution(context.fleet.self().value())
{ }

void Quarantine::recordCrash(Fingerprint request, const BackendId &engine, TimePoint now)
{
    if (m_suspects.size() >= kMaxSuspects && m_suspects.count(request) == 0)
        return;
    Suspect &suspect = m_suspects[request];
    suspect.crashedEngines.insert(engine);
    const bool atLimit = suspect.crashedEngines.size() >= m_context.settings.quarantine.crashLimit;
    const Duration period =
        atLimit ? milliseconds(m_context.settings.quarantine.termMs) : kSuspicionPeriod;
    suspect.expiresAt = std::max(suspect.expiresAt, now + period);
}

void Quarantine::onCrash(const BrokenAttempt &attempt, TimePoint now, Outbox &out)
{
    const bool isFamiliar = m_attribution.isFamiliar(PromptPartId(attempt.sharedPrefix.value()));
    recordCrash(attempt.request, attempt.engine, now);
    attributeCrash(attempt, m_attribution.self(), isFamiliar, now);
    updateAttribution(now);
    wire::CrashNoticeT notice;
    notice.fingerprint = attempt.request.value();
    notice.backends.push_back(attempt.engine.value());
    notice.sharedPrefix = attempt.sharedPrefix.value();
    notice.isFamiliar = isFamiliar;
    notice.sentMsBefore = static_cast<std::uint32_t>((now - attempt.sentAt).count() / 1000);
    sendToOthers(notice, out);
}

void Quarantine::attributeCrash(const BrokenAttempt &attempt, const std::string &reporter,
                                bool isFamiliar, TimePoint now)
{
    CrashCandidate candidate{attempt.request, {}, attempt.sentAt};
    if (attempt.sharedPrefix.value() != 0)
        candidate.parts.push_back({PromptPartId(attempt.sharedPrefix.value()), isFamiliar});
    m_attribution.recordCrash(
        {crashedProcess(attempt.engine, now), reporter, now, {std::move(candidate)}});
}

std::string Quarantine::crashedProcess(const BackendId &engine, TimePoint now)
{
    EngineCrashes &crashes = m_engineCrashes[engine];
    if (crashes.count == 0 || now - crashes.lastAt > kOneCrash)
        ++crashes.count;
    crashes.lastAt = now;
    return engine.value() + '@' + std::to_string(crashes.count);
}

void Quarantine::updateAttribution(TimePoint now)
{
    for (const PartVerdict &verdict : m_attribution.update(now))
        m_verdicts.push_back(verdict);
}

void Quarantine::onSoundAnswer(PrefixHash sharedPrefix, TimePoint begunAt, TimePoint now,
                               Outbox &out)
{
    if (sharedPrefix.value() == 0)
        return;
    m_attribution.onSoundAnswer({PromptPartId(sharedPrefix.value())}, begunAt);
    for (const SoundAnswer &answer : m_attribution.takeSoundAnswers()) {
        wire::CrashNoticeT notice;
        notice.soundPrefix = answer.part.value();
        notice.begunMsBefore = static_cast<std::uint32_t>((now - answer.begunAt).count() / 1000);
        sendToOthers(notice, out);
    }
    updateAttribution(now);
}

Duration Quarantine::remainingPrefixRefusal(PrefixHash sharedPrefix, TimePoint now) const
{
    return m_attribution.remainingRefusal({PromptPartId(sharedPrefix.value())}, now);
}

bool Quarantine::tryProbe(PrefixHash sharedPrefix, TimePoint now)
{
    return m_attribution.tryProbe({PromptPartId(sharedPrefix.value())}, now);
}

void Quarantine::sendToOthers(const wire::CrashNoticeT &notice, Outbox &out) const
{
    for (const RouterView &router : m_context.fleet.routers()) {
        if (router.id != m_context.fleet.self())
            out.send(router.id, notice);
    }
}

void Quarantine::onRequestSucceeded(Fingerprint request)
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end())
        return;
    if (found->second.crashedEngines.size() < m_context.settings.quarantine.crashLimit)
        m_suspects.erase(found);
}

void Quarantine::onNotice(const wire::CrashNoticeT &notice, const RouterId &from, TimePoint now)
{
    const Fingerprint request(notice.fingerprint);
    for (const std::string &engine : notice.backends) {
        recordCrash(request, BackendId(engine), now);
        attributeCrash({request, PrefixHash(notice.sharedPrefix), BackendId(engine),
                        now - milliseconds(notice.sentMsBefore)},
                       from.value(), notice.isFamiliar, now);
    }
    if (notice.soundPrefix != 0)
        m_attribution.onRemoteSoundAnswer(
            {PromptPartId(notice.soundPrefix), now - milliseconds(notice.begunMsBefore)});
    updateAttribution(now);
}

bool Quarantine::isRefused(Fingerprint request, TimePoint now) const
{
    const auto found = m_suspects.find(request);
    return found != m_suspects.end() && now < found->second.expiresAt
        && found->second.crashedEngines.size() >= m_context.settings.quarantine.crashLimit;
}

bool Quarantine::isSuspect(Fingerprint request, TimePoint now) const
{
    const auto found = m_suspects.find(request);
    return found != m_suspects.end() && now < found->second.expiresAt;
}

Duration Quarantine::remainingRefusal(Fingerprint request, TimePoint now) const
{
    const auto found = m_suspects.find(request);
    return found == m_suspects.end() ? Duration::zero()
                                     : std::max(Duration::zero(), found->second.expiresAt - now);
}

void Quarantine::tick(TimePoint now)
{
    if (now < m_nextSweepAt)
        return;
    m_nextSweepAt = now + kSweepInterval;
    updateAttribution(now);
    std::erase_if(m_engineCrashes, [now](const auto &entry) {
        return now - entry.second.lastAt > CrashAttribution::kCrashRetention;
    });
    std::erase_if(m_suspects, [now](const auto &item) { return item.second.expiresAt <= now; });
}

void Quarantine::dump(nlohmann::json &out, TimePoint now) const
{
    const auto refused = std::count_if(m_suspects.begin(), m_suspects.end(), [&](const auto &item) {
        return isRefused(item.first, now);
    });
    out = {{"refused", refused}, {"suspects", m_suspects.size() - refused}};
}

} // namespace comfrey
