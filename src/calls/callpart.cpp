// Service calls: routed to replicas of plain services, at most once where they may not be repeated.
#include "calls/callpart.h"

#include <nlohmann/json.hpp>

namespace comfrey {

CallPart::CallPart(const PartContext &context) : m_context(context) { }

void CallPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    (void)event;
    (void)now;
    (void)out;
}

TimePoint CallPart::nextWakeUp() const
{
    return kNever;
}

void CallPart::dump(nlohmann::json &out, TimePoint now) const
{
    (void)now;
    out = nlohmann::json::object();
}

} // namespace comfrey
