// Refuses requests that crash engines, and shares crash notices with the other routers.
#include "quarantine/quarantine.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace comfrey {

namespace {

constexpr Duration kSuspicionPeriod = milliseconds(60000);
constexpr Duration kSweepInterval = milliseconds(1000);
constexpr std::size_t kMaxSuspects = 65536; ///< Bounds memory; further suspects are not recorded.

} // namespace

Quarantine::Quarantine(const PartContext &context) : m_context(context) { }

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

void Quarantine::onCrash(Fingerprint request, const BackendId &engine, TimePoint now, Outbox &out)
{
    recordCrash(request, engine, now);
    wire::CrashNoticeT notice;
    notice.fingerprint = request.value();
    notice.backends.push_back(engine.value());
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

void Quarantine::onNotice(const wire::CrashNoticeT &notice, TimePoint now)
{
    for (const std::string &engine : notice.backends)
        recordCrash(Fingerprint(notice.fingerprint), BackendId(engine), now);
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
