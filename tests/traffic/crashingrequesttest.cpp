// Tests that the routers of a fleet together stop a request that crashes or silences the servers
// that run it, and that other requests are still served.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <initializer_list>
#include <string_view>

#include "crashingfleet.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

/// Maximum number of crashes later than kMaxPropagationTime after the third one (incident BUDGET).
constexpr std::size_t kMaxLateCrashes = 3;
/// Crashes after which the limit of late ones applies to requests that share a prompt part.
constexpr std::size_t kCrashesBeforeLimit = 5;
/// Time for the whole fleet to learn of a crashing request; the platform's sites allow 3 to 5 s.
constexpr Duration kMaxPropagationTime = milliseconds(1000);

} // namespace

class CrashingRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashingRequestTest);
    CPPUNIT_TEST(requestCrashingServersAcrossManyRoutersIsStopped);
    CPPUNIT_TEST(requestResetByRunningServersIsNeverRefused);
    CPPUNIT_TEST(retryableRequestStopsAfterCrashingTwoServers);
    CPPUNIT_TEST(crashOfServerRestartedAtOnceIsCounted);
    CPPUNIT_TEST(requestCrashingServersAfterItsCallerLeftIsStopped);
    CPPUNIT_TEST(streamRequestSilencingServersIsStopped);
    CPPUNIT_TEST(requestSilencingServersUnlistedBeforeCallerLeavesIsStopped);
    CPPUNIT_TEST(routerStartedLaterStopsCrashingRequest);
    CPPUNIT_TEST(crashingRequestIsKnownAfterAllRoutersLostPower);
    CPPUNIT_TEST(crashingPromptPartIsKnownAfterAllRoutersLostPower);
    CPPUNIT_TEST(crashesAreReadOnceStoreIsBack);
    CPPUNIT_TEST(quietFleetCallsStoreOnceAfterItsStart);
    CPPUNIT_TEST(otherRequestAfterCrashesIsServed);
    CPPUNIT_TEST(differentRequestsWithOnePromptPartThatCrashesServersAreStopped);
    CPPUNIT_TEST(partOfRequestsSentToServersThatWereSilentAlreadyIsNotRefused);
    CPPUNIT_TEST(partOfRequestsWhoseConnectionsBrokeAfterLongSilenceIsNotRefused);
    CPPUNIT_TEST(soundRequestsThatShareOtherPromptPartsWithCrashingOnesAreServed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Incident BUDGET: each router has one connection to a server and rarely receives the request.
    void requestCrashingServersAcrossManyRoutersIsStopped()
    {
        CrashingFleet fleet(m_loop, 8, 12, milliseconds(800));
        checkRepeatedCrashesStop(fleet);
        CPPUNIT_ASSERT_EQUAL(503U, fleet.statuses("end").back());
    }

    void crashOfServerRestartedAtOnceIsCounted()
    {
        CrashingFleet fleet(m_loop, 8, 12, milliseconds(0));
        fleet.keepsPort = true;
        fleet.listingDelay = milliseconds(200);
        checkRepeatedCrashesStop(fleet);
    }

    /// Each connection that carries the request is reset while another one stays open: the
    /// servers keep running.
    void requestResetByRunningServersIsNeverRefused()
    {
        CrashingFleet fleet(m_loop, 2, 3, milliseconds(800));
        for (std::size_t round = 0; round < 8; ++round) {
            for (int copy = 0; copy < 4; ++copy)
                fleet.send(round % 2, "/once/", "reset");
            fleet.run(milliseconds(100));
        }
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        // 503 would refuse the request as one that crashes servers.
        for (const unsigned status : fleet.statuses("reset"))
            CPPUNIT_ASSERT_EQUAL(502U, status);
    }

    void retryableRequestStopsAfterCrashingTwoServers()
    {
        CrashingFleet fleet(m_loop, 1, 8, milliseconds(3000));
        fleet.send(0, "/again/", "end");
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.crashTimes().size());
        CPPUNIT_ASSERT_EQUAL(502U, fleet.statuses("end").front());
    }

    /// Review case 1. Requests of other callers on the same servers are answered.
    void requestCrashingServersAfterItsCallerLeftIsStopped()
    {
        CrashingFleet fleet(m_loop, 3, 12, milliseconds(800));
        for (std::size_t round = 0; round < 24; ++round) {
            const std::string sound = "sound" + std::to_string(round % 4);
            fleet.send(round % fleet.routerCount(), "/once/", "left");
            fleet.run(milliseconds(60));
            fleet.send((round + 1) % fleet.routerCount(), "/once/", sound);
            fleet.run(milliseconds(90));
        }
        checkLateCrashes(fleet);
        for (std::size_t router = 0; router < fleet.routerCount(); ++router) {
            for (int kind = 0; kind < 4; ++kind)
                fleet.send(router, "/once/", "sound" + std::to_string(kind));
        }
        fleet.send(0, "/once/", "left");
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        CPPUNIT_ASSERT_EQUAL(503U, fleet.statuses("left").back());
        for (int kind = 0; kind < 4; ++kind)
            CPPUNIT_ASSERT_EQUAL(200U, fleet.statuses("sound" + std::to_string(kind)).back());
    }

    void streamRequestSilencingServersIsStopped()
    {
        CrashingFleet fleet(m_loop, 3, 10, milliseconds(0));
        fleet.unlistingDelay = milliseconds(1600);
        checkRepeatedSilencingStops(fleet, "/stream/", "dark");
    }

    void requestSilencingServersUnlistedBeforeCallerLeavesIsStopped()
    {
        CrashingFleet fleet(m_loop, 3, 10, milliseconds(0));
        checkRepeatedSilencingStops(fleet, "/once/", "mute");
    }

    void routerStartedLaterStopsCrashingRequest()
    {
        CrashingFleet fleet(m_loop, 3, 8, milliseconds(800));
        CPPUNIT_ASSERT(sendUntilRefused(fleet));
        const std::size_t before = fleet.crashTimes().size();
        fleet.addRouter();
        ServingRouter &late = fleet.router(fleet.routerCount() - 1);
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return late.sync().isFresh(now()); }));
        fleet.send(fleet.routerCount() - 1, "/once/", "end");
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        CPPUNIT_ASSERT_EQUAL(before, fleet.crashTimes().size());
    }

    /// Review case 5.
    void crashingRequestIsKnownAfterAllRoutersLostPower()
    {
        CrashingFleet fleet(m_loop, 3, 12, milliseconds(800));
        for (int life = 0; life < 4; ++life) {
            if (life > 0)
                fleet.restartRouters();
            for (std::size_t router = 0; router < fleet.routerCount(); ++router) {
                fleet.send(router, "/once/", "end");
                fleet.run(milliseconds(700));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.crashTimes().size());
        CPPUNIT_ASSERT_EQUAL(503U, fleet.statuses("end").back());
        fleet.send(0, "/once/", "other");
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        CPPUNIT_ASSERT_EQUAL(200U, fleet.statuses("other").back());
        // Two crashes, and the reads of four starts.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.storeCalls) + " calls of the store",
                               fleet.storeCalls <= 2 + 4 * fleet.routerCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.keptCrashes.size());
    }

    /// Review case 5 for requests that are alike only in one prompt part.
    void crashingPromptPartIsKnownAfterAllRoutersLostPower()
    {
        CrashingFleet fleet(m_loop, 3, 12, milliseconds(800));
        const std::string deadly = std::string(CrashingFleet::kDeadlyPart) + ":100,";
        std::string last;
        for (int life = 0; life < 4; ++life) {
            if (life > 0)
                fleet.restartRouters();
            for (std::size_t router = 0; router < fleet.routerCount(); ++router) {
                const std::string number = std::to_string(life) + std::to_string(router);
                last = "deadly" + number;
                fleet.send(router, "/once/", "sound" + number,
                           promptOf({"1f:800,", ownPart('c', number)}));
                fleet.send(router, "/once/", last,
                           promptOf({"1f:800,", deadly, ownPart('b', number)}));
                fleet.run(milliseconds(700));
                CPPUNIT_ASSERT_EQUAL(200U, fleet.statuses("sound" + number).back());
            }
        }
        CPPUNIT_ASSERT_MESSAGE("crashes: " + std::to_string(fleet.crashTimes().size()),
                               fleet.crashTimes().size() <= 3);
        CPPUNIT_ASSERT_EQUAL(503U, fleet.statuses(last).back());
    }

    /// Requests are served meanwhile.
    void crashesAreReadOnceStoreIsBack()
    {
        CrashingFleet fleet(m_loop, 3, 12, milliseconds(800));
        CPPUNIT_ASSERT(sendUntilRefused(fleet));
        fleet.run(milliseconds(2500));
        const std::size_t crashes = fleet.crashTimes().size();
        fleet.isStoreDown = true;
        fleet.restartRouters();
        fleet.send(0, "/once/", "other");
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        CPPUNIT_ASSERT_EQUAL(200U, fleet.statuses("other").back());
        fleet.isStoreDown = false;
        fleet.run(milliseconds(1000));
        for (std::size_t router = 0; router < fleet.routerCount(); ++router)
            fleet.send(router, "/once/", "end");
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        CPPUNIT_ASSERT_EQUAL(crashes, fleet.crashTimes().size());
    }

    void quietFleetCallsStoreOnceAfterItsStart()
    {
        CrashingFleet fleet(m_loop, 3, 4, milliseconds(800));
        const std::size_t atStart = fleet.storeCalls;
        for (int round = 0; round < 30; ++round) {
            fleet.send(0, "/once/", "calm" + std::to_string(round));
            fleet.run(milliseconds(100));
        }
        CPPUNIT_ASSERT(atStart <= fleet.routerCount());
        CPPUNIT_ASSERT_EQUAL(atStart, fleet.storeCalls);
    }

    void otherRequestAfterCrashesIsServed()
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

    /// Incident "crashing prompt part": no two of the requests are alike but for one part.
    void differentRequestsWithOnePromptPartThatCrashesServersAreStopped()
    {
        CrashingFleet fleet(m_loop, 8, 12, milliseconds(800));
        sendDeadlyAndSoundPrompts(fleet);
        const std::vector<TimePoint> &crashTimes = fleet.crashTimes();
        CPPUNIT_ASSERT(crashTimes.size() >= 2);
        const auto late = crashTimes.size() <= kCrashesBeforeLimit
            ? 0
            : std::count_if(crashTimes.begin(), crashTimes.end(), [&](TimePoint at) {
                  return at > crashTimes[kCrashesBeforeLimit - 1] + kMaxPropagationTime;
              });
        CPPUNIT_ASSERT_MESSAGE("crashes in total: " + std::to_string(crashTimes.size())
                                   + ", later than the propagation time allows: "
                                   + std::to_string(late),
                               static_cast<std::size_t>(late) <= kMaxLateCrashes);
    }

    void partOfRequestsSentToServersThatWereSilentAlreadyIsNotRefused()
    {
        checkPartOfSilentServersIsServed("mute");
    }

    /// A server that was down when the request was sent resets the connection once it is back.
    void partOfRequestsWhoseConnectionsBrokeAfterLongSilenceIsNotRefused()
    {
        checkPartOfSilentServersIsServed("late");
    }

    void soundRequestsThatShareOtherPromptPartsWithCrashingOnesAreServed()
    {
        CrashingFleet fleet(m_loop, 8, 12, milliseconds(800));
        sendDeadlyAndSoundPrompts(fleet);
        std::size_t sent = 0;
        std::size_t answered = 0;
        for (std::size_t round = kPromptRounds / 2; round < kPromptRounds; ++round) {
            for (const unsigned status : fleet.statuses("sound" + std::to_string(round))) {
                ++sent;
                answered += status == 200 ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(sent >= 20);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(answered) + " of " + std::to_string(sent)
                                   + " sound requests were answered",
                               answered * 10 >= sent * 9);
    }

private:
    static std::string ownPart(char prefix, const std::string &number)
    {
        std::string part(1, prefix);
        part += number;
        part += ":10";
        return part;
    }

    /// "id:tokens" of all parts of a prompt.
    static std::string promptOf(std::initializer_list<std::string_view> parts)
    {
        std::string prompt;
        for (const std::string_view part : parts)
            prompt += part;
        return prompt;
    }

    /// Requests that differ in all but one prompt part end as `body` says, one after the other;
    /// another one with the part is served.
    void checkPartOfSilentServersIsServed(const std::string &body)
    {
        CrashingFleet fleet(m_loop, 3, 10, milliseconds(0));
        const std::string shared = "1f:800,2e:50,";
        for (int round = 0; round < 4; ++round) {
            const std::string number = std::to_string(round);
            fleet.send(0, "/once/" + number, body, shared + ownPart('c', number));
            fleet.run(milliseconds(1500));
        }
        fleet.send(0, "/once/", "sound", shared + "d:10");
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        CPPUNIT_ASSERT_EQUAL(200U, fleet.statuses("sound").front());
    }

    static constexpr std::size_t kPromptRounds = 32;

    /// In each round one request with the deadly part, and three without it that share its caller,
    /// its first part and, at times, its second one.
    static void sendDeadlyAndSoundPrompts(CrashingFleet &fleet)
    {
        const std::string deadly = std::string(CrashingFleet::kDeadlyPart) + ":100,";
        for (std::size_t round = 0; round < kPromptRounds; ++round) {
            const std::string number = std::to_string(round);
            for (std::size_t sound = 0; sound < 3; ++sound) {
                const std::string second = std::to_string(200 + (round + sound) % 4) + ":50,";
                const std::string last = ownPart('c', number + std::to_string(sound));
                fleet.send((round + 3 * sound) % fleet.routerCount(), "/once/", "sound" + number,
                           promptOf({"1f:800,", second, last}));
            }
            const std::string second = std::to_string(200 + round % 4) + ":50,";
            fleet.send(round % fleet.routerCount(), "/once/", "deadly" + number,
                       promptOf({"1f:800,", second, deadly, ownPart('b', number)}));
            fleet.run(milliseconds(150));
        }
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
    }

    /// Sends the crashing request to the routers in turn every 150 ms and checks that only a few
    /// reach servers once the fleet has received the crash updates.
    static void checkRepeatedCrashesStop(CrashingFleet &fleet)
    {
        for (std::size_t round = 0; round < 24; ++round) {
            fleet.send(round % fleet.routerCount(), "/once/", "end");
            fleet.run(milliseconds(150));
        }
        checkLateCrashes(fleet);
    }

    static void checkLateCrashes(const CrashingFleet &fleet)
    {
        const std::vector<TimePoint> &crashTimes = fleet.crashTimes();
        CPPUNIT_ASSERT(crashTimes.size() >= 2);
        const auto late = crashTimes.size() < 3
            ? 0
            : std::count_if(crashTimes.begin(), crashTimes.end(),
                            [&](TimePoint at) { return at > crashTimes[2] + kMaxPropagationTime; });
        CPPUNIT_ASSERT_MESSAGE("crashes in total: " + std::to_string(crashTimes.size())
                                   + ", later than the propagation time allows: "
                                   + std::to_string(late),
                               static_cast<std::size_t>(late) <= kMaxLateCrashes);
    }

    /// Sends the request to the routers in turn, each time after its caller has disconnected and
    /// the silent server is no longer listed. Two silenced servers suffice to recognise the
    /// request; one more may be silenced by a request that is already under way.
    static void checkRepeatedSilencingStops(CrashingFleet &fleet, const std::string &path,
                                            const std::string &body)
    {
        for (std::size_t round = 0; round < 6; ++round) {
            fleet.send(round % fleet.routerCount(), path, body);
            fleet.run(std::max(fleet.callerTimeout, fleet.unlistingDelay) + milliseconds(400));
        }
        CPPUNIT_ASSERT_MESSAGE("silenced servers: " + std::to_string(fleet.crashTimes().size()),
                               fleet.crashTimes().size() >= 2 && fleet.crashTimes().size() <= 3);
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
