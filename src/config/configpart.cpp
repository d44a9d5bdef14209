// The two lists: folds the records of the stream "config" and passes them on between routers.
#include "config/configpart.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace comfrey {

ConfigPart::ConfigPart(const PartContext &context) : m_context(context) { }

void ConfigPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    (void)event;
    (void)now;
    (void)out;
}

TimePoint ConfigPart::nextWakeUp() const
{
    return kNever;
}

void ConfigPart::dump(nlohmann::json &out, TimePoint now) const
{
    (void)now;
    out = nlohmann::json::object();
}

const PlanEntry *ConfigPart::customerOf(const ApiKeyHash &key) const
{
    for (const auto &[customer, entry] : m_lists.plans) {
        if (std::find(entry.keys.begin(), entry.keys.end(), key) != entry.keys.end())
            return &entry;
    }
    return nullptr;
}

} // namespace comfrey
