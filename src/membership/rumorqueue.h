// News of routers that ride on gossip, each for a number of messages that grows with the logarithm
// of the fleet. A message carries only a few, so its size does not grow with the fleet.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "comfrey/ids.h"
#include "generated/messages.generated.h"

namespace comfrey {

class RumorQueue
{
public:
    /// Replaces what was queued about the same router. `fleetSize` counts routers.
    void push(const wire::HeartbeatT &news, std::size_t fleetSize);

    /// Appends the least spread news to a message, at most kNewsPerMessage.
    void appendTo(std::vector<std::unique_ptr<wire::HeartbeatT>> &heartbeats);

    bool isEmpty() const { return m_rumors.empty(); }

private:
    struct Rumor
    {
        wire::HeartbeatT news;
        std::uint32_t sendsLeft = 0; ///< At least 1.
    };

    std::map<RouterId, Rumor> m_rumors;
};

} // namespace comfrey
