// Where a request to a small service gets its place at one of the servers from.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"
#include "dispatch/servicequeue.h"

namespace comfrey {

struct LeaseRequirements
{
    ServiceName service;
    std::string organisation;
    std::uint32_t priority = 0;
    Duration onTimeWithin;               ///< An answer within it is on time.
    Duration answerWithin;               ///< An answer after it reaches nobody.
    std::vector<std::uint32_t> excluded; ///< Servers that are not wanted, by incarnation's hash.
};

/// A place in use.
struct Lease
{
    std::string queueOwner; ///< Address of the router that keeps the queue; empty: no place.
    ServiceName service;
    std::uint64_t id = 0;
};

struct LeaseReply
{
    enum class Verdict : std::uint8_t {
        Granted,
        Refused, ///< No server can answer in time.
        NoQueue, ///< Nobody to ask: the router places alone.
    };

    Verdict verdict = Verdict::NoQueue;
    Lease lease;
    std::uint32_t server = 0; ///< Hash of the incarnation.
    Duration retryAfter{0};   ///< Of a refusal.
};

class LeaseSource
{
public:
    using Handler = std::function<void(const LeaseReply &)>;

    virtual ~LeaseSource() = default;
    /// True if routers share a queue for the service.
    virtual bool isShared(const ServiceName &service, TimePoint now) const = 0;
    /// The handler runs once, now or later.
    virtual void requestLease(const LeaseRequirements &requirements, TimePoint now,
                              Handler handler) = 0;
    virtual void releaseLease(const Lease &lease, LeaseOutcome outcome, TimePoint now) = 0;
};

} // namespace comfrey
