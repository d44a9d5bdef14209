// Attributes the termination of servers to the requests that they ran.
#include "dispatch/crashguard.h"

#include <algorithm>
#include <utility>

namespace comfrey {

std::string_view nameOf(TerminationEvidence evidence)
{
    switch (evidence) {
    case TerminationEvidence::ConnectionRefused:
        return "its port refuses connections";
    case TerminationEvidence::AddressReused:
        return "another server has its address";
    case TerminationEvidence::Restarted:
        return "it has started again";
    case TerminationEvidence::RecordRemoved:
        return "it is listed no more";
    }
    return "unknown";
}

void CrashGuard::onAttemptUnanswered(UnansweredAttempt attempt, const std::string &incarnation,
                                     TimePoint now)
{
    if (const auto termination = m_terminations.find(incarnation);
        termination != m_terminations.end()) {
        confirmCrash(std::move(attempt), incarnation, termination->second.evidence, Duration(0),
                     now);
        return;
    }
    if (m_unresolvedAttemptCount >= kMaxUnresolvedAttempts)
        return;
    m_unresolvedAttempts[incarnation].push_back({std::move(attempt), now});
    ++m_unresolvedAttemptCount;
}

void CrashGuard::onServerAnswered(const std::string &incarnation, TimePoint sentAt)
{
    if (!m_terminations.empty())
        m_terminations.erase(incarnation); // The server runs; its record had only expired.
    if (m_unresolvedAttempts.empty())
        return;
    const auto found = m_unresolvedAttempts.find(incarnation);
    if (found == m_unresolvedAttempts.end())
        return;
    m_unresolvedAttemptCount -=
        std::erase_if(found->second, [sentAt](const UnresolvedAttempt &attempt) {
            return attempt.endedAt <= sentAt;
        });
    if (found->second.empty())
        m_unresolvedAttempts.erase(found);
}

void CrashGuard::onServerTerminated(const std::string &incarnation, TerminationEvidence evidence,
                                    TimePoint now)
{
    // A refused connection is no lasting evidence: the port may be open again a moment later.
    if (evidence != TerminationEvidence::ConnectionRefused
        && m_terminations.size() < kMaxTerminations)
        m_terminations.try_emplace(incarnation, Termination{evidence, now});
    const auto found = m_unresolvedAttempts.find(incarnation);
    if (found == m_unresolvedAttempts.end())
        return;
    for (UnresolvedAttempt &unresolved : found->second)
        confirmCrash(std::move(unresolved.attempt), incarnation, evidence, now - unresolved.endedAt,
                     now);
    m_unresolvedAttemptCount -= found->second.size();
    m_unresolvedAttempts.erase(found);
}

void CrashGuard::confirmCrash(UnansweredAttempt attempt, const std::string &incarnation,
                              TerminationEvidence evidence, Duration detectionDelay, TimePoint now)
{
    if (recordCrash(attempt.request, incarnation, now) || !attempt.suspectParts.empty())
        m_findings.push_back({attempt.request, incarnation, evidence, detectionDelay,
                              std::move(attempt.suspectParts), attempt.sentAt});
}

void CrashGuard::setExplainedCrashes(const std::set<std::string> &incarnations)
{
    m_explainedCrashes = incarnations;
    for (auto &[request, suspect] : m_suspects) {
        std::erase_if(suspect.incarnations, [&](const std::string &incarnation) {
            return incarnations.count(incarnation) > 0;
        });
    }
    std::erase_if(m_suspects, [](const auto &entry) { return entry.second.incarnations.empty(); });
}

bool CrashGuard::recordCrash(Fingerprint request, const std::string &incarnation, TimePoint now)
{
    if (m_explainedCrashes.count(incarnation) > 0)
        return false;
    if (m_suspects.size() >= kMaxSuspects && m_suspects.count(request) == 0)
        return false;
    SuspectRequest &suspect = m_suspects[request];
    if (!suspect.incarnations.insert(incarnation).second)
        return false;
    suspect.lastCrashAt = now;
    return true;
}

void CrashGuard::onSuccess(Fingerprint request)
{
    if (m_suspects.erase(request) > 0)
        m_findings.push_back({request, {}, {}, Duration(0), {}, {}});
}

Duration CrashGuard::refusalPeriod(const SuspectRequest &suspect)
{
    if (suspect.incarnations.size() < kCrashesBeforeRefusal)
        return Duration(0);
    const std::size_t doublings =
        std::min(suspect.incarnations.size() - kCrashesBeforeRefusal, kMaxDoublings);
    return kInitialRefusal * (1U << doublings);
}

Duration CrashGuard::remainingRefusal(Fingerprint request, TimePoint now) const
{
    if (m_suspects.empty())
        return Duration(0);
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end())
        return Duration(0);
    return std::max(Duration(0), found->second.lastCrashAt + refusalPeriod(found->second) - now);
}

std::size_t CrashGuard::crashCount(Fingerprint request) const
{
    const auto found = m_suspects.find(request);
    return found == m_suspects.end() ? 0 : found->second.incarnations.size();
}

void CrashGuard::tick(TimePoint now)
{
    for (auto entry = m_unresolvedAttempts.begin(); entry != m_unresolvedAttempts.end();) {
        m_unresolvedAttemptCount -=
            std::erase_if(entry->second, [now](const UnresolvedAttempt &attempt) {
                return now - attempt.endedAt > kUnresolvedAttemptTimeout;
            });
        entry = entry->second.empty() ? m_unresolvedAttempts.erase(entry) : std::next(entry);
    }
    std::erase_if(m_terminations, [now](const auto &entry) {
        return now - entry.second.detectedAt >= kTerminationRetention;
    });
    std::erase_if(m_suspects, [now](const auto &entry) {
        return now - entry.second.lastCrashAt >= kCrashRetention;
    });
}

} // namespace comfrey
