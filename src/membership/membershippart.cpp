// Who is in the fleet: routers by heartbeat and platform list, back ends by list and observation.
#include "membership/membershippart.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace comfrey {

MembershipPart::MembershipPart(const PartContext &context)
    : m_context(context), m_self(context.settings.router.id), m_zone(context.settings.router.zone)
{ }

void MembershipPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    (void)event;
    (void)now;
    (void)out;
}

TimePoint MembershipPart::nextWakeUp() const
{
    return kNever;
}

void MembershipPart::dump(nlohmann::json &out, TimePoint now) const
{
    (void)now;
    out = nlohmann::json::object();
}

const BackendView *MembershipPart::backend(const BackendId &id) const
{
    const auto found = std::lower_bound(
        m_backends.begin(), m_backends.end(), id,
        [](const BackendView &view, const BackendId &wanted) { return view.id < wanted; });
    return found != m_backends.end() && found->id == id ? &*found : nullptr;
}

} // namespace comfrey
