// Lists and changes as JSON and as text.
#include "report.h"

namespace comfrey::ctl {

namespace {

template<typename Id>
nlohmann::json namesOf(const std::vector<Id> &ids)
{
    nlohmann::json names = nlohmann::json::array();
    for (const Id &id : ids)
        names.push_back(id.value());
    return names;
}

nlohmann::json toJson(const PlanEntry &entry)
{
    return {{"customer", entry.customer.value()},
            {"plan", entry.plan.value()},
            {"first_token_us", entry.contract.firstToken.count()},
            {"between_tokens_us", entry.contract.betweenTokens.count()},
            {"share", entry.share},
            {"keys", namesOf(entry.keys)},
            {"revision", entry.revision.value()}};
}

nlohmann::json toJson(const EntitlementEntry &entry)
{
    return {{"plan", entry.plan.value()},
            {"models", namesOf(entry.models)},
            {"adapters", namesOf(entry.adapters)},
            {"services", namesOf(entry.services)},
            {"requests_in_flight", entry.limits.requestsInFlight},
            {"requests_per_second", entry.limits.requestsPerSecond},
            {"prompt_tokens", entry.limits.promptTokens},
            {"output_tokens", entry.limits.outputTokens},
            {"body_bytes", entry.limits.bodyBytes},
            {"revision", entry.revision.value()}};
}

} // namespace

nlohmann::json toJson(const Lists &lists)
{
    nlohmann::json all = {{"revision", lists.revision.value()},
                          {"plans", nlohmann::json::array()},
                          {"entitlements", nlohmann::json::array()}};
    for (const auto &[id, entry] : lists.plans)
        all["plans"].push_back(toJson(entry));
    for (const auto &[id, entry] : lists.entitlements)
        all["entitlements"].push_back(toJson(entry));
    return all;
}

nlohmann::json toJson(const record::ChangeT &change)
{
    nlohmann::json all = {{"write_plans", nlohmann::json::array()},
                          {"write_entitlements", nlohmann::json::array()},
                          {"delete_plans", change.deletePlans},
                          {"delete_entitlements", change.deleteEntitlements}};
    for (const auto &entry : change.upsertPlans)
        all["write_plans"].push_back(entry->customer);
    for (const auto &entry : change.upsertEntitlements)
        all["write_entitlements"].push_back(entry->plan);
    return all;
}

std::string toText(const record::ChangeT &change)
{
    std::string text;
    for (const auto &entry : change.upsertPlans)
        text += "write plan of customer \"" + entry->customer + "\"\n";
    for (const std::string &customer : change.deletePlans)
        text += "delete plan of customer \"" + customer + "\"\n";
    for (const auto &entry : change.upsertEntitlements)
        text += "write entitlements of plan \"" + entry->plan + "\"\n";
    for (const std::string &plan : change.deleteEntitlements)
        text += "delete entitlements of plan \"" + plan + "\"\n";
    return text;
}

} // namespace comfrey::ctl
