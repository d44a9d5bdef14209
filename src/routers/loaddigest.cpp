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

void LoadDigest::setZone(const ZoneId &zone, ServerRequests requests, TimePoint now)
{
    m_zones[zone] = {std::move(requests), now};
}

void LoadDigest::setOthers(ServerRequests requests, TimePoint now)
{
    m_others = {std::move(requests), now};
}

ServerRequests LoadDigest::zoneTotal(const ServerRequests &own, TimePoint now) const
{
    ServerRequests total = own;
    for (const auto &[router, told] : m_routers) {
        if (now - told.at <= kLife)
            addTo(total, told.requests);
    }
    return total;
}

ServerRequests LoadDigest::totalExcept(const std::string &except, const ServerRequests &own,
                                       TimePoint now) const
{
    ServerRequests total = own;
    for (const auto &[router, told] : m_routers) {
        if (router != except && now - told.at <= kLife)
            addTo(total, told.requests);
    }
    for (const auto &[zone, told] : m_zones) {
        if (now - told.at <= kLife)
            addTo(total, told.requests);
    }
    return total;
}

ServerRequests LoadDigest::others(TimePoint now) const
{
    if (m_others.at != TimePoint::min() && now - m_others.at <= kLife)
        return m_others.requests;
    return totalExcept({}, {}, now);
}

} // namespace comfrey
