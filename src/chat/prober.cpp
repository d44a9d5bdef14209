// Probes of engines for their load.
#include "chat/prober.h"

#include <algorithm>
#include <utility>

#include "placement/ranking.h"

namespace comfrey {

Prober::Prober(const PartContext &context)
    : m_context(context), m_interval(milliseconds(context.settings.placement.probeIntervalMs))
{ }

void Prober::followFleet(TimePoint now)
{
    if (m_started && m_version == m_context.fleet.version())
        return;
    m_started = true;
    m_version = m_context.fleet.version();
    std::map<BackendId, TimePoint> due;
    for (const BackendView &backend : m_context.fleet.backends()) {
        if (backend.kind != InstanceKind::Engine)
            continue;
        if (homeRouterOf(backend.id, m_context.fleet) != m_context.fleet.self())
            continue;
        const auto known = m_due.find(backend.id);
        const auto offset =
            Duration(m_context.random() % std::max<Duration::rep>(1, m_interval.count()));
        due[backend.id] = known == m_due.end() ? now + offset : known->second;
    }
    m_due = std::move(due);
}

void Prober::tick(TimePoint now, Outbox &out)
{
    followFleet(now);
    m_next = kNever;
    for (auto &[id, due] : m_due) {
        const BackendView *backend = m_context.fleet.backend(id);
        if (due <= now && backend != nullptr) {
            out.push(ProbeBackend{id, backend->address});
            due = now + m_interval;
        }
        m_next = std::min(m_next, due);
    }
}

} // namespace comfrey
