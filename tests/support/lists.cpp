// Lists for tests.
#include "support/lists.h"

namespace comfrey::test {

Lists smallLists()
{
    Lists lists;
    const PlanId gold("gold");
    for (const char digit : {'1', '2', '3'}) {
        PlanEntry entry;
        entry.customer = CustomerId(std::string("c") + digit);
        entry.plan = gold;
        entry.keys = {ApiKeyHash(std::string(64, digit))};
        lists.plans.emplace(entry.customer, entry);
    }
    EntitlementEntry entitlement;
    entitlement.plan = gold;
    entitlement.models = {ModelId("m1")};
    entitlement.services = {ServiceName("dispatch")};
    lists.entitlements.emplace(gold, entitlement);
    return lists;
}

} // namespace comfrey::test
