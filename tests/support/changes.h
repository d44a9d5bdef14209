// Short ways to write operators' changes and callers' requests in tests.
#pragma once

#include <string>
#include <vector>

#include "comfrey/events.h"
#include "comfrey/lists.h"
#include "generated/records.generated.h"

namespace comfrey::test {

/// The hash that stands for a test's API key of this name.
ApiKeyHash keyHash(const std::string &key);

record::PlanT plan(const std::string &customer, const std::string &planName,
                   std::uint32_t share = 1);
record::EntitlementT entitlement(const std::string &planName,
                                 const std::vector<std::string> &models,
                                 const std::vector<std::string> &services = {});

/// A change that creates entries which did not exist.
record::ChangeT change(const std::string &changeId, std::vector<record::PlanT> plans,
                       std::vector<record::EntitlementT> entitlements = {});
/// States that the change was based on this revision of the plan entry.
void basePlanOn(record::ChangeT &change, const std::string &customer, std::uint64_t revision);

/// The key of customer "c1" is the hash of "key-c1"; see plan().
CallerRequest chatRequest(const std::string &customer, const std::string &chat,
                          const std::string &model = "m1");
CallerRequest callRequest(const std::string &customer, const std::string &idempotencyKey,
                          const std::string &service = "dispatch");

} // namespace comfrey::test
