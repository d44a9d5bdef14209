// Checks a configuration of the platform's operator before it is sent, and compares it with the
// version in force.
#pragma once

#include <string>
#include <vector>

#include "configcheck/finding.h"
#include "dispatch/fleetconfig.h"

namespace comfrey {

/// Errors, entries that no request can use, and limits that contradict each other.
Findings checkFleetConfig(const FleetConfig &config);

/// How an entry differs between two configurations.
struct ConfigDifference
{
    enum class Change : std::uint8_t { Added, Removed, Changed };

    Change change = Change::Changed;
    std::string entry;               ///< E.g. `route "chat"`.
    std::vector<std::string> fields; ///< "name: old -> new" for each changed field.
};

/// Differences of routes, services and organisations by name, and of the limits on callers.
std::vector<ConfigDifference> differences(const FleetConfig &inForce, const FleetConfig &wanted);

/// Reports if routers with the version in force would ignore the wanted one.
Findings checkSuccessor(const FleetConfig &inForce, const FleetConfig &wanted);

} // namespace comfrey
