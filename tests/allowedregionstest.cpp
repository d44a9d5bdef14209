// Routes and organisations whose requests stay in some regions, in a fleet of two regions with two
// zones each.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/dispatcher.h"

using namespace comfrey;

namespace {

const ServiceName kService("s");
const RegionId kNorth("north");
const RegionId kSouth("south");
const TimePoint kNow(milliseconds(1000000));

DispatcherSettings settingsWithTwoRegions()
{
    DispatcherSettings settings;
    settings.zoneRegions = {{ZoneId("n1"), kNorth},
                            {ZoneId("n2"), kNorth},
                            {ZoneId("s1"), kSouth},
                            {ZoneId("s2"), kSouth}};
    return settings;
}

/// One route and one organisation, limited to the given regions.
FleetConfig configWith(std::uint64_t version, std::vector<RegionId> ofRoute,
                       std::vector<RegionId> ofOrganisation)
{
    Route route;
    route.name = "r";
    route.host = "a.example";
    route.pathPrefix = "/x/";
    route.targets = {{kService, 1}};
    route.allowedRegions = std::move(ofRoute);
    FleetConfig config;
    config.version = version;
    config.routes = {route};
    config.organisations = {{"keepers", {"key"}, std::nullopt, std::move(ofOrganisation)}};
    return config;
}

RequestFacts request(std::uint64_t part)
{
    RequestFacts facts;
    facts.id = "q" + std::to_string(part);
    facts.host = "a.example";
    facts.path = "/x/1";
    facts.apiKey = "key";
    return facts;
}

/// A chat about the shared prompt `part`.
RequestFacts chat(std::uint64_t part)
{
    RequestFacts facts = request(part);
    facts.prompt = {{part, 1000}, {1000000 + part, 100}};
    facts.promptTokens = 1100;
    return facts;
}

} // namespace

class AllowedRegionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AllowedRegionsTest);
    CPPUNIT_TEST(requestWithoutLimitReachesAllRegions);
    CPPUNIT_TEST(callOfALimitedRouteStaysInItsRegion);
    CPPUNIT_TEST(chatOfALimitedOrganisationStaysInItsRegion);
    CPPUNIT_TEST(routeAndOrganisationLimitsBothApply);
    CPPUNIT_TEST(overloadOfTheRegionSendsNothingElsewhere);
    CPPUNIT_TEST(retryOfALimitedRequestStaysInItsRegion);
    CPPUNIT_TEST(promptIsNotCopiedFromAnotherRegion);
    CPPUNIT_TEST(leaseInAnotherRegionIsNotUsed);
    CPPUNIT_TEST(zoneOfUnknownRegionGetsNoLimitedRequest);
    CPPUNIT_TEST(regionWithoutServersThatTakeWorkIsKnownAtOnce);
    CPPUNIT_TEST(requestKeepsTheLimitsItWasAdmittedUnder);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (const char *zone : {"n1", "n2", "s1", "s2"}) {
            for (int index = 0; index < 2; ++index)
                addServer(std::string(zone) + "-" + std::to_string(index), zone);
        }
    }

    void requestWithoutLimitReachesAllRegions()
    {
        m_dispatcher.apply(configWith(1, {}, {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), zonesReached(chat).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), zonesReached(request).size());
    }

    void callOfALimitedRouteStaysInItsRegion()
    {
        m_dispatcher.apply(configWith(1, {kNorth}, {}));
        CPPUNIT_ASSERT(zonesReached(request) == std::set<std::string>({"n1", "n2"}));
    }

    void chatOfALimitedOrganisationStaysInItsRegion()
    {
        m_dispatcher.apply(configWith(1, {}, {kSouth}));
        CPPUNIT_ASSERT(zonesReached(chat) == std::set<std::string>({"s1", "s2"}));
    }

    void routeAndOrganisationLimitsBothApply()
    {
        m_dispatcher.apply(configWith(1, {kNorth, kSouth}, {kSouth}));
        CPPUNIT_ASSERT(zonesReached(chat) == std::set<std::string>({"s1", "s2"}));
        m_dispatcher.apply(configWith(2, {kNorth}, {kSouth}));
        CPPUNIT_ASSERT(zonesReached(chat).empty());
        CPPUNIT_ASSERT(!m_dispatcher.hasServerIn(kService, admitted(chat(1)).regions));
    }

    /// Load: all requests of the fleet are limited to a half of the engines.
    void overloadOfTheRegionSendsNothingElsewhere()
    {
        m_dispatcher.apply(configWith(1, {kNorth}, {}));
        std::size_t sent = 0;
        for (std::uint64_t part = 0; part < 400; ++part) {
            const RequestFacts facts = chat(part % 5);
            const auto replica = chosen(facts).replica;
            CPPUNIT_ASSERT(replica);
            CPPUNIT_ASSERT_EQUAL('n', replica->record.zone.value().front());
            m_dispatcher.onAttemptStarted(*replica, facts, kNow);
            ++sent;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(400), sent);
    }

    void retryOfALimitedRequestStaysInItsRegion()
    {
        m_dispatcher.apply(configWith(1, {kNorth}, {}));
        std::vector<std::string> tried;
        for (int attempt = 0; attempt < 4; ++attempt) {
            const auto replica = chosen(chat(7), tried).replica;
            CPPUNIT_ASSERT(replica);
            CPPUNIT_ASSERT_EQUAL('n', replica->record.zone.value().front());
            tried.push_back(replica->incarnation);
        }
        CPPUNIT_ASSERT(!chosen(chat(7), tried).replica);
    }

    /// The engine that ranks first for the prompt is in the other region and still runs requests
    /// for it; the engine in the allowed region reads the prompt itself.
    void promptIsNotCopiedFromAnotherRegion()
    {
        m_dispatcher.apply(configWith(1, {}, {}));
        std::size_t sources = 0;
        for (std::uint64_t part = 0; part < 50; ++part) {
            const Choice first = chosen(chat(part));
            for (int busy = 0; busy < 6; ++busy)
                m_dispatcher.onAttemptStarted(*first.replica, chat(part), kNow);
            sources += chosen(chat(part)).promptSource ? 1 : 0;
        }
        CPPUNIT_ASSERT(sources > 0); // a prompt that moves is copied where no limit forbids it
        m_dispatcher.apply(configWith(2, {kNorth}, {}));
        for (std::uint64_t part = 0; part < 50; ++part) {
            const Choice choice = chosen(chat(part));
            if (choice.promptSource)
                CPPUNIT_ASSERT_EQUAL('n', choice.promptSource->record.zone.value().front());
        }
    }

    void leaseInAnotherRegionIsNotUsed()
    {
        m_dispatcher.apply(configWith(1, {kNorth}, {}));
        const Admission admission = admitted(request(1));
        const auto south = m_dispatcher.replicas().find(BackendId("s1-0"));
        const auto north = m_dispatcher.replicas().find(BackendId("n1-0"));
        CPPUNIT_ASSERT(
            !m_dispatcher.leasedReplica(kService, south->incarnationHash, kNow, admission.regions));
        CPPUNIT_ASSERT(
            m_dispatcher.leasedReplica(kService, north->incarnationHash, kNow, admission.regions));
        const auto excluded = m_dispatcher.excludedServers(kService, {}, kNow, admission.regions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), excluded.size());
        CPPUNIT_ASSERT(std::find(excluded.begin(), excluded.end(), south->incarnationHash)
                       != excluded.end());
    }

    void zoneOfUnknownRegionGetsNoLimitedRequest()
    {
        addServer("x-0", "unlisted");
        m_dispatcher.apply(configWith(1, {kNorth, kSouth}, {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), zonesReached(request).size());
        m_dispatcher.apply(configWith(2, {}, {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), zonesReached(request).size());
    }

    /// One zone of the region is evacuated and the servers of the other one leave.
    void regionWithoutServersThatTakeWorkIsKnownAtOnce()
    {
        m_dispatcher.apply(configWith(1, {kNorth}, {}));
        const Admission admission = admitted(chat(1));
        CPPUNIT_ASSERT(m_dispatcher.hasServerIn(kService, admission.regions));
        m_dispatcher.replicas().setEvacuated(ZoneId("n1"), true);
        CPPUNIT_ASSERT(m_dispatcher.hasServerIn(kService, admission.regions));
        for (const char *id : {"n2-0", "n2-1"})
            m_dispatcher.replicas().remove(BackendId(id), kNow, kNow);
        CPPUNIT_ASSERT(!m_dispatcher.hasServerIn(kService, admission.regions));
        CPPUNIT_ASSERT(!chosen(chat(1)).replica);
        m_dispatcher.replicas().setEvacuated(ZoneId("n1"), false);
        CPPUNIT_ASSERT(chosen(chat(1)).replica);
    }

    void requestKeepsTheLimitsItWasAdmittedUnder()
    {
        m_dispatcher.apply(configWith(1, {kNorth}, {}));
        const Admission admission = admitted(chat(1));
        m_dispatcher.apply(configWith(2, {}, {}));
        CPPUNIT_ASSERT(admission.regions.isLimited());
        CPPUNIT_ASSERT(!admission.regions.allows(kSouth));
        CPPUNIT_ASSERT(!admitted(chat(1)).regions.isLimited());
    }

private:
    void addServer(const std::string &id, const std::string &zone)
    {
        ReplicaRecord record;
        record.id = BackendId(id);
        record.service = kService;
        record.address = Endpoint("127.0.0.1:1");
        record.zone = ZoneId(zone);
        record.slots = 8;
        record.startedAtMs = 1;
        m_dispatcher.replicas().put(record, kNow);
    }

    Admission admitted(const RequestFacts &facts)
    {
        Admission admission = m_dispatcher.admit(facts, kNow);
        CPPUNIT_ASSERT(admission.refusal == Refusal::None);
        return admission;
    }

    Choice chosen(const RequestFacts &facts, const std::vector<std::string> &tried = {})
    {
        const Admission admission = admitted(facts);
        return m_dispatcher.choose(facts, admission.service, tried, kNow, admission.regions);
    }

    /// The zones of the servers that 200 requests are sent to.
    std::set<std::string> zonesReached(RequestFacts (*make)(std::uint64_t))
    {
        std::set<std::string> zones;
        for (std::uint64_t part = 0; part < 200; ++part) {
            if (const auto replica = chosen(make(part)).replica)
                zones.insert(replica->record.zone.value());
        }
        return zones;
    }

    Dispatcher m_dispatcher{settingsWithTwoRegions()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllowedRegionsTest);
