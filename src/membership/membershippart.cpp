// Who is in the fleet: routers by heartbeat and platform list, back ends by list and observation.
#include "membership/membershippart.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace comfrey {

namespace {

constexpr std::array<const char *, 3> kBackendStateNames = {"joining", "live", "leaving"};
constexpr std::array<const char *, 3> kRouterStateNames = {"alive", "suspect", "leaving"};

const BackendView *findIn(const std::vector<BackendView> &backends, const BackendId &id)
{
    const auto found = std::lower_bound(
        backends.begin(), backends.end(), id,
        [](const BackendView &view, const BackendId &wanted) { return view.id < wanted; });
    return found != backends.end() && found->id == id ? &*found : nullptr;
}

RouterView ownView(const PartContext &context)
{
    const settings::RouterT &router = context.settings.router;
    return {RouterId(router.id),          ZoneId(router.zone),
            Endpoint(router.peerAddress), Endpoint(router.operatorAddress),
            context.incarnation,          RouterState::Alive};
}

} // namespace

MembershipPart::MembershipPart(const PartContext &context)
    : m_context(context), m_self(context.settings.router.id),
      m_zone(context.settings.router.zone), m_routers{ownView(context)}
{ }

void MembershipPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    if (const auto *list = std::get_if<InstanceListRead>(&event))
        onInstances(list->instances, now);
    readWhenDue(now, out);
}

void MembershipPart::onInstances(const std::vector<Instance> &instances, TimePoint now)
{
    const std::vector<BackendView> before = std::exchange(m_backends, {});
    m_routers = {ownView(m_context)};
    for (const Instance &instance : instances) {
        if (instance.kind == InstanceKind::Router) {
            if (instance.id != m_self.value())
                m_routers.push_back({RouterId(instance.id),
                                     instance.zone,
                                     instance.address,
                                     instance.operatorAddress,
                                     {},
                                     instance.state == InstanceState::Live ? RouterState::Alive
                                                                           : RouterState::Leaving});
            continue;
        }
        const BackendState state =
            instance.state == InstanceState::Live ? BackendState::Live : BackendState::Leaving;
        const BackendView *earlier = findIn(before, BackendId(instance.id));
        const bool same = earlier != nullptr && earlier->state == state;
        m_backends.push_back({BackendId(instance.id), instance.kind, instance.zone,
                              instance.address, instance.models, instance.service, instance.slots,
                              instance.checksFencing, state, same ? earlier->since : now});
    }
    const auto byId = [](const auto &left, const auto &right) { return left.id < right.id; };
    std::sort(m_routers.begin(), m_routers.end(), byId);
    std::sort(m_backends.begin(), m_backends.end(), byId);
    ++m_version;
}

void MembershipPart::readWhenDue(TimePoint now, Outbox &out)
{
    if (now < m_readAt)
        return;
    m_readAt = now + milliseconds(m_context.settings.platform.instanceListIntervalMs);
    out.push(ReadInstanceList{});
}

TimePoint MembershipPart::nextWakeUp() const
{
    return m_readAt;
}

void MembershipPart::dump(nlohmann::json &out, TimePoint now) const
{
    (void)now;
    out["version"] = m_version;
    for (const RouterView &view : m_routers)
        out["routers"][view.id.value()] =
            kRouterStateNames.at(static_cast<std::size_t>(view.state));
    for (const BackendView &view : m_backends)
        out["backends"][view.id.value()] =
            kBackendStateNames.at(static_cast<std::size_t>(view.state));
}

const BackendView *MembershipPart::backend(const BackendId &id) const
{
    return findIn(m_backends, id);
}

} // namespace comfrey
