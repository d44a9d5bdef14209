// Sums of the requests in flight that routers report, by backend server or by prompt. Routers of
// this zone report their own counts, other zones report one sum each. Reports that are not renewed
// expire.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// Number of requests in flight by the hash of the backend server's incarnation or, for prompts, by
/// promptHash().
using ServerRequests = std::unordered_map<std::uint32_t, std::uint32_t>;

/// How another zone's sum reached this router.
enum class ZoneSource : std::uint8_t {
    Follower, ///< The zone's leader follows this router, so no other router reports that zone.
    Peer,     ///< The zone's leader reads the store itself and may report to other zones too.
};

/// Latest reports of request counts and the sums to send on. Each request counts once in a sum.
class LoadDigest
{
public:
    /// Sets the local requests of another router of this zone.
    void setRouter(const std::string &router, ServerRequests requests, TimePoint now);
    /// Sets the sum that another zone's leader reported.
    void setZone(const ZoneId &zone, ZoneSource source, ServerRequests requests, TimePoint now);
    /// Sets the requests of all other routers, as this zone's leader reported them.
    void setRemoteTotal(ServerRequests requests, TimePoint now);
    /// Sets the requests of all other zones, as the upstream router of another zone reported them.
    void setOtherZonesTotal(ServerRequests requests, TimePoint now);

    /// True while that zone's leader follows this router.
    bool isFollowerZone(const ZoneId &zone, TimePoint now) const;
    /// `local` and the requests that routers of this zone reported.
    ServerRequests zoneTotal(const ServerRequests &local, TimePoint now) const;
    /// zoneTotal() and the sums of the zones that follow this router: what only this router can
    /// report.
    ServerRequests subtreeTotal(const ServerRequests &local, TimePoint now) const;
    /// `local` and the requests of all other routers except `router`, to be sent to it.
    ServerRequests totalExceptRouter(const std::string &router, const ServerRequests &local,
                                     TimePoint now) const;
    /// `local` and the requests of all other routers outside of `zone`, to be sent to its leader.
    ServerRequests totalOutsideZone(const ZoneId &zone, const ServerRequests &local,
                                    TimePoint now) const;
    /// Requests of all routers but this one.
    ServerRequests remoteTotal(TimePoint now) const;

private:
    static constexpr Duration kReportLifetime =
        milliseconds(1500); // a few exchanges; then the sender has probably died

    /// The last counts that a router or a zone sent.
    struct Report
    {
        ServerRequests requests;
        TimePoint at;
        ZoneSource source = ZoneSource::Peer; ///< Used for zones only.
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
    /// Reported by the upstream router in this zone.
    Report m_remoteTotal{{}, TimePoint::min()};
    /// Reported by the upstream router in another zone; replaces the sums of peer zones.
    Report m_otherZonesTotal{{}, TimePoint::min()};
};

} // namespace comfrey
