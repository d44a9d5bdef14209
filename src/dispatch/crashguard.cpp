// Attributes the termination of servers to the requests that they ran.
#include "dispatch/crashguard.h"

#include <algorithm>
#include <utility>

namespace comfrey {

namespace {

/// An abandoned attempt that lasted so long is as strong evidence as one that broke.
constexpr Duration kBriefAttempt = milliseconds(1000);

bool isBrief(const UnansweredAttempt &attempt, TimePoint endedAt)
{
    return attempt.isAbandoned() && endedAt - attempt.sentAt < kBriefAttempt;
}

} // namespace

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
    UnresolvedAttempt unresolved{std::move(attempt), now};
    if (const auto termination = m_terminations.find(incarnation);
        termination != m_terminations.end()) {
        if (mayHaveCrashed(unresolved, termination->second.evidence,
                           termination->second.detectedAt))
            confirmCrash(std::move(unresolved.attempt), incarnation, termination->second.evidence,
                         Duration(0), now);
        return;
    }
    const bool isAbandoned = unresolved.attempt.isAbandoned();
    if (m_unresolvedAttemptCount >= kMaxUnresolvedAttempts
        || (isAbandoned && m_abandonedAttemptCount >= kMaxAbandonedAttempts))
        return;
    if (isAbandoned) {
        unresolved.scheduleCheck(now, kFirstCheckDelay);
        ++m_abandonedAttemptCount;
    }
    m_unresolvedAttempts[incarnation].push_back(std::move(unresolved));
    ++m_unresolvedAttemptCount;
}

void CrashGuard::UnresolvedAttempt::scheduleCheck(TimePoint from, Duration delay)
{
    checkDelay = delay;
    // The check at the end comes after it, so that it finds a server that ended just then.
    const TimePoint last = resolvedAt() + kFirstCheckDelay;
    nextCheckAt = from < last ? std::min(from + delay, last) : kNever;
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
    eraseAttempts(found->second, [sentAt](const UnresolvedAttempt &unresolved) {
        return unresolved.resolvedAt() <= sentAt;
    });
    for (UnresolvedAttempt &unresolved : found->second) {
        if (unresolved.nextCheckAt != kNever && sentAt >= unresolved.endedAt)
            unresolved.scheduleCheck(sentAt, unresolved.checkDelay);
    }
    if (found->second.empty())
        m_unresolvedAttempts.erase(found);
}

void CrashGuard::eraseAttempts(std::vector<UnresolvedAttempt> &attempts,
                               const std::function<bool(const UnresolvedAttempt &)> &isDue)
{
    m_unresolvedAttemptCount -= std::erase_if(attempts, [&](const UnresolvedAttempt &unresolved) {
        if (!isDue(unresolved))
            return false;
        m_abandonedAttemptCount -= unresolved.attempt.isAbandoned() ? 1 : 0;
        return true;
    });
}

std::vector<std::string> CrashGuard::takeDueChecks(TimePoint now)
{
    std::vector<std::string> due;
    if (m_abandonedAttemptCount == 0)
        return due;
    for (auto &[incarnation, attempts] : m_unresolvedAttempts) {
        if (due.size() >= kMaxChecksPerTick)
            break;
        bool isDue = false;
        for (UnresolvedAttempt &unresolved : attempts) {
            if (unresolved.nextCheckAt > now)
                continue;
            unresolved.scheduleCheck(now, unresolved.checkDelay * 2);
            isDue = true;
        }
        if (isDue)
            due.push_back(incarnation);
    }
    return due;
}

bool CrashGuard::mayHaveCrashed(const UnresolvedAttempt &unresolved, TerminationEvidence evidence,
                                TimePoint now)
{
    return !isBrief(unresolved.attempt, unresolved.endedAt)
        || evidence != TerminationEvidence::RecordRemoved
        || now - unresolved.attempt.sentAt >= kMinRemovalDelay;
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
    const bool isPortClosed = evidence == TerminationEvidence::ConnectionRefused
        || evidence == TerminationEvidence::AddressReused;
    for (UnresolvedAttempt &unresolved : found->second) {
        if (!mayHaveCrashed(unresolved, evidence, now))
            continue;
        if (isBrief(unresolved.attempt, unresolved.endedAt)
            && (!isPortClosed || now - unresolved.endedAt > kAbandonedPartsWindow))
            unresolved.attempt.suspectParts.clear();
        confirmCrash(std::move(unresolved.attempt), incarnation, evidence, now - unresolved.endedAt,
                     now);
    }
    eraseAttempts(found->second, [](const UnresolvedAttempt &) { return true; });
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
    suspect.lastCrashAt = std::max(suspect.lastCrashAt, now);
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
        eraseAttempts(entry->second, [now](const UnresolvedAttempt &unresolved) {
            return now - unresolved.resolvedAt() > kUnresolvedAttemptTimeout;
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
