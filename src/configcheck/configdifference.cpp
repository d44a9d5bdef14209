// Compares two configurations entry by entry.
#include <map>
#include <string_view>
#include <utility>

#include "configcheck/fleetconfigcheck.h"

namespace comfrey {

namespace {

using Fields = std::map<std::string, std::string>;

std::string textOf(bool value)
{
    return value ? "true" : "false";
}

std::string textOf(Duration value)
{
    return std::to_string(value.count()) + " us";
}

std::string_view textOf(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Retryable:
        return "retryable";
    case RouteKind::AtMostOnce:
        return "at most once";
    case RouteKind::Stream:
        return "stream";
    }
    return "";
}

std::string textOf(const std::vector<RegionId> &regions)
{
    std::string text;
    for (const RegionId &region : regions)
        text += (text.empty() ? "" : ",") + region.value();
    return text.empty() ? "all" : text;
}

Fields fieldsOf(const Route &route)
{
    std::string targets;
    for (const RouteTarget &target : route.targets)
        targets += (targets.empty() ? "" : ",") + target.service.value() + ':'
            + std::to_string(target.weight);
    return {{"host", route.host},
            {"path prefix", route.pathPrefix},
            {"kind", std::string(textOf(route.kind))},
            {"timeout", textOf(route.timeout)},
            {"target latency", textOf(route.objective)},
            {"event gap", textOf(route.maxEventGap)},
            {"priority", std::to_string(route.priority)},
            {"services", targets},
            {"attempts", std::to_string(route.maxAttempts)},
            {"public", textOf(route.isPublic)},
            {"resumable", textOf(route.canResume)},
            {"regions", textOf(route.allowedRegions)}};
}

Fields fieldsOf(const ServiceTraits &service)
{
    return {{"connections", std::to_string(service.maxConnections)},
            {"cold requests per second", std::to_string(service.coldRequestsPerSecond)},
            {"engine slots", service.engine ? std::to_string(service.engine->slots) : "none"},
            {"engine memory tokens",
             service.engine ? std::to_string(service.engine->cacheTokens) : "none"}};
}

Fields fieldsOf(const Organisation &organisation)
{
    // Keys are secret, so only their number and their hash are shown.
    std::size_t hash = organisation.apiKeys.size();
    for (const std::string &key : organisation.apiKeys)
        hash = hash * 31 + std::hash<std::string>{}(key);
    return {
        {"keys",
         std::to_string(organisation.apiKeys.size()) + " (digest " + std::to_string(hash) + ')'},
        {"priority",
         organisation.priority ? std::to_string(*organisation.priority) : "of the route"},
        {"regions", textOf(organisation.allowedRegions)}};
}

Fields fieldsOf(const CallerLimits &limits)
{
    return {{"header bytes", std::to_string(limits.maxHeaderBytes)},
            {"body bytes", std::to_string(limits.maxBodyBytes)},
            {"header timeout", textOf(limits.headerTimeout)},
            {"idle timeout", textOf(limits.idleTimeout)}};
}

std::vector<std::string> changedFields(const Fields &before, const Fields &after)
{
    std::vector<std::string> changed;
    for (const auto &[name, value] : before) {
        const std::string &newValue = after.at(name);
        if (newValue != value) {
            std::string text = name;
            text.append(": ").append(value).append(" -> ").append(newValue);
            changed.push_back(std::move(text));
        }
    }
    return changed;
}

/// Compares entries of one kind by their names.
class EntryComparison
{
public:
    EntryComparison(std::string_view kind, std::vector<ConfigDifference> &out)
        : m_kind(kind), m_out(out)
    { }

    void addInForce(const std::string &name, Fields fields) { m_before[name] = std::move(fields); }
    void addWanted(const std::string &name, Fields fields) { m_after[name] = std::move(fields); }

    void compare()
    {
        for (const auto &[name, fields] : m_before) {
            const auto wanted = m_after.find(name);
            if (wanted == m_after.end()) {
                add(ConfigDifference::Change::Removed, name, {});
                continue;
            }
            if (auto changed = changedFields(fields, wanted->second); !changed.empty())
                add(ConfigDifference::Change::Changed, name, std::move(changed));
        }
        for (const auto &[name, fields] : m_after) {
            if (!m_before.contains(name))
                add(ConfigDifference::Change::Added, name, {});
        }
    }

private:
    void add(ConfigDifference::Change change, const std::string &name,
             std::vector<std::string> fields)
    {
        m_out.push_back({change, std::string(m_kind) + " \"" + name + '"', std::move(fields)});
    }

    std::string_view m_kind;
    std::vector<ConfigDifference> &m_out;
    std::map<std::string, Fields> m_before;
    std::map<std::string, Fields> m_after;
};

} // namespace

std::vector<ConfigDifference> differences(const FleetConfig &inForce, const FleetConfig &wanted)
{
    std::vector<ConfigDifference> result;
    EntryComparison routes("route", result);
    for (const Route &route : inForce.routes)
        routes.addInForce(route.name, fieldsOf(route));
    for (const Route &route : wanted.routes)
        routes.addWanted(route.name, fieldsOf(route));
    routes.compare();
    EntryComparison services("service", result);
    for (const ServiceTraits &service : inForce.services)
        services.addInForce(service.name.value(), fieldsOf(service));
    for (const ServiceTraits &service : wanted.services)
        services.addWanted(service.name.value(), fieldsOf(service));
    services.compare();
    EntryComparison organisations("organisation", result);
    for (const Organisation &organisation : inForce.organisations)
        organisations.addInForce(organisation.name, fieldsOf(organisation));
    for (const Organisation &organisation : wanted.organisations)
        organisations.addWanted(organisation.name, fieldsOf(organisation));
    organisations.compare();
    if (auto changed = changedFields(fieldsOf(inForce.limits), fieldsOf(wanted.limits));
        !changed.empty())
        result.push_back({ConfigDifference::Change::Changed, "limits", std::move(changed)});
    return result;
}

} // namespace comfrey
