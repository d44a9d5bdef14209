// Suspects by fingerprint.
#include "dispatch/crashguard.h"

namespace comfrey {

void CrashGuard::onBrokenSend(Fingerprint request, const std::string &server, TimePoint now)
{
    m_broken.push_back({{request, server}, now});
    onConnectionLost(server, now);
}

void CrashGuard::onConnectionLost(const std::string &server, TimePoint now)
{
    const auto [last, isFirst] = m_lastLost.try_emplace(server, now);
    const bool isTogether = !isFirst && now - last->second <= kTogether;
    last->second = now;
    if (isTogether)
        onServerCrashed(server, now);
}

void CrashGuard::onUnreachable(const std::string &server, TimePoint now)
{
    onServerCrashed(server, now);
}

void CrashGuard::onServerCrashed(const std::string &server, TimePoint now)
{
    for (const BrokenSend &broken : m_broken) {
        if (broken.notice.server == server && now - broken.at <= kEvidence
            && onCrash(broken.notice.request, server, now))
            m_notices.push_back(broken.notice);
    }
    std::erase_if(m_broken,
                  [&](const BrokenSend &broken) { return broken.notice.server == server; });
}

bool CrashGuard::onCrash(Fingerprint request, const std::string &server, TimePoint now)
{
    Suspect &suspect = m_suspects[request];
    suspect.last = now;
    return suspect.servers.insert(server).second;
}

void CrashGuard::onSuccess(Fingerprint request)
{
    m_suspects.erase(request);
}

bool CrashGuard::isRefused(Fingerprint request, TimePoint now) const
{
    const auto found = m_suspects.find(request);
    return found != m_suspects.end() && found->second.servers.size() >= kCrashesToRefuse
        && now - found->second.last < kTerm;
}

void CrashGuard::tick(TimePoint now)
{
    std::erase_if(m_broken,
                  [now](const BrokenSend &broken) { return now - broken.at > kEvidence; });
    std::erase_if(m_lastLost, [now](const auto &entry) { return now - entry.second > kEvidence; });
    std::erase_if(m_suspects,
                  [now](const auto &entry) { return now - entry.second.last >= kTerm; });
}

} // namespace comfrey
