// The fake fleet: what happens to callers and events when routers are killed, paused and restarted.
#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "support/changes.h"
#include "support/fakefleet.h"

using namespace comfrey;
using namespace comfrey::test;

class FakeFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FakeFleetTest);
    CPPUNIT_TEST(routerKilledBeforeAnswerLosesItsCaller);
    CPPUNIT_TEST(routerRestartedHasHigherIncarnation);
    CPPUNIT_TEST(routerPausedHandlesNothingUntilItWakes);
    CPPUNIT_TEST(requestToDeadRouterIsLostAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        fleet.addRouter("r1");
        fleet.addRouter("r2", "z2");
    }

    void routerKilledBeforeAnswerLosesItsCaller()
    {
        fleet.pauseRouter("r1");
        const RequestId request = fleet.submit("r1", chatRequest("c1", "chat1"));
        fleet.killRouter("r1");
        CPPUNIT_ASSERT(fleet.answer(request).connectionLost);
        CPPUNIT_ASSERT(!fleet.isRunning("r1"));
    }

    void routerRestartedHasHigherIncarnation()
    {
        const auto incarnation = [this] {
            return nlohmann::json::parse(fleet.dump("r1"))["incarnation"].get<std::uint64_t>();
        };
        const std::uint64_t before = incarnation();
        fleet.restartRouter("r1");
        CPPUNIT_ASSERT(incarnation() > before);
    }

    void routerPausedHandlesNothingUntilItWakes()
    {
        fleet.pauseRouter("r1");
        fleet.pauseRouter("r2");
        fleet.runFor(milliseconds(100));
        const std::uint64_t before = fleet.eventsHandled();
        fleet.submit("r1", chatRequest("c1", "chat1"));
        fleet.runFor(milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(before, fleet.eventsHandled());
        fleet.resumeRouter("r1");
        CPPUNIT_ASSERT(fleet.eventsHandled() > before);
    }

    void requestToDeadRouterIsLostAtOnce()
    {
        fleet.killRouter("r1");
        CPPUNIT_ASSERT(fleet.answer(fleet.submit("r1", chatRequest("c1", "x"))).connectionLost);
    }

private:
    FakeFleet fleet{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeFleetTest);
