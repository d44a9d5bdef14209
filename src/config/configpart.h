// The two lists: folds the records of the stream "config" and passes them on between routers.
#pragma once

#include "facade/part.h"

namespace comfrey {

class ConfigPart : public Part, public ListsView
{
public:
    explicit ConfigPart(const PartContext &context);

    const char *name() const override { return "config"; }
    void onEvent(const Event &event, TimePoint now, Outbox &out) override;
    TimePoint nextWakeUp() const override;
    void dump(nlohmann::json &out, TimePoint now) const override;

    const Lists &lists() const override { return m_lists; }
    const PlanEntry *customerOf(const ApiKeyHash &key) const override;
    bool isLoaded() const override { return m_loaded; }

private:
    PartContext m_context;
    Lists m_lists;
    bool m_loaded = false;
};

} // namespace comfrey
