// Requests that are limited to a region, through the gateway to scripted servers in two regions.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway/leasesource.h"
#include "onerouter.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

DispatcherSettings settingsWithTwoRegions()
{
    DispatcherSettings settings;
    settings.zoneRegions = {{ZoneId("n1"), RegionId("north")}, {ZoneId("s1"), RegionId("south")}};
    return settings;
}

Route northernRoute(const std::string &prefix, RouteKind kind)
{
    Route route;
    route.name = prefix;
    route.host = "a.example";
    route.pathPrefix = prefix;
    route.kind = kind;
    route.timeout = milliseconds(5000);
    route.maxAttempts = 3;
    route.targets = {{ServiceName("s"), 1}};
    route.allowedRegions = {RegionId("north")};
    return route;
}

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 1\r\n\r\n";
}

} // namespace

/// Grants no lease: a request that waits for one waits for ever.
class SilentLeaseSource : public LeaseSource
{
public:
    bool isShared(const ServiceName &, TimePoint) const override { return true; }
    void requestLease(const LeaseRequirements &, TimePoint, Handler) override { }
    void releaseLease(const Lease &, LeaseOutcome, TimePoint) override { }
};

class RegionRequestTest : public CppUnit::TestFixture, protected OneRouter
{
    CPPUNIT_TEST_SUITE(RegionRequestTest);
    CPPUNIT_TEST(failedRequestIsNotRepeatedInAnotherRegion);
    CPPUNIT_TEST(requestIsRefusedAtOnceIfItsRegionHasNoServer);
    CPPUNIT_TEST(requestWithoutServerInItsRegionWaitsForNoLease);
    CPPUNIT_TEST_SUITE_END();

public:
    RegionRequestTest() : OneRouter(settingsWithTwoRegions()) { }

    void setUp() override
    {
        FleetConfig config;
        config.version = 1;
        config.routes = {northernRoute("/read/", RouteKind::Retryable)};
        m_dispatcher.apply(std::move(config));
        CPPUNIT_ASSERT(m_listener.listen("127.0.0.1:0"));
    }

    void failedRequestIsNotRepeatedInAnotherRegion()
    {
        int northern = 0;
        int southern = 0;
        ScriptedServer north(m_loop, [&](ServerConnection &connection, const Request &request) {
            ++northern;
            connection.answer(request, "no", {}, 500);
        });
        ScriptedServer south(m_loop, [&](ServerConnection &connection, const Request &request) {
            ++southern;
            connection.answer(request, "ok");
        });
        add(north, "n", "n1");
        add(south, "s", "s1");
        CPPUNIT_ASSERT_EQUAL(500U, sendAndReceive(get("/read/1")).head.status);
        CPPUNIT_ASSERT_EQUAL(1, northern);
        CPPUNIT_ASSERT_EQUAL(0, southern);
    }

    void requestIsRefusedAtOnceIfItsRegionHasNoServer()
    {
        ScriptedServer south(m_loop, [](ServerConnection &, const Request &) {
            CPPUNIT_FAIL("a server outside the allowed regions was sent a request");
        });
        add(south, "s", "s1");
        const auto response = sendAndReceive(get("/read/1"));
        CPPUNIT_ASSERT_EQUAL(503U, response.head.status);
        CPPUNIT_ASSERT(!response.head.valueOf("Retry-After").empty());
    }

    void requestWithoutServerInItsRegionWaitsForNoLease()
    {
        SilentLeaseSource leases;
        m_gateway.dependencies().leaseSource = &leases;
        ScriptedServer south(m_loop, [](ServerConnection &, const Request &) {});
        add(south, "s", "s1");
        CPPUNIT_ASSERT_EQUAL(503U, sendAndReceive(get("/read/1")).head.status);
    }

private:
    using Request = ServerConnection::Request;

    void add(const ScriptedServer &server, const std::string &id, const std::string &zone)
    {
        ReplicaRecord record = recordOf(server, id);
        record.zone = ZoneId(zone);
        m_dispatcher.replicas().put(record, now());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionRequestTest);
