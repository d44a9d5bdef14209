// Look-up in one version of the configuration: the route of a request by host and longest path
// prefix, an organisation by its API key, a service by its name.
#pragma once

#include <string_view>
#include <unordered_map>

#include "dispatch/fleetconfig.h"

namespace comfrey {

/// Immutable index of one configuration.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(FleetConfig config);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    std::uint64_t version() const { return m_config.version; }
    const FleetConfig &config() const { return m_config; }
    /// The route with the longest matching prefix; null if none matches. `host` is normalized;
    /// `path` is the request target without its query.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// The organisation that holds the API key, or null.
    const Organisation *findOrganisation(std::string_view apiKey) const;
    /// True if routes that are not public need an API key.
    bool requiresApiKeys() const { return !m_config.organisations.empty(); }
    /// The traits of a service, or null.
    const ServiceTraits *findService(const ServiceName &name) const;

private:
    struct StringViewHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    FleetConfig m_config;
    /// Routes of each host, longest prefix first. Pointers into m_config, which never changes.
    std::unordered_map<std::string, std::vector<const Route *>, StringViewHash, std::equal_to<>>
        m_routesByHost;
    std::unordered_map<std::string, const Organisation *, StringViewHash, std::equal_to<>>
        m_organisationsByKey;
};

/// Chooses a target of the route by weight; equal `key`s get the same target.
const ServiceName &chooseTarget(const Route &route, std::uint64_t key);

/// Host in the form that routes use: lower case, without a port ("Host.Example:80" becomes
/// "host.example").
std::string normalizedHost(std::string_view host);

} // namespace comfrey
