// Questions by server, suspects by fingerprint.
#include "dispatch/crashguard.h"

#include <algorithm>

namespace comfrey {

std::string_view nameOf(EndEvidence evidence)
{
    switch (evidence) {
    case EndEvidence::ConnectionRefused:
        return "its port refuses connections";
    case EndEvidence::OtherServer:
        return "another server has its address";
    case EndEvidence::Restarted:
        return "it has started again";
    case EndEvidence::Unlisted:
        return "it is listed no more";
    }
    return "unknown";
}

void CrashGuard::onUnanswered(Fingerprint request, const std::string &server, TimePoint now)
{
    if (const auto end = m_ends.find(server); end != m_ends.end()) {
        blame(request, server, end->second.evidence, Duration(0), now);
        return;
    }
    if (m_questionCount >= kMostQuestions)
        return;
    m_questions[server].push_back({request, now});
    ++m_questionCount;
}

void CrashGuard::onAnswered(const std::string &server, TimePoint sentAt)
{
    if (!m_ends.empty())
        m_ends.erase(server); // Its record had only lapsed.
    if (m_questions.empty())
        return;
    const auto found = m_questions.find(server);
    if (found == m_questions.end())
        return;
    m_questionCount -= std::erase_if(
        found->second, [sentAt](const Question &question) { return question.at <= sentAt; });
    if (found->second.empty())
        m_questions.erase(found);
}

void CrashGuard::onServerEnded(const std::string &server, EndEvidence evidence, TimePoint now)
{
    // A port that refuses may be open again a moment later.
    if (evidence != EndEvidence::ConnectionRefused && m_ends.size() < kMostEnds)
        m_ends.try_emplace(server, End{evidence, now});
    const auto found = m_questions.find(server);
    if (found == m_questions.end())
        return;
    for (const Question &question : found->second)
        blame(question.request, server, evidence, now - question.at, now);
    m_questionCount -= found->second.size();
    m_questions.erase(found);
}

void CrashGuard::blame(Fingerprint request, const std::string &server, EndEvidence evidence,
                       Duration after, TimePoint now)
{
    if (onCrash(request, server, now))
        m_notices.push_back({request, server, evidence, after});
}

bool CrashGuard::onCrash(Fingerprint request, const std::string &server, TimePoint now)
{
    if (m_suspects.size() >= kMostSuspects && m_suspects.count(request) == 0)
        return false;
    Suspect &suspect = m_suspects[request];
    if (!suspect.servers.insert(server).second)
        return false;
    suspect.last = now;
    return true;
}

void CrashGuard::onSuccess(Fingerprint request)
{
    if (m_suspects.erase(request) > 0)
        m_notices.push_back({request, {}});
}

Duration CrashGuard::termOf(const Suspect &suspect)
{
    if (suspect.servers.size() < kCrashesToRefuse)
        return Duration(0);
    const std::size_t doublings =
        std::min(suspect.servers.size() - kCrashesToRefuse, kMostDoublings);
    return kFirstTerm * (1U << doublings);
}

Duration CrashGuard::refusedFor(Fingerprint request, TimePoint now) const
{
    if (m_suspects.empty())
        return Duration(0);
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end())
        return Duration(0);
    return std::max(Duration(0), found->second.last + termOf(found->second) - now);
}

std::size_t CrashGuard::crashCount(Fingerprint request) const
{
    const auto found = m_suspects.find(request);
    return found == m_suspects.end() ? 0 : found->second.servers.size();
}

void CrashGuard::tick(TimePoint now)
{
    for (auto entry = m_questions.begin(); entry != m_questions.end();) {
        m_questionCount -= std::erase_if(entry->second, [now](const Question &question) {
            return now - question.at > kQuestionLife;
        });
        entry = entry->second.empty() ? m_questions.erase(entry) : std::next(entry);
    }
    std::erase_if(m_ends, [now](const auto &entry) { return now - entry.second.at >= kEndLife; });
    std::erase_if(m_suspects,
                  [now](const auto &entry) { return now - entry.second.last >= kMemory; });
}

} // namespace comfrey
