// Look-up in one version of the configuration: a request's route by host and longest path prefix,
// an organisation by its API key.
#pragma once

#include <string_view>
#include <unordered_map>

#include "dispatch/fleetconfig.h"

namespace comfrey {

class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(FleetConfig config);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    std::uint64_t version() const { return m_config.version; }
    const FleetConfig &config() const { return m_config; }
    /// Null if no route matches. `path` is the target without its query.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Null if no organisation holds the key.
    const Organisation *findOrganisation(std::string_view apiKey) const;
    bool requiresApiKeys() const { return !m_config.organisations.empty(); }
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

/// The target of a route for a request: by weight, the same one for equal `key`.
const ServiceName &chooseTarget(const Route &route, std::uint64_t key);

/// "Host.Example:80" as a route names it: lower case, no port.
std::string normalizedHost(std::string_view host);

} // namespace comfrey
