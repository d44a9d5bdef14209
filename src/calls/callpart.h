// Service calls: routed to replicas of plain services, at most once where they may not be repeated.
#pragma once

#include "facade/part.h"

namespace comfrey {

class CallPart : public Part
{
public:
    explicit CallPart(const PartContext &context);

    const char *name() const override { return "calls"; }
    void onEvent(const Event &event, TimePoint now, Outbox &out) override;
    TimePoint nextWakeUp() const override;
    void dump(nlohmann::json &out, TimePoint now) const override;

private:
    PartContext m_context;
};

} // namespace comfrey
