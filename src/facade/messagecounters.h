// Counts messages and bytes between routers, by kind and direction, for the state dump.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include <nlohmann/json_fwd.hpp>

#include "generated/messages.generated.h"

namespace comfrey {

class MessageCounters
{
public:
    /// `encodedBytes` is shared over the kinds in the envelope by their number.
    void countSent(const wire::EnvelopeT &envelope, std::size_t encodedBytes);
    void countReceived(const wire::MessageT &message);
    void countMalformed() { ++m_malformed; }
    nlohmann::json toJson() const;

private:
    struct Count
    {
        std::uint64_t sent = 0;
        std::uint64_t sentBytes = 0;
        std::uint64_t received = 0;
    };

    std::map<wire::Body, Count> m_counts;
    std::uint64_t m_envelopesSent = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_malformed = 0;
};

} // namespace comfrey
