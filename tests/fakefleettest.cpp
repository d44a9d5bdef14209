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
        m_fleet.addRouter("r1");
        m_fleet.addRouter("r2", "z2");
    }

    void routerKilledBeforeAnswerLosesItsCaller()
    {
        m_fleet.pauseRouter("r1");
        const RequestId request = m_fleet.submit("r1", chatRequest("c1", "chat1"));
        m_fleet.killRouter("r1");
        CPPUNIT_ASSERT(m_fleet.answer(request).connectionLost);
        CPPUNIT_ASSERT(!m_fleet.isRunning("r1"));
    }

    void routerRestartedHasHigherIncarnation()
    {
        const auto incarnation = [this] {
            return nlohmann::json::parse(m_fleet.dump("r1"))["incarnation"].get<std::uint64_t>();
        };
        const std::uint64_t before = incarnation();
        m_fleet.restartRouter("r1");
        CPPUNIT_ASSERT(incarnation() > before);
    }

    void routerPausedHandlesNothingUntilItWakes()
    {
        m_fleet.pauseRouter("r1");
        m_fleet.pauseRouter("r2");
        m_fleet.runFor(milliseconds(100));
        const std::uint64_t before = m_fleet.eventsHandled();
        m_fleet.submit("r1", chatRequest("c1", "chat1"));
        m_fleet.runFor(milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(before, m_fleet.eventsHandled());
        m_fleet.resumeRouter("r1");
        CPPUNIT_ASSERT(m_fleet.eventsHandled() > before);
    }

    void requestToDeadRouterIsLostAtOnce()
    {
        m_fleet.killRouter("r1");
        CPPUNIT_ASSERT(m_fleet.answer(m_fleet.submit("r1", chatRequest("c1", "x"))).connectionLost);
    }

private:
    FakeFleet m_fleet{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeFleetTest);
