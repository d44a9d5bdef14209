// Chats: from a caller's request to its whole answer, over admission, placement and retries.
#pragma once

#include "facade/part.h"

namespace comfrey {

class ChatPart : public Part
{
public:
    explicit ChatPart(const PartContext &context);

    const char *name() const override { return "chat"; }
    void onEvent(const Event &event, TimePoint now, Outbox &out) override;
    TimePoint nextWakeUp() const override;
    void dump(nlohmann::json &out, TimePoint now) const override;

private:
    PartContext m_context;
};

} // namespace comfrey
