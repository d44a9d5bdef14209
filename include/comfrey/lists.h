// The two lists that operators publish: customers' plans, and what each plan may use.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// The latency that a customer's plan promises for 95% of its requests.
struct Contract
{
    Duration firstToken = milliseconds(320);
    Duration betweenTokens = milliseconds(74);
    friend bool operator==(const Contract &, const Contract &) = default;
};

/// One entry of the list `plans`: a customer, its plan and its part of the capacity.
struct PlanEntry
{
    CustomerId customer;
    PlanId plan;
    Contract contract;
    std::uint32_t share = 1; ///< Weight against other customers' shares; at least 1.
    std::vector<ApiKeyHash> keys;
    Revision revision; ///< Of the change that last wrote this entry.
    friend bool operator==(const PlanEntry &, const PlanEntry &) = default;
};

/// Limits that one customer of a plan must keep.
struct PlanLimits
{
    std::uint32_t requestsInFlight = 1000;
    std::uint32_t requestsPerSecond = 1000; ///< Over the whole fleet.
    Tokens promptTokens = 32768;            ///< Of one request.
    Tokens outputTokens = 4096;             ///< Of one request.
    std::uint32_t bodyBytes = 1048576;      ///< Of one request.
    friend bool operator==(const PlanLimits &, const PlanLimits &) = default;
};

/// One entry of the list `entitlements`: what a plan may use.
struct EntitlementEntry
{
    PlanId plan;
    std::vector<ModelId> models;
    std::vector<AdapterId> adapters;
    std::vector<ServiceName> services;
    PlanLimits limits;
    Revision revision; ///< Of the change that last wrote this entry.
    friend bool operator==(const EntitlementEntry &, const EntitlementEntry &) = default;
};

/// Both lists at one revision. Equal revisions mean equal contents on every router.
struct Lists
{
    Revision revision;
    std::map<CustomerId, PlanEntry> plans;
    std::map<PlanId, EntitlementEntry> entitlements;
    friend bool operator==(const Lists &, const Lists &) = default;
};

/// The lists in force on this router.
class ListsView
{
public:
    virtual ~ListsView() = default;
    virtual const Lists &lists() const = 0;
    /// The entry of the customer that owns the key, or null.
    virtual const PlanEntry *customerOf(const ApiKeyHash &key) const = 0;
    /// False until a first state was read; the router is not ready before.
    virtual bool isLoaded() const = 0;
    /// Last record of the stream "config" that is in force here.
    virtual LogOffset offset() const { return LogOffset(); }
    /// When some router last read the end of the log and found nothing beyond offset().
    virtual TimePoint confirmedAt(TimePoint now) const { return now; }
};

} // namespace comfrey
