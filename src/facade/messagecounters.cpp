// Counts messages and bytes between routers, by kind and direction.
#include "facade/messagecounters.h"

#include <nlohmann/json.hpp>

namespace comfrey {

void MessageCounters::countSent(const wire::EnvelopeT &envelope, std::size_t encodedBytes)
{
    ++m_envelopesSent;
    m_bytesSent += encodedBytes;
    if (envelope.messages.empty())
        return;
    const std::size_t each = encodedBytes / envelope.messages.size();
    for (const auto &message : envelope.messages) {
        Count &count = m_counts[message->body.type];
        ++count.sent;
        count.sentBytes += each;
    }
}

void MessageCounters::countReceived(const wire::MessageT &message)
{
    ++m_counts[message.body.type].received;
}

nlohmann::json MessageCounters::toJson() const
{
    nlohmann::json all;
    all["envelopesSent"] = m_envelopesSent;
    all["bytesSent"] = m_bytesSent;
    all["malformed"] = m_malformed;
    for (const auto &[kind, count] : m_counts) {
        all["kinds"][wire::EnumNameBody(kind)] = {
            {"sent", count.sent}, {"sentBytes", count.sentBytes}, {"received", count.received}};
    }
    return all;
}

} // namespace comfrey
