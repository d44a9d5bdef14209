// Faults that the check of a configuration reports before it is sent, and what it compares.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "configcheck/fleetconfigcheck.h"
#include "configcheck/listscheck.h"

using namespace comfrey;

namespace {

Route soundRoute(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "a.example";
    route.pathPrefix = prefix;
    route.kind = RouteKind::Stream;
    route.timeout = milliseconds(12000);
    route.objective = milliseconds(500);
    route.maxEventGap = milliseconds(200);
    route.targets = {{ServiceName("engines"), 1}};
    return route;
}

FleetConfig soundConfig()
{
    FleetConfig config;
    config.version = 7;
    config.routes = {soundRoute("chat", "/chat/"), soundRoute("tag", "/tag/")};
    ServiceTraits engines;
    engines.name = ServiceName("engines");
    engines.maxConnections = 250;
    engines.engine = EngineTraits{32, 800000};
    config.services = {engines};
    Organisation keepers;
    keepers.name = "keepers";
    keepers.apiKeys = {"key-1"};
    config.organisations = {keepers};
    return config;
}

Lists soundLists()
{
    Lists lists;
    PlanEntry plan;
    plan.customer = CustomerId("apiary");
    plan.plan = PlanId("gold");
    plan.keys = {ApiKeyHash(std::string(64, 'a'))};
    lists.plans[plan.customer] = plan;
    EntitlementEntry entitlement;
    entitlement.plan = PlanId("gold");
    entitlement.models = {ModelId("m1")};
    lists.entitlements[entitlement.plan] = entitlement;
    return lists;
}

/// "kind: entry" of each finding.
std::vector<std::string> summaryOf(const Findings &findings)
{
    std::vector<std::string> summary;
    for (const Finding &finding : findings)
        summary.push_back(std::string(nameOf(finding.kind)) + ": " + finding.entry);
    return summary;
}

/// One fault that is put into a sound configuration, and the only finding that it must give.
struct ConfigFault
{
    std::string expected;
    std::function<void(FleetConfig &)> apply;
};

std::vector<ConfigFault> errorFaults()
{
    return {
        {"error: version", [](FleetConfig &c) { c.version = 0; }},
        {"error: route \"chat\"", [](FleetConfig &c) { c.routes[0].pathPrefix = "/chat"; }},
        {"error: route \"chat\"",
         [](FleetConfig &c) {
             c.routes[0].targets.push_back({ServiceName("other"), 1});
         }},
        {"error: route \"chat\"", [](FleetConfig &c) { c.routes[0].maxAttempts = 0; }},
        {"error: route \"chat\"", [](FleetConfig &c) { c.routes[1].name = "chat"; }},
        {"error: service \"engines\"",
         [](FleetConfig &c) { c.services[0].coldRequestsPerSecond = -1; }},
        {"error: organisation \"other\"",
         [](FleetConfig &c) {
             c.organisations.push_back({"other", {"key-1"}, std::nullopt, {}});
         }},
        {"error: organisation \"keepers\"",
         [](FleetConfig &c) {
             c.organisations[0].apiKeys = {"key-1", "key-1"};
         }},
        {"error: limits", [](FleetConfig &c) { c.limits.maxHeaderBytes = 0; }},
        {"error: limits", [](FleetConfig &c) { c.limits.idleTimeout = Duration(0); }},
    };
}

std::vector<ConfigFault> unusedEntryFaults()
{
    return {
        {"never-matches: route \"tag\"", [](FleetConfig &c) { c.routes[1].pathPrefix = "/chat/"; }},
        {"never-matches: route \"chat\"", [](FleetConfig &c) { c.routes[0].host.clear(); }},
        {"never-matches: route \"chat\"",
         [](FleetConfig &c) {
             c.services.push_back({ServiceName("old"), 0, 0, std::nullopt});
             c.routes[0].targets.push_back({ServiceName("old"), 0});
         }},
        {"never-matches: service \"old\"",
         [](FleetConfig &c) {
             c.services.push_back({ServiceName("old"), 0, 0, std::nullopt});
         }},
        {"never-matches: organisation \"keepers\"",
         [](FleetConfig &c) { c.organisations[0].apiKeys.clear(); }},
        {"never-matches: route \"chat\"",
         [](FleetConfig &c) { c.routes[0].kind = RouteKind::Retryable; }},
    };
}

std::vector<ConfigFault> contradictionFaults()
{
    return {
        {"contradiction: route \"chat\"",
         [](FleetConfig &c) { c.routes[0].objective = milliseconds(12001); }},
        {"contradiction: route \"chat\"",
         [](FleetConfig &c) { c.routes[0].maxEventGap = milliseconds(12001); }},
        {"contradiction: route \"chat\"", [](FleetConfig &c) { c.routes[0].maxAttempts = 2; }},
        {"contradiction: service \"engines\"",
         [](FleetConfig &c) { c.services[0].maxConnections = 31; }},
        {"contradiction: organisation \"keepers\"",
         [](FleetConfig &c) {
             c.routes[0].allowedRegions = {RegionId("north")};
             c.organisations[0].allowedRegions = {RegionId("south")};
         }},
        {"contradiction: limits",
         [](FleetConfig &c) { c.limits.headerTimeout = c.limits.idleTimeout + milliseconds(1); }},
    };
}

void checkEachFaultIsReported(const std::vector<ConfigFault> &faults)
{
    for (const ConfigFault &fault : faults) {
        FleetConfig config = soundConfig();
        fault.apply(config);
        const auto summary = summaryOf(checkFleetConfig(config));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.expected, std::size_t(1), summary.size());
        CPPUNIT_ASSERT_EQUAL(fault.expected, summary.front());
    }
}

} // namespace

class ConfigCheckTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigCheckTest);
    CPPUNIT_TEST(soundConfigurationHasNoFindings);
    CPPUNIT_TEST(eachErrorIsReportedOnce);
    CPPUNIT_TEST(eachEntryThatNeverMatchesIsReportedOnce);
    CPPUNIT_TEST(eachContradictionIsReportedOnce);
    CPPUNIT_TEST(onlyErrorsForbidSending);
    CPPUNIT_TEST(olderVersionThanTheOneInForceIsAnError);
    CPPUNIT_TEST(differencesNameEntriesAndFields);
    CPPUNIT_TEST(differencesShowNoKeys);
    CPPUNIT_TEST(soundListsHaveNoFindings);
    CPPUNIT_TEST(listEntriesThatNeverMatchAreReported);
    CPPUNIT_TEST(bodyThatCannotHoldThePromptIsAContradiction);
    CPPUNIT_TEST(brokenRuleOfTheListsIsAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    void soundConfigurationHasNoFindings()
    {
        CPPUNIT_ASSERT(checkFleetConfig(soundConfig()).empty());
    }

    void eachErrorIsReportedOnce() { checkEachFaultIsReported(errorFaults()); }
    void eachEntryThatNeverMatchesIsReportedOnce()
    {
        checkEachFaultIsReported(unusedEntryFaults());
    }
    void eachContradictionIsReportedOnce() { checkEachFaultIsReported(contradictionFaults()); }

    void onlyErrorsForbidSending()
    {
        CPPUNIT_ASSERT(
            hasErrors({{FindingKind::NeverMatches, "", ""}, {FindingKind::Error, "", ""}}));
        CPPUNIT_ASSERT(!hasErrors(
            {{FindingKind::NeverMatches, "", ""}, {FindingKind::Contradiction, "", ""}}));
    }

    void olderVersionThanTheOneInForceIsAnError()
    {
        FleetConfig next = soundConfig();
        CPPUNIT_ASSERT(hasErrors(checkSuccessor(soundConfig(), next)));
        next.version = 8;
        CPPUNIT_ASSERT(checkSuccessor(soundConfig(), next).empty());
    }

    void differencesNameEntriesAndFields()
    {
        FleetConfig wanted = soundConfig();
        CPPUNIT_ASSERT(differences(soundConfig(), wanted).empty());
        wanted.routes[0].timeout = milliseconds(9000);
        wanted.routes[1].name = "label";
        wanted.limits.maxBodyBytes = 5;
        const auto found = differences(soundConfig(), wanted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), found.size());
        CPPUNIT_ASSERT_EQUAL(std::string("route \"chat\""), found[0].entry);
        CPPUNIT_ASSERT(found[0].change == ConfigDifference::Change::Changed);
        CPPUNIT_ASSERT(found[0].fields
                       == std::vector<std::string>({"timeout: 12000000 us -> 9000000 us"}));
        CPPUNIT_ASSERT(found[1].change == ConfigDifference::Change::Removed);
        CPPUNIT_ASSERT_EQUAL(std::string("route \"tag\""), found[1].entry);
        CPPUNIT_ASSERT(found[2].change == ConfigDifference::Change::Added);
        CPPUNIT_ASSERT_EQUAL(std::string("route \"label\""), found[2].entry);
        CPPUNIT_ASSERT_EQUAL(std::string("limits"), found[3].entry);
    }

    void differencesShowNoKeys()
    {
        FleetConfig wanted = soundConfig();
        wanted.organisations[0].apiKeys = {"secret"};
        const auto found = differences(soundConfig(), wanted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), found.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), found[0].fields.size());
        CPPUNIT_ASSERT(found[0].fields[0].find("secret") == std::string::npos);
        CPPUNIT_ASSERT(found[0].fields[0].find("key-1") == std::string::npos);
    }

    void soundListsHaveNoFindings() { CPPUNIT_ASSERT(checkLists(soundLists()).empty()); }

    void listEntriesThatNeverMatchAreReported()
    {
        Lists lists = soundLists();
        lists.plans[CustomerId("apiary")].keys.clear();
        EntitlementEntry unused;
        unused.plan = PlanId("silver");
        unused.adapters = {AdapterId("a"), AdapterId("a")};
        lists.entitlements[unused.plan] = unused;
        CPPUNIT_ASSERT(
            summaryOf(checkLists(lists))
            == std::vector<std::string>({"never-matches: customer \"apiary\"",
                                         "never-matches: entitlement of plan \"silver\"",
                                         "never-matches: entitlement of plan \"silver\"",
                                         "never-matches: entitlement of plan \"silver\"",
                                         "never-matches: entitlement of plan \"silver\""}));
    }

    void bodyThatCannotHoldThePromptIsAContradiction()
    {
        Lists lists = soundLists();
        lists.entitlements[PlanId("gold")].limits.bodyBytes = 1000;
        CPPUNIT_ASSERT(
            summaryOf(checkLists(lists))
            == std::vector<std::string>({"contradiction: entitlement of plan \"gold\""}));
    }

    void brokenRuleOfTheListsIsAnError()
    {
        Lists lists = soundLists();
        lists.plans[CustomerId("apiary")].share = 0;
        CPPUNIT_ASSERT(hasErrors(checkLists(lists)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigCheckTest);
