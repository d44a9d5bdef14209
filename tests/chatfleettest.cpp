// Several routers' chat decisions together: the bound on an engine's load, one answer each, shares,
// and requests that crash engines, under lost, doubled and late messages and views that differ.
#include <cppunit/extensions/HelperMacros.h>

#include "placement/slotlimit.h"
#include "support/chatfleet.h"

using namespace comfrey;
using namespace comfrey::test;

class ChatFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChatFleetTest);
    CPPUNIT_TEST(messagesLostDoubledAndLateKeepTheBound);
    CPPUNIT_TEST(homeRouterKilledWhileViewsDifferKeepsTheBound);
    CPPUNIT_TEST(routerSuspectedByOthersForASecondKeepsTheBound);
    CPPUNIT_TEST(quietCustomerBesideSurgeIsServedInContract);
    CPPUNIT_TEST(crashingRequestAndItsResendsCostTwoEngines);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesLostDoubledAndLateKeepTheBound()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            ChatFleet fleet(faulty(seed));
            load(fleet, milliseconds(6000), 5);
            finishAndCheck(fleet, seed, -1);
        }
    }

    void homeRouterKilledWhileViewsDifferKeepsTheBound()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            ChatFleet fleet(faulty(seed));
            load(fleet, milliseconds(3000), 5);
            fleet.kill(4);
            for (int router = 0; router < 4; ++router) {
                const auto late = Duration(200000 + fleet.random()() % 1300000);
                fleet.queue().after(
                    late, [&fleet, router] { fleet.see(router, 4, RouterState::Suspect); });
                fleet.queue().after(late + milliseconds(3500),
                                    [&fleet, router] { fleet.forgetRouter(router, 4); });
            }
            load(fleet, milliseconds(7000), 4);
            finishAndCheck(fleet, seed, 4);
        }
    }

    void routerSuspectedByOthersForASecondKeepsTheBound()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            ChatFleet fleet(faulty(seed));
            load(fleet, milliseconds(3000), 5);
            for (const int router : {0, 1, 3}) {
                const auto late = Duration(fleet.random()() % 500000);
                fleet.queue().after(
                    late, [&fleet, router] { fleet.see(router, 2, RouterState::Suspect); });
                fleet.queue().after(late + milliseconds(1000),
                                    [&fleet, router] { fleet.see(router, 2, RouterState::Alive); });
            }
            load(fleet, milliseconds(5000), 5);
            finishAndCheck(fleet, seed, -1);
        }
    }

    // Three routers and 32 slots; one customer asks for three times what there is.
    void quietCustomerBesideSurgeIsServedInContract()
    {
        ChatFleetOptions options;
        options.routers = 3;
        options.engines = 4;
        options.contract = milliseconds(300);
        ChatFleet fleet(options);
        for (int step = 0; step < 2000; ++step) {
            fleet.arrive(step % 3, "surge" + std::to_string(step), 40, "key1");
            if (step % 40 == 0)
                fleet.arrive(step % 3, "quiet" + std::to_string(step), 40, "key2");
            fleet.runFor(milliseconds(4));
        }
        fleet.runFor(milliseconds(20000));
        int quiet = 0;
        int inContract = 0;
        for (const auto &[id, caller] : fleet.callers()) {
            if (caller.key != "key2")
                continue;
            ++quiet;
            inContract += caller.firstToken && *caller.firstToken <= options.contract ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(50, quiet);
        CPPUNIT_ASSERT(inContract * 100 >= quiet * 95);
    }

    void crashingRequestAndItsResendsCostTwoEngines()
    {
        ChatFleetOptions options;
        ChatFleet fleet(options);
        for (int step = 0; step < 400; ++step) {
            if (step % 50 == 10)
                fleet.arrive(step % 7, "killer", 40, "key0", true);
            fleet.arrive(step % 7, "chat" + std::to_string(step), 40);
            fleet.runFor(milliseconds(10));
        }
        fleet.runFor(milliseconds(20000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), fleet.crashes());
        for (const auto &[id, caller] : fleet.callers()) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), caller.answers.size());
            const AnswerCaller &answer = caller.answers.front();
            if (caller.crashes)
                CPPUNIT_ASSERT(answer.error == CallerError::Quarantined);
            else
                CPPUNIT_ASSERT(answer.outcome == Outcome::Answered);
        }
    }

private:
    static ChatFleetOptions faulty(std::uint64_t seed)
    {
        ChatFleetOptions options;
        options.routers = 5;
        options.engines = 6;
        options.seed = seed;
        options.loss = 0.02;
        options.doubles = 0.05;
        options.delays = 0.05;
        return options;
    }

    /// About a third more than the engines can run.
    static void load(ChatFleet &fleet, Duration duration, int routers)
    {
        const TimePoint end = fleet.now() + duration;
        while (fleet.now() < end) {
            const auto chat = "chat" + std::to_string(fleet.random()() % 400);
            const auto key = "key" + std::to_string(fleet.random()() % 10);
            fleet.arrive(static_cast<int>(fleet.random()() % routers), chat,
                         20 + fleet.random()() % 60, key);
            fleet.runFor(Duration(fleet.random()() % 16000));
        }
    }

    static void finishAndCheck(ChatFleet &fleet, std::uint64_t seed, int killed)
    {
        fleet.runFor(milliseconds(60000));
        const std::string message = "seed " + std::to_string(seed);
        for (int engine = 0; engine < 6; ++engine) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 0U, fleet.inFlight(engine));
            CPPUNIT_ASSERT_MESSAGE(message, fleet.highest(engine) <= slotCapacity(8, 0));
        }
        for (const auto &[id, caller] : fleet.callers()) {
            if (caller.router == killed)
                CPPUNIT_ASSERT_MESSAGE(message, caller.answers.size() <= 1);
            else
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t(1), caller.answers.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChatFleetTest);
