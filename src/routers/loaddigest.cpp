// Sums of what was told lately.
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
    m_routers[router] = {std::move(requests), now};
}

void LoadDigest::setZone(const ZoneId &zone, ZoneSource source, ServerRequests requests,
                         TimePoint now)
{
    m_zones[zone] = {std::move(requests), now, source};
}

void LoadDigest::setOthers(ServerRequests requests, TimePoint now)
{
    m_others = {std::move(requests), now};
}

void LoadDigest::setOutside(ServerRequests requests, TimePoint now)
{
    m_outside = {std::move(requests), now};
}

void LoadDigest::addRouters(ServerRequests &sum, const std::string &except, TimePoint now) const
{
    for (const auto &[router, told] : m_routers) {
        if (router != except && isAlive(told, now))
            addTo(sum, told.requests);
    }
}

void LoadDigest::addFollowers(ServerRequests &sum, const ZoneId &except, TimePoint now) const
{
    for (const auto &[zone, told] : m_zones) {
        if (zone != except && told.source == ZoneSource::Follower && isAlive(told, now))
            addTo(sum, told.requests);
    }
}

void LoadDigest::addPeers(ServerRequests &sum, const ZoneId &except, TimePoint now) const
{
    if (isAlive(m_outside, now)) {
        addTo(sum, m_outside.requests);
        return;
    }
    for (const auto &[zone, told] : m_zones) {
        if (zone != except && told.source == ZoneSource::Peer && isAlive(told, now))
            addTo(sum, told.requests);
    }
}

bool LoadDigest::isFollowed(const ZoneId &zone, TimePoint now) const
{
    const auto found = m_zones.find(zone);
    return found != m_zones.end() && found->second.source == ZoneSource::Follower
        && isAlive(found->second, now);
}

ServerRequests LoadDigest::zoneTotal(const ServerRequests &own, TimePoint now) const
{
    ServerRequests total = own;
    addRouters(total, {}, now);
    return total;
}

ServerRequests LoadDigest::treeTotal(const ServerRequests &own, TimePoint now) const
{
    ServerRequests total = zoneTotal(own, now);
    addFollowers(total, {}, now);
    return total;
}

ServerRequests LoadDigest::totalExcept(const std::string &except, const ServerRequests &own,
                                       TimePoint now) const
{
    ServerRequests total = own;
    addRouters(total, except, now);
    addFollowers(total, {}, now);
    addPeers(total, {}, now);
    return total;
}

ServerRequests LoadDigest::totalOutside(const ZoneId &zone, const ServerRequests &own,
                                        TimePoint now) const
{
    ServerRequests total = zoneTotal(own, now);
    addFollowers(total, zone, now);
    addPeers(total, zone, now);
    return total;
}

ServerRequests LoadDigest::others(TimePoint now) const
{
    return isAlive(m_others, now) ? m_others.requests : totalExcept({}, {}, now);
}

} // namespace comfrey
