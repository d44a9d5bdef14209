// The configuration that the platform's operator publishes: routes, services, organisations, and
// limits on callers. One value is one version, whole.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// What may be repeated on a route.
enum class RouteKind : std::uint8_t {
    Retryable,  ///< May run more than once.
    AtMostOnce, ///< May run once for each request that a caller sends.
    Stream,     ///< A stream of events; as AtMostOnce unless it may be resumed.
};

/// A part of a route's traffic.
struct RouteTarget
{
    ServiceName service;
    std::uint32_t weight = 1;
};

struct Route
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix;
    RouteKind kind = RouteKind::AtMostOnce;
    Duration timeout;           ///< A request is answered by then.
    Duration objective;         ///< An answer within it is on time; of a stream, its first event.
    Duration maxEventGap;       ///< Longest pause between events of a stream that is on time.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::vector<RouteTarget> targets; ///< Never empty.
    std::uint32_t maxAttempts = 1;    ///< Most backend servers that one request may run on.
    bool isPublic = false;            ///< Needs no API key.
    bool canResume = false;           ///< A stream goes on elsewhere after its last event.

    bool mayRetry() const
    {
        return kind == RouteKind::Retryable || (kind == RouteKind::Stream && canResume);
    }
};

/// A service's model engines, for services that have them.
struct EngineTraits
{
    std::uint32_t slots = 0;       ///< Requests at once.
    std::uint64_t cacheTokens = 0; ///< Memory for running requests and cached prompts.
};

struct ServiceTraits
{
    ServiceName name;
    std::uint32_t maxConnections = 0; ///< Of all routers together, to one backend server.
    /// Requests a second that one cold server takes from all routers together; 0: no bound.
    double coldRequestsPerSecond = 0;
    std::optional<EngineTraits> engine;
};

struct Organisation
{
    std::string name;
    std::vector<std::string> apiKeys;
    std::optional<std::uint32_t> priority; ///< Goes before the route's.
};

/// What a caller may send, and how long it may take.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 4 << 20;
    Duration headerTimeout = milliseconds(3000);
    Duration idleTimeout = milliseconds(15000);
};

struct FleetConfig
{
    std::uint64_t version = 0; ///< Grows with each change; 0 is no configuration.
    std::vector<Route> routes;
    std::vector<ServiceTraits> services;
    std::vector<Organisation> organisations; ///< Empty: no route needs a key.
    CallerLimits limits;
};

} // namespace comfrey
