// Orders to engines: which models, adapters, versions and roles each should have.
#include "orders/orderpart.h"

#include <nlohmann/json.hpp>

namespace comfrey {

OrderPart::OrderPart(const PartContext &context) : m_context(context) { }

void OrderPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    (void)event;
    (void)now;
    (void)out;
}

TimePoint OrderPart::nextWakeUp() const
{
    return kNever;
}

void OrderPart::dump(nlohmann::json &out, TimePoint now) const
{
    (void)now;
    out = nlohmann::json::object();
}

} // namespace comfrey
