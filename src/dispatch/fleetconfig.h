// The configuration that the platform's operator publishes: routes, services, organisations, and
// limits on callers. One FleetConfig holds one complete version.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// Whether requests on a route may be retried after they may have run.
enum class RouteKind : std::uint8_t {
    Retryable,  ///< May run more than once.
    AtMostOnce, ///< May run only once for each request that a caller sends.
    Stream,     ///< A stream of events; like AtMostOnce unless it can be resumed.
};

/// A service that receives a share of a route's traffic, in proportion to its weight.
struct RouteTarget
{
    ServiceName service;
    std::uint32_t weight = 1;
};

/// Requests to one host and path prefix, and how they are served.
struct Route
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix;
    RouteKind kind = RouteKind::AtMostOnce;
    Duration timeout;     ///< Longest time until a request is answered.
    Duration objective;   ///< Time within which an answer, or a stream's first event, is on time.
    Duration maxEventGap; ///< Longest pause between events of a stream that is on time.
    std::uint32_t priority = 0;       ///< 0 is the most urgent.
    std::vector<RouteTarget> targets; ///< Never empty.
    std::uint32_t maxAttempts =
        1;                  ///< Maximum number of backend servers that one request may run on.
    bool isPublic = false;  ///< Requests need no API key.
    bool canResume = false; ///< A stream can continue at another server after its last event.
    std::vector<RegionId> allowedRegions; ///< Regions that may handle requests; empty: all.

    /// True if a request may be retried after it may have run.
    bool mayRetry() const
    {
        return kind == RouteKind::Retryable || (kind == RouteKind::Stream && canResume);
    }
};

/// Traits of one model engine of a service.
struct EngineTraits
{
    std::uint32_t slots = 0;       ///< Maximum concurrent requests; 0: not told.
    std::uint64_t cacheTokens = 0; ///< Memory for running requests and cached prompts, in tokens.
};

/// Limits and engine traits of a service.
struct ServiceTraits
{
    ServiceName name;
    std::uint32_t maxConnections = 0; ///< Maximum from all routers to one backend server.
    /// Maximum rate of requests from all routers to one cold server; 0: unlimited.
    double coldRequestsPerSecond = 0;
    std::optional<EngineTraits> engine; ///< Only for services with model engines.
};

/// An organisation and the API keys of its callers.
struct Organisation
{
    std::string name;
    std::vector<std::string> apiKeys;
    std::optional<std::uint32_t> priority;     ///< Overrides the priority of the route.
    std::vector<RegionId> allowedRegions = {}; ///< Regions that may handle requests; empty: all.
};

/// Limits on the size and the duration of a caller's request.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 4 << 20;
    Duration headerTimeout = milliseconds(3000);
    Duration idleTimeout = milliseconds(15000);
};

/// One version of the configuration.
struct FleetConfig
{
    std::uint64_t version = 0; ///< Increases with each change; 0: no configuration.
    std::vector<Route> routes;
    std::vector<ServiceTraits> services;
    std::vector<Organisation> organisations; ///< Empty: no route needs a key.
    CallerLimits limits;
};

} // namespace comfrey
