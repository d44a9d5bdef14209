// Chats: from a caller's request to its whole answer, over admission, placement and retries.
#include "chat/chatpart.h"

#include <nlohmann/json.hpp>

namespace comfrey {

ChatPart::ChatPart(const PartContext &context) : m_context(context) { }

void ChatPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    (void)event;
    (void)now;
    (void)out;
}

TimePoint ChatPart::nextWakeUp() const
{
    return kNever;
}

void ChatPart::dump(nlohmann::json &out, TimePoint now) const
{
    (void)now;
    out = nlohmann::json::object();
}

} // namespace comfrey
