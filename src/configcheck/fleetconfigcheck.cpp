// Faults of a configuration that routers can read.
#include "configcheck/fleetconfigcheck.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace comfrey {

namespace {

std::string named(std::string_view kind, const std::string &name)
{
    return std::string(kind) + " \"" + name + '"';
}

std::string inMilliseconds(Duration duration)
{
    return std::to_string(duration.count() / 1000) + " ms";
}

/// Collects the findings of one entry.
class EntryFindings
{
public:
    EntryFindings(std::string entry, Findings &findings)
        : m_entry(std::move(entry)), m_findings(findings)
    { }

    void error(std::string text) { add(FindingKind::Error, std::move(text)); }
    void neverMatches(std::string text) { add(FindingKind::NeverMatches, std::move(text)); }
    void contradiction(std::string text) { add(FindingKind::Contradiction, std::move(text)); }

private:
    void add(FindingKind kind, std::string text)
    {
        m_findings.push_back({kind, m_entry, std::move(text)});
    }

    std::string m_entry;
    Findings &m_findings;
};

/// Checks what concerns the route's place in the table: its host, its prefix and its targets.
void checkMatching(const Route &route, const std::set<ServiceName> &services, EntryFindings &out)
{
    if (route.host.empty())
        out.neverMatches("has no host");
    if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
        out.error("its path prefix \"" + route.pathPrefix
                  + "\" does not begin and end with a slash");
    std::uint64_t totalWeight = 0;
    for (const RouteTarget &target : route.targets) {
        totalWeight += target.weight;
        if (!services.empty() && !services.contains(target.service))
            out.error("sends to " + named("service", target.service.value())
                      + ", which is not configured");
    }
    for (const RouteTarget &target : route.targets) {
        if (target.weight == 0 && totalWeight > 0)
            out.neverMatches(named("service", target.service.value())
                             + " has weight 0 and gets no requests");
    }
    if (totalWeight == 0 && route.targets.size() > 1)
        out.contradiction("all weights are 0, so the first service gets every request");
}

void checkTimes(const Route &route, EntryFindings &out)
{
    if (route.timeout <= Duration(0))
        out.error("its timeout is 0, so no request is answered");
    if (route.objective > route.timeout)
        out.contradiction("its target latency of " + inMilliseconds(route.objective)
                          + " is beyond its timeout of " + inMilliseconds(route.timeout));
    if (route.kind != RouteKind::Stream && route.maxEventGap > Duration(0))
        out.neverMatches("limits the pause between events, but is no stream");
    if (route.kind == RouteKind::Stream && route.maxEventGap > route.timeout)
        out.contradiction("allows a pause of " + inMilliseconds(route.maxEventGap)
                          + " between events, beyond its timeout of "
                          + inMilliseconds(route.timeout));
}

void checkRetries(const Route &route, EntryFindings &out)
{
    if (route.maxAttempts == 0)
        out.error("its maximum of 0 attempts allows no request to run");
    if (route.maxAttempts > 1 && !route.mayRetry())
        out.contradiction("allows " + std::to_string(route.maxAttempts)
                          + " attempts, but its requests may run only once");
    if (route.canResume && route.kind != RouteKind::Stream)
        out.neverMatches("can resume streams, but is no stream");
}

void checkRoutes(const FleetConfig &config, Findings &findings)
{
    std::set<ServiceName> services;
    for (const ServiceTraits &service : config.services)
        services.insert(service.name);
    std::set<std::string> names;
    std::map<std::pair<std::string, std::string>, std::string> owners; // By host and prefix.
    for (const Route &route : config.routes) {
        EntryFindings out(named("route", route.name), findings);
        if (!names.insert(route.name).second)
            out.error("another route has the same name");
        const auto [owner, isFirst] =
            owners.emplace(std::pair(route.host, route.pathPrefix), route.name);
        if (!isFirst)
            out.neverMatches(named("route", owner->second) + " has the same host and path prefix");
        checkMatching(route, services, out);
        checkTimes(route, out);
        checkRetries(route, out);
    }
}

void checkServices(const FleetConfig &config, Findings &findings)
{
    std::set<ServiceName> used;
    for (const Route &route : config.routes) {
        for (const RouteTarget &target : route.targets)
            used.insert(target.service);
    }
    std::set<ServiceName> names;
    for (const ServiceTraits &service : config.services) {
        EntryFindings out(named("service", service.name.value()), findings);
        if (!names.insert(service.name).second)
            out.error("another service has the same name");
        if (!used.contains(service.name))
            out.neverMatches("no route sends requests to it");
        if (service.coldRequestsPerSecond < 0)
            out.error("its rate for cold servers is negative");
        if (!service.engine)
            continue;
        if (service.maxConnections > 0 && service.maxConnections < service.engine->slots)
            out.contradiction("at most " + std::to_string(service.maxConnections)
                              + " connections cannot fill " + std::to_string(service.engine->slots)
                              + " slots");
    }
}

/// True if both lists limit the regions and have none in common.
bool areDisjoint(const std::vector<RegionId> &left, const std::vector<RegionId> &right)
{
    return !left.empty() && !right.empty()
        && std::none_of(left.begin(), left.end(), [&](const RegionId &region) {
               return std::find(right.begin(), right.end(), region) != right.end();
           });
}

void checkOrganisations(const FleetConfig &config, Findings &findings)
{
    std::set<std::string> names;
    std::map<std::string, std::string> keyOwners;
    for (const Organisation &organisation : config.organisations) {
        EntryFindings out(named("organisation", organisation.name), findings);
        if (!names.insert(organisation.name).second)
            out.error("another organisation has the same name");
        if (organisation.apiKeys.empty())
            out.neverMatches("has no API key");
        for (const std::string &key : organisation.apiKeys) {
            const auto [owner, isNew] = keyOwners.emplace(key, organisation.name);
            if (!isNew)
                out.error(owner->second == organisation.name
                              ? std::string("has the same API key twice")
                              : "shares an API key with " + named("organisation", owner->second));
        }
        for (const Route &route : config.routes) {
            if (!route.isPublic && areDisjoint(route.allowedRegions, organisation.allowedRegions))
                out.contradiction("none of its allowed regions is allowed on "
                                  + named("route", route.name));
        }
    }
}

void checkLimits(const CallerLimits &limits, Findings &findings)
{
    EntryFindings out("limits", findings);
    if (limits.maxHeaderBytes == 0)
        out.error("a header of 0 bytes allows no request");
    if (limits.headerTimeout <= Duration(0))
        out.error("a header timeout of 0 allows no request");
    if (limits.idleTimeout <= Duration(0))
        out.error("an idle timeout of 0 closes every connection");
    else if (limits.headerTimeout > limits.idleTimeout)
        out.contradiction("the header timeout of " + inMilliseconds(limits.headerTimeout)
                          + " is beyond the idle timeout of " + inMilliseconds(limits.idleTimeout));
}

} // namespace

Findings checkFleetConfig(const FleetConfig &config)
{
    Findings findings;
    if (config.version == 0)
        findings.push_back({FindingKind::Error, "version", "must be above 0"});
    checkRoutes(config, findings);
    checkServices(config, findings);
    checkOrganisations(config, findings);
    checkLimits(config.limits, findings);
    return findings;
}

Findings checkSuccessor(const FleetConfig &inForce, const FleetConfig &wanted)
{
    if (wanted.version > inForce.version)
        return {};
    return {{FindingKind::Error, "version",
             std::to_string(wanted.version) + " is not above " + std::to_string(inForce.version)
                 + ", the version in force, so no router applies it"}};
}

} // namespace comfrey
