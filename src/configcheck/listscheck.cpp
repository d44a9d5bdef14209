// Faults of the two lists beyond the rules that publishing enforces.
#include "configcheck/listscheck.h"

#include <set>

#include "config/validate.h"

namespace comfrey {

namespace {

std::string quoted(const std::string &name)
{
    return '"' + name + '"';
}

template<typename Id>
void checkRepeated(const std::vector<Id> &names, const std::string &entry, const char *kind,
                   Findings &findings)
{
    std::set<Id> seen;
    for (const Id &name : names) {
        if (!seen.insert(name).second)
            findings.push_back(
                {FindingKind::NeverMatches, entry,
                 std::string("names ") + kind + ' ' + quoted(name.value()) + " twice"});
    }
}

void checkEntitlement(const EntitlementEntry &entitlement, bool isUsed, Findings &findings)
{
    const std::string entry = "entitlement of plan " + quoted(entitlement.plan.value());
    if (!isUsed)
        findings.push_back({FindingKind::NeverMatches, entry, "no customer has this plan"});
    if (entitlement.models.empty() && entitlement.services.empty())
        findings.push_back(
            {FindingKind::NeverMatches, entry, "allows neither a model nor a service"});
    if (entitlement.models.empty() && !entitlement.adapters.empty())
        findings.push_back(
            {FindingKind::NeverMatches, entry, "allows adapters, but no model to use them with"});
    checkRepeated(entitlement.models, entry, "model", findings);
    checkRepeated(entitlement.adapters, entry, "adapter", findings);
    checkRepeated(entitlement.services, entry, "service", findings);
    // Each token of a prompt takes at least one byte of the body.
    if (!entitlement.models.empty()
        && entitlement.limits.bodyBytes < entitlement.limits.promptTokens)
        findings.push_back({FindingKind::Contradiction, entry,
                            "a body of " + std::to_string(entitlement.limits.bodyBytes)
                                + " bytes cannot hold a prompt of "
                                + std::to_string(entitlement.limits.promptTokens) + " tokens"});
}

} // namespace

Findings checkLists(const Lists &lists)
{
    Findings findings;
    if (const Result<void> valid = validateLists(lists); !valid)
        findings.push_back({FindingKind::Error, "lists", valid.error().text});
    std::set<PlanId> usedPlans;
    for (const auto &[customer, plan] : lists.plans) {
        usedPlans.insert(plan.plan);
        if (plan.keys.empty())
            findings.push_back({FindingKind::NeverMatches, "customer " + quoted(customer.value()),
                                "has no key, so no caller can be this customer"});
    }
    for (const auto &[plan, entitlement] : lists.entitlements)
        checkEntitlement(entitlement, usedPlans.contains(plan), findings);
    return findings;
}

} // namespace comfrey
