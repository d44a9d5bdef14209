// Probes of engines for their load: each engine is probed by its home router only, so the probes of
// the whole fleet do not grow with the number of routers.
#pragma once

#include <map>

#include "facade/part.h"

namespace comfrey {

class Prober
{
public:
    explicit Prober(const PartContext &context);

    /// Emits the probes that are due. Engines start at different points of the interval.
    void tick(TimePoint now, Outbox &out);
    TimePoint nextWakeUp() const { return m_next; }
    /// Engines whose home is this router.
    bool isHomeOf(const BackendId &backend) const { return m_due.count(backend) != 0; }

private:
    void followFleet(TimePoint now);

    PartContext m_context;
    Duration m_interval;
    std::uint64_t m_version = 0; ///< Of the fleet that m_due was made for.
    bool m_started = false;
    std::map<BackendId, TimePoint> m_due; ///< Next probe of each engine whose home this router is.
    TimePoint m_next = TimePoint();
};

} // namespace comfrey
