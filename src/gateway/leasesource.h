// Interface through which the gateway requests and releases leases for a small service's servers.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"
#include "dispatch/servicequeue.h"

namespace comfrey {

/// What a request to a small service needs from a lease. Durations count from the call.
struct LeaseRequirements
{
    ServiceName service;
    std::string organisation;
    std::uint32_t priority = 0;
    Duration onTimeWithin;               ///< An answer within this time is on time.
    Duration answerWithin;               ///< A later answer reaches nobody.
    std::vector<std::uint32_t> excluded; ///< Servers to avoid, by incarnation hash.
    std::uint64_t fingerprint = 0;       ///< The same for equal requests of one caller.
    Duration callerWithin{0}; ///< The caller leaves after this time, if it said so; else 0.
    Duration waited{0};       ///< Time since the request arrived.
    bool isRetry = false;     ///< The request was sent to a server before.
};

/// Right to have one request in flight at a server, granted by the owner of the queue. It expires
/// if it is not released.
struct Lease
{
    std::string queueOwner; ///< Address of the router that granted it; empty: no lease.
    ServiceName service;
    std::uint64_t id = 0; ///< Unique at the queue owner for the service.
};

/// Answer to a lease request.
struct LeaseReply
{
    enum class Verdict : std::uint8_t {
        Granted,
        Refused, ///< No server can answer before the caller leaves.
        NoQueue, ///< No router has a queue: this router chooses the server itself.
    };

    Verdict verdict = Verdict::NoQueue;
    Lease lease;              ///< Set if granted.
    std::uint32_t server = 0; ///< Hash of the granted server's incarnation.
    Duration retryAfter{0};   ///< Of a refusal: time until the caller may retry.
};

/// Grants leases from the queue that routers share for a small service.
class LeaseSource
{
public:
    using Handler = std::function<void(const LeaseReply &)>;

    virtual ~LeaseSource() = default;
    /// True if the routers share a queue for the service, so that requests need a lease.
    virtual bool isShared(const ServiceName &service, TimePoint now) const = 0;
    /// Requests a lease. The handler runs exactly once, during the call or later.
    virtual void requestLease(const LeaseRequirements &requirements, TimePoint now,
                              Handler handler) = 0;
    /// Returns a lease with the outcome of its request. Does nothing for an empty lease.
    virtual void releaseLease(const Lease &lease, LeaseOutcome outcome, TimePoint now) = 0;
};

} // namespace comfrey
