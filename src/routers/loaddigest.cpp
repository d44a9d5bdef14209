// Sums of the reports that have not expired.
#include "routers/loaddigest.h"

namespace comfrey {

namespace {

void addTo(ServerRequests &sum, const ServerRequests &part)
{
    for (const auto &[server, requests] : part)
        sum[server] += requests;
}

} // namespace

void LoadDigest::setRouter(const std::string &router, ServerRequests requests, TimePoint now)
{
    m_routerReports[router] = {std::move(requests), now};
}

void LoadDigest::setZone(const ZoneId &zone, ZoneSource source, ServerRequests requests,
                         TimePoint now)
{
    m_zoneReports[zone] = {std::move(requests), now, source};
}

void LoadDigest::setRemoteTotal(ServerRequests requests, TimePoint now)
{
    m_remoteTotal = {std::move(requests), now};
}

void LoadDigest::setOtherZonesTotal(ServerRequests requests, TimePoint now)
{
    m_otherZonesTotal = {std::move(requests), now};
}

void LoadDigest::addRouterReports(ServerRequests &sum, const std::string &except,
                                  TimePoint now) const
{
    for (const auto &[router, report] : m_routerReports) {
        if (router != except && isCurrent(report, now))
            addTo(sum, report.requests);
    }
}

void LoadDigest::addFollowerZones(ServerRequests &sum, const ZoneId &except, TimePoint now) const
{
    for (const auto &[zone, report] : m_zoneReports) {
        if (zone != except && report.source == ZoneSource::Follower && isCurrent(report, now))
            addTo(sum, report.requests);
    }
}

void LoadDigest::addPeerZones(ServerRequests &sum, const ZoneId &except, TimePoint now) const
{
    if (isCurrent(m_otherZonesTotal, now)) {
        addTo(sum, m_otherZonesTotal.requests);
        return;
    }
    for (const auto &[zone, report] : m_zoneReports) {
        if (zone != except && report.source == ZoneSource::Peer && isCurrent(report, now))
            addTo(sum, report.requests);
    }
}

bool LoadDigest::isFollowerZone(const ZoneId &zone, TimePoint now) const
{
    const auto found = m_zoneReports.find(zone);
    return found != m_zoneReports.end() && found->second.source == ZoneSource::Follower
        && isCurrent(found->second, now);
}

ServerRequests LoadDigest::zoneTotal(const ServerRequests &local, TimePoint now) const
{
    ServerRequests total = local;
    addRouterReports(total, {}, now);
    return total;
}

ServerRequests LoadDigest::subtreeTotal(const ServerRequests &local, TimePoint now) const
{
    ServerRequests total = zoneTotal(local, now);
    addFollowerZones(total, {}, now);
    return total;
}

ServerRequests LoadDigest::totalExceptRouter(const std::string &except, const ServerRequests &local,
                                             TimePoint now) const
{
    ServerRequests total = local;
    addRouterReports(total, except, now);
    addFollowerZones(total, {}, now);
    addPeerZones(total, {}, now);
    return total;
}

ServerRequests LoadDigest::totalOutsideZone(const ZoneId &zone, const ServerRequests &local,
                                            TimePoint now) const
{
    ServerRequests total = zoneTotal(local, now);
    addFollowerZones(total, zone, now);
    addPeerZones(total, zone, now);
    return total;
}

ServerRequests LoadDigest::remoteTotal(TimePoint now) const
{
    return isCurrent(m_remoteTotal, now) ? m_remoteTotal.requests : totalExceptRouter({}, {}, now);
}

} // namespace comfrey
