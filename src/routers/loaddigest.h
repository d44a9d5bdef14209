// How many requests all routers have at each backend server: the routers of this one's zone tell
// theirs singly, other zones as sums. What was not told again for a while counts no more.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// Requests by the hash of the backend server's incarnation.
using ServerRequests = std::unordered_map<std::uint32_t, std::uint32_t>;

class LoadDigest
{
public:
    void setRouter(const std::string &router, ServerRequests requests, TimePoint now);
    void setZone(const ZoneId &zone, ServerRequests requests, TimePoint now);
    /// All others', as the router that is asked for news told them.
    void setOthers(ServerRequests requests, TimePoint now);

    /// Of this zone's routers that told theirs, and `own`.
    ServerRequests zoneTotal(const ServerRequests &own, TimePoint now) const;
    /// Of all routers but one of this zone; that one's are left out.
    ServerRequests totalExcept(const std::string &router, const ServerRequests &own,
                               TimePoint now) const;
    /// Of all routers but this one.
    ServerRequests others(TimePoint now) const;

private:
    static constexpr Duration kLife =
        milliseconds(1500); // a few exchanges; a router that died counts no longer

    struct Told
    {
        ServerRequests requests;
        TimePoint at;
    };

    std::map<std::string, Told> m_routers;
    std::map<ZoneId, Told> m_zones;
    Told m_others{{}, TimePoint::min()};
};

} // namespace comfrey
