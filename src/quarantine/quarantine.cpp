// Requests that crash engines.
#include "quarantine/quarantine.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace comfrey {

namespace {

constexpr Duration kSuspicionTerm = milliseconds(60000);
constexpr Duration kSweepInterval = milliseconds(1000);
constexpr std::size_t kMaxEntries = 65536; ///< Beyond it no new suspects are kept.

} // namespace

Quarantine::Quarantine(const PartContext &context) : m_context(context) { }

void Quarantine::note(Fingerprint request, const BackendId &engine, TimePoint now)
{
    if (m_entries.size() >= kMaxEntries && m_entries.count(request) == 0)
        return;
    Entry &entry = m_entries[request];
    entry.engines.insert(engine);
    const bool atLimit = entry.engines.size() >= m_context.settings.quarantine.crashLimit;
    const Duration term =
        atLimit ? milliseconds(m_context.settings.quarantine.termMs) : kSuspicionTerm;
    entry.until = std::max(entry.until, now + term);
}

void Quarantine::crashed(Fingerprint request, const BackendId &engine, TimePoint now, Outbox &out)
{
    note(request, engine, now);
    wire::CrashNoticeT notice;
    notice.fingerprint = request.value();
    notice.backends.push_back(engine.value());
    for (const RouterView &router : m_context.fleet.routers()) {
        if (router.id != m_context.fleet.self())
            out.send(router.id, notice);
    }
}

void Quarantine::cleared(Fingerprint request)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end())
        return;
    if (found->second.engines.size() < m_context.settings.quarantine.crashLimit)
        m_entries.erase(found);
}

void Quarantine::onNotice(const wire::CrashNoticeT &notice, TimePoint now)
{
    for (const std::string &engine : notice.backends)
        note(Fingerprint(notice.fingerprint), BackendId(engine), now);
}

bool Quarantine::isRefused(Fingerprint request, TimePoint now) const
{
    const auto found = m_entries.find(request);
    return found != m_entries.end() && now < found->second.until
        && found->second.engines.size() >= m_context.settings.quarantine.crashLimit;
}

bool Quarantine::isSuspect(Fingerprint request, TimePoint now) const
{
    const auto found = m_entries.find(request);
    return found != m_entries.end() && now < found->second.until;
}

Duration Quarantine::remaining(Fingerprint request, TimePoint now) const
{
    const auto found = m_entries.find(request);
    return found == m_entries.end() ? Duration::zero()
                                    : std::max(Duration::zero(), found->second.until - now);
}

void Quarantine::tick(TimePoint now)
{
    if (now < m_sweepAt)
        return;
    m_sweepAt = now + kSweepInterval;
    std::erase_if(m_entries, [now](const auto &item) { return item.second.until <= now; });
}

void Quarantine::dump(nlohmann::json &out, TimePoint now) const
{
    const auto refused = std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        return isRefused(item.first, now);
    });
    out = {{"refused", refused}, {"suspects", m_entries.size() - refused}};
}

} // namespace comfrey
