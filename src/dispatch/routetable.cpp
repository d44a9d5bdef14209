// Indexes routes by host and path prefix, and organisations by API key.
#include "dispatch/routetable.h"

#include <algorithm>
#include <cctype>

#include "placement/ranking.h"

namespace comfrey {

RouteTable::RouteTable(FleetConfig config) : m_config(std::move(config))
{
    for (const Route &route : m_config.routes)
        m_routesByHost[route.host].push_back(&route);
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
    for (const Organisation &organisation : m_config.organisations) {
        for (const std::string &key : organisation.apiKeys)
            m_organisationsByKey.emplace(key, &organisation);
    }
}

const Route *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(host);
    if (found == m_routesByHost.end())
        return nullptr;
    for (const Route *route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const Organisation *RouteTable::findOrganisation(std::string_view apiKey) const
{
    const auto found = m_organisationsByKey.find(apiKey);
    return found == m_organisationsByKey.end() ? nullptr : found->second;
}

const ServiceTraits *RouteTable::findService(const ServiceName &name) const
{
    for (const ServiceTraits &service : m_config.services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

const ServiceName &chooseTarget(const Route &route, std::uint64_t key)
{
    std::uint64_t total = 0;
    for (const RouteTarget &target : route.targets)
        total += target.weight;
    if (route.targets.size() == 1 || total == 0)
        return route.targets.front().service;
    std::uint64_t remainder = rendezvousWeight(key, route.name) % total;
    for (const RouteTarget &target : route.targets) {
        if (remainder < target.weight)
            return target.service;
        remainder -= target.weight;
    }
    return route.targets.back().service;
}

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.rfind(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace comfrey
