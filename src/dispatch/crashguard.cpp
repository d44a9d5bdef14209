// Attributes the termination of servers to the requests that they ran.
#include "dispatch/crashguard.h"

#include <algorithm>

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

void CrashGuard::onAttemptUnanswered(Fingerprint request, const std::string &incarnation,
                                     TimePoint now)
{
    if (const auto termination = m_terminations.find(incarnation);
        termination != m_terminations.end()) {
        confirmCrash(request, incarnation, termination->second.evidence, Duration(0), now);
        return;
    }
    if (m_unresolvedAttemptCount >= kMaxUnresolvedAttempts)
        return;
    m_unresolvedAttempts[incarnation].push_back({request, now});
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
    for (const UnresolvedAttempt &attempt : found->second)
        confirmCrash(attempt.request, incarnation, evidence, now - attempt.endedAt, now);
    m_unresolvedAttemptCount -= found->second.size();
    m_unresolvedAttempts.erase(found);
}

void CrashGuard::confirmCrash(Fingerprint request, const std::string &incarnation,
                              TerminationEvidence evidence, Duration detectionDelay, TimePoint now)
{
    if (recordCrash(request, incarnation, now))
        m_findings.push_back({request, incarnation, evidence, detectionDelay});
}

bool CrashGuard::recordCrash(Fingerprint request, const std::string &incarnation, TimePoint now)
{
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
        m_findings.push_back({request, {}});
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
