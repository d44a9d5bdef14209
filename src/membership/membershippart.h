// Who is in the fleet: routers by heartbeat and platform list, back ends by list and observation.
#pragma once

#include "facade/part.h"

namespace comfrey {

class MembershipPart : public Part, public FleetView
{
public:
    explicit MembershipPart(const PartContext &context);

    const char *name() const override { return "membership"; }
    void onEvent(const Event &event, TimePoint now, Outbox &out) override;
    TimePoint nextWakeUp() const override;
    void dump(nlohmann::json &out, TimePoint now) const override;

    const RouterId &self() const override { return m_self; }
    const ZoneId &zone() const override { return m_zone; }
    const std::vector<RouterView> &routers() const override { return m_routers; }
    const std::vector<BackendView> &backends() const override { return m_backends; }
    const BackendView *backend(const BackendId &id) const override;
    std::uint64_t version() const override { return m_version; }

private:
    void onInstances(const std::vector<Instance> &instances, TimePoint now);
    void readWhenDue(TimePoint now, Outbox &out);

    PartContext m_context;
    RouterId m_self;
    ZoneId m_zone;
    std::vector<RouterView> m_routers;   ///< Ordered by id; holds this router.
    std::vector<BackendView> m_backends; ///< Ordered by id.
    std::uint64_t m_version = 0;
    TimePoint m_readAt; ///< When the platform's list is read next.
};

} // namespace comfrey
