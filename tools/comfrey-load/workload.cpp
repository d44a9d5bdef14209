#include "comfrey-load/workload.h"

#include <algorithm>

#include <toml++/toml.h>

#include "common/encoding.h"

namespace comfrey::load {

namespace {

template<typename T>
void read(const toml::table &table, const char *key, T &value)
{
    if (const auto found = table[key].value<T>())
        value = *found;
}

void read(const toml::table &table, const char *key, Duration &value)
{
    if (const auto found = table[key].value<std::int64_t>())
        value = milliseconds(*found);
}

std::vector<std::string> readTexts(const toml::table &table, const char *key)
{
    std::vector<std::string> texts;
    if (const toml::array *array = table[key].as_array()) {
        for (const toml::node &node : *array)
            texts.push_back(node.value_or(std::string()));
    }
    return texts;
}

template<typename Reader>
void readEach(const toml::table &table, const char *key, Reader reader)
{
    const toml::array *array = table[key].as_array();
    if (array == nullptr)
        return;
    for (const toml::node &node : *array) {
        if (const toml::table *entry = node.as_table())
            reader(*entry);
    }
}

Organisation readOrganisation(const toml::table &table)
{
    Organisation result;
    read(table, "name", result.name);
    result.key = "key-" + result.name;
    read(table, "plan", result.plan);
    read(table, "key", result.key);
    read(table, "model", result.model);
    read(table, "share", result.share);
    read(table, "rate", result.rate);
    read(table, "system_tokens", result.systemTokens);
    read(table, "first_prompt_tokens", result.firstPromptTokens);
    read(table, "turn_tokens", result.turnTokens);
    read(table, "answer_tokens", result.answerTokens);
    read(table, "returning", result.returning);
    read(table, "pause_seconds", result.pauseSeconds);
    read(table, "max_turns", result.maxTurns);
    return result;
}

Burst readBurst(const toml::table &table)
{
    Burst result;
    read(table, "at", result.at);
    read(table, "seconds", result.seconds);
    read(table, "factor", result.factor);
    result.organisations = readTexts(table, "organisations");
    return result;
}

ServiceLoad readServiceLoad(const toml::table &table)
{
    ServiceLoad result;
    read(table, "name", result.name);
    read(table, "rate", result.rate);
    read(table, "resends", result.resends);
    read(table, "resend_after_seconds", result.resendAfterSeconds);
    return result;
}

FaultPlan readFault(const toml::table &table)
{
    FaultPlan result;
    const std::string target = table["target"].value_or(std::string("engines"));
    if (target == "platform")
        result.target = FaultTarget::Platform;
    else if (target == "instances")
        result.target = FaultTarget::Instances;
    else if (target == "services")
        result.target = FaultTarget::Services;
    read(table, "at", result.at);
    read(table, "seconds", result.seconds);
    read(table, "share", result.share);
    read(table, "period_seconds", result.periodSeconds);
    read(table, "on", result.on);
    read(table, "off", result.off);
    return result;
}

void readSizes(const toml::table &table, Workload &workload)
{
    read(table, "name", workload.name);
    read(table, "seconds", workload.seconds);
    read(table, "warm_up_seconds", workload.warmUpSeconds);
    read(table, "engines", workload.engines);
    read(table, "slots", workload.slots);
    read(table, "routers", workload.routers);
    read(table, "zones", workload.zones);
    read(table, "service_replicas", workload.services);
    read(table, "cache_tokens", workload.cacheTokens);
    read(table, "whole_share", workload.wholeShare);
    read(table, "first_token_ms", workload.contract.firstToken);
    read(table, "between_tokens_ms", workload.contract.betweenTokens);
}

void readFile(const toml::table &table, Workload &workload)
{
    readSizes(table, workload);
    readEach(table, "organisations", [&](const toml::table &entry) {
        workload.organisations.push_back(readOrganisation(entry));
    });
    readEach(table, "bursts",
             [&](const toml::table &entry) { workload.bursts.push_back(readBurst(entry)); });
    readEach(table, "services", [&](const toml::table &entry) {
        workload.serviceLoads.push_back(readServiceLoad(entry));
    });
    readEach(table, "faults",
             [&](const toml::table &entry) { workload.faults.push_back(readFault(entry)); });
    if (const toml::table *stragglers = table["stragglers"].as_table()) {
        read(*stragglers, "share", workload.stragglers.share);
        read(*stragglers, "factor", workload.stragglers.factor);
    }
    if (const toml::table *crashing = table["crashing"].as_table()) {
        read(*crashing, "every_seconds", workload.crashing.everySeconds);
        read(*crashing, "resends", workload.crashing.resends);
    }
}

Duration scaled(Duration time, double timeScale)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * timeScale));
}

} // namespace

Result<Workload> readWorkload(const std::vector<std::string> &files)
{
    Workload workload;
    for (const std::string &file : files) {
        try {
            readFile(toml::parse_file(file), workload);
        } catch (const toml::parse_error &error) { // the only way in which toml++ tells it here
            return failure(ErrorCode::InvalidSettings,
                           file + ": " + std::string(error.description()));
        }
    }
    if (workload.organisations.empty())
        return failure(ErrorCode::InvalidSettings, "the workload names no organisation");
    return workload;
}

Lists listsOf(const Workload &workload, double timeScale)
{
    Lists lists;
    for (const Organisation &organisation : workload.organisations) {
        PlanEntry entry;
        entry.customer = CustomerId(organisation.name);
        entry.plan = PlanId(organisation.plan);
        entry.contract.firstToken = scaled(workload.contract.firstToken, timeScale);
        entry.contract.betweenTokens = scaled(workload.contract.betweenTokens, timeScale);
        entry.share = organisation.share;
        entry.keys.emplace_back(sha256Hex(organisation.key));
        lists.plans[entry.customer] = entry;
        EntitlementEntry &entitlement = lists.entitlements[entry.plan];
        entitlement.plan = entry.plan;
        const ModelId model(organisation.model);
        if (std::find(entitlement.models.begin(), entitlement.models.end(), model)
            == entitlement.models.end())
            entitlement.models.push_back(model);
        entitlement.services.clear();
        for (const ServiceLoad &service : workload.serviceLoads)
            entitlement.services.emplace_back(service.name);
    }
    return lists;
}

} // namespace comfrey::load
