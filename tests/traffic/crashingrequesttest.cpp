// Requests that end the processes of the servers that run them, and what they do to a fleet.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "crashingfleet.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

/// After the third end of a server no more than that many repeats may reach servers (BUDGET).
constexpr std::size_t kMostRepeats = 3;
/// Until the whole fleet is to know; the platform's sites allow 3 to 5 s.
constexpr Duration kKnownWithin = milliseconds(1000);

} // namespace

class CrashingRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashingRequestTest);
    CPPUNIT_TEST(requestThatEndsServersComesToManyRoutersAndIsStopped);
    CPPUNIT_TEST(requestThatIsResetByLivingServersIsServedLater);
    CPPUNIT_TEST(repeatableRequestIsStoppedWithinItsOwnAttempt);
    CPPUNIT_TEST(serverThatIsBackAtOnceStillCounts);
    CPPUNIT_TEST(requestThatSilencesServersInAStreamIsStopped);
    CPPUNIT_TEST(requestWhoseCallerWaitsLongerThanTheListIsStopped);
    CPPUNIT_TEST(routerThatStartsLaterKnowsTheRequest);
    CPPUNIT_TEST(requestBesideItIsServedOnItsReturn);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Incident BUDGET: each router has one connection to a server and sees the request rarely.
    void requestThatEndsServersComesToManyRoutersAndIsStopped()
    {
        CrashingFleet fleet(m_loop, 8, 12, milliseconds(800));
        playRepeats(fleet);
        CPPUNIT_ASSERT_EQUAL(503U, fleet.statuses("end").back());
    }

    void serverThatIsBackAtOnceStillCounts()
    {
        CrashingFleet fleet(m_loop, 8, 12, milliseconds(0));
        fleet.keepsPort = true;
        fleet.listedAfter = milliseconds(200);
        playRepeats(fleet);
    }

    /// Each connection that carries it is reset beside another one: the servers live on.
    void requestThatIsResetByLivingServersIsServedLater()
    {
        CrashingFleet fleet(m_loop, 2, 3, milliseconds(800));
        for (std::size_t round = 0; round < 8; ++round) {
            for (int copy = 0; copy < 4; ++copy)
                fleet.send(round % 2, "/once/", "reset");
            fleet.run(milliseconds(100));
        }
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        for (const unsigned status : fleet.statuses("reset"))
            CPPUNIT_ASSERT_EQUAL(502U, status); // Never refused as a request that crashes servers.
    }

    void repeatableRequestIsStoppedWithinItsOwnAttempt()
    {
        CrashingFleet fleet(m_loop, 1, 8, milliseconds(3000));
        fleet.send(0, "/again/", "end");
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.ends().size());
        CPPUNIT_ASSERT_EQUAL(502U, fleet.statuses("end").front());
    }

    void requestThatSilencesServersInAStreamIsStopped()
    {
        CrashingFleet fleet(m_loop, 3, 10, milliseconds(0));
        fleet.unlistedAfter = milliseconds(1600);
        playSilencings(fleet, "/stream/", "dark");
    }

    void requestWhoseCallerWaitsLongerThanTheListIsStopped()
    {
        CrashingFleet fleet(m_loop, 3, 10, milliseconds(0));
        playSilencings(fleet, "/once/", "mute");
    }

    void routerThatStartsLaterKnowsTheRequest()
    {
        CrashingFleet fleet(m_loop, 3, 8, milliseconds(800));
        CPPUNIT_ASSERT(sendUntilRefused(fleet));
        const std::size_t before = fleet.ends().size();
        fleet.addRouter();
        ServingRouter &late = fleet.router(fleet.routerCount() - 1);
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return late.sync().isFresh(now()); }));
        fleet.send(fleet.routerCount() - 1, "/once/", "end");
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        CPPUNIT_ASSERT_EQUAL(before, fleet.ends().size());
    }

    void requestBesideItIsServedOnItsReturn()
    {
        CrashingFleet fleet(m_loop, 3, 8, milliseconds(800));
        CPPUNIT_ASSERT(sendUntilRefused(fleet));
        fleet.run(milliseconds(1000));
        for (std::size_t router = 0; router < fleet.routerCount(); ++router)
            fleet.send(router, "/once/", "other");
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        for (const unsigned status : fleet.statuses("other"))
            CPPUNIT_ASSERT_EQUAL(200U, status);
    }

private:
    /// The request comes every 150 ms at the next router; checks what reaches servers.
    static void playRepeats(CrashingFleet &fleet)
    {
        for (std::size_t round = 0; round < 24; ++round) {
            fleet.send(round % fleet.routerCount(), "/once/", "end");
            fleet.run(milliseconds(150));
        }
        const std::vector<TimePoint> &ends = fleet.ends();
        CPPUNIT_ASSERT(ends.size() >= 2);
        const auto late =
            ends.size() < 3 ? 0 : std::count_if(ends.begin(), ends.end(), [&](TimePoint at) {
                return at > ends[2] + kKnownWithin;
            });
        CPPUNIT_ASSERT_MESSAGE("ended in all: " + std::to_string(ends.size())
                                   + ", later than the bound: " + std::to_string(late),
                               static_cast<std::size_t>(late) <= kMostRepeats);
    }

    /// The request comes at the next router each time its caller has left and the list has shown
    /// the end of the server: no more than two servers are needed to know it, and one that is under
    /// way.
    static void playSilencings(CrashingFleet &fleet, const std::string &path,
                               const std::string &body)
    {
        for (std::size_t round = 0; round < 6; ++round) {
            fleet.send(round % fleet.routerCount(), path, body);
            fleet.run(std::max(fleet.patience, fleet.unlistedAfter) + milliseconds(400));
        }
        CPPUNIT_ASSERT_MESSAGE("silenced: " + std::to_string(fleet.ends().size()),
                               fleet.ends().size() >= 2 && fleet.ends().size() <= 3);
        CPPUNIT_ASSERT_EQUAL(503U, fleet.statuses(body).back());
    }

    static bool sendUntilRefused(CrashingFleet &fleet)
    {
        for (std::size_t round = 0; round < 12; ++round) {
            fleet.send(round % fleet.routerCount(), "/once/", "end");
            fleet.run(milliseconds(200));
            if (!fleet.statuses("end").empty() && fleet.statuses("end").back() == 503)
                return true;
        }
        return false;
    }

    boost::asio::io_context m_loop{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTest);
