// Suspects by fingerprint.
#include "dispatch/crashguard.h"

namespace comfrey {

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
    std::erase_if(m_suspects,
                  [now](const auto &entry) { return now - entry.second.last >= kTerm; });
}

} // namespace comfrey
