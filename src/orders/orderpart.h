// Orders to engines: which models, adapters, versions and roles each should have.
#pragma once

#include "facade/part.h"

namespace comfrey {

class OrderPart : public Part
{
public:
    explicit OrderPart(const PartContext &context);

    const char *name() const override { return "orders"; }
    void onEvent(const Event &event, TimePoint now, Outbox &out) override;
    TimePoint nextWakeUp() const override;
    void dump(nlohmann::json &out, TimePoint now) const override;

private:
    PartContext m_context;
};

} // namespace comfrey
