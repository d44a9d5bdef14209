// How many requests all routers have at each backend server, or about each prompt: the routers of
// this one's zone tell theirs singly, other zones as sums. What was not told again for a while
// counts no more.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// Requests by the hash of the backend server's incarnation; of prompts, by promptHash().
using ServerRequests = std::unordered_map<std::uint32_t, std::uint32_t>;

/// How the sum of another zone came here.
enum class ZoneSource : std::uint8_t {
    Follower, ///< Its first router asks this one for news: nobody else tells of that zone.
    Peer,     ///< Its first router reads the store too, and may have told others as well.
};

class LoadDigest
{
public:
    void setRouter(const std::string &router, ServerRequests requests, TimePoint now);
    void setZone(const ZoneId &zone, ZoneSource source, ServerRequests requests, TimePoint now);
    /// All others', as the router of this zone that is asked for news told them.
    void setRemoteTotal(ServerRequests requests, TimePoint now);
    /// All outside of this zone, as the router of another zone that is asked for news told them.
    void setOtherZonesTotal(ServerRequests requests, TimePoint now);

    /// True while that zone's first router asks this one.
    bool isFollowerZone(const ZoneId &zone, TimePoint now) const;
    /// Of this zone's routers that told theirs, and `own`.
    ServerRequests zoneTotal(const ServerRequests &local, TimePoint now) const;
    /// The same and that of the zones that ask this router: what only it can tell.
    ServerRequests subtreeTotal(const ServerRequests &local, TimePoint now) const;
    /// Of all routers but one of this zone; that one's are left out.
    ServerRequests totalExceptRouter(const std::string &router, const ServerRequests &local,
                                     TimePoint now) const;
    /// Of all routers outside of a zone.
    ServerRequests totalOutsideZone(const ZoneId &zone, const ServerRequests &local,
                                    TimePoint now) const;
    /// Of all routers but this one.
    ServerRequests remoteTotal(TimePoint now) const;

private:
    static constexpr Duration kReportLifetime =
        milliseconds(1500); // a few exchanges; a router that died counts no longer

    struct Report
    {
        ServerRequests requests;
        TimePoint at;
        ZoneSource source = ZoneSource::Peer; ///< Of zones only.
    };

    static bool isCurrent(const Report &report, TimePoint now)
    {
        return report.at != TimePoint::min() && now - report.at <= kReportLifetime;
    }
    void addRouterReports(ServerRequests &sum, const std::string &except, TimePoint now) const;
    void addFollowerZones(ServerRequests &sum, const ZoneId &except, TimePoint now) const;
    void addPeerZones(ServerRequests &sum, const ZoneId &except, TimePoint now) const;

    std::map<std::string, Report> m_routerReports;
    std::map<ZoneId, Report> m_zoneReports;
    Report m_remoteTotal{{}, TimePoint::min()};
    Report m_otherZonesTotal{{}, TimePoint::min()};
};

} // namespace comfrey
