// Time from a write to the platform's store until every router has it, while routers fail. Runs
// under scripted time, without a network.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <random>

#include "scriptedfleet.h"

using namespace comfrey;
using namespace comfrey::test;

namespace {

const std::vector<int> kSmallFleet = {2, 2, 1, 1};
const std::vector<Duration> kLimits = {milliseconds(2000), milliseconds(3000), milliseconds(4000)};

std::string text(Duration duration)
{
    return std::to_string(duration.count() / 1000) + " ms";
}

} // namespace

class UpdateDelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpdateDelayTest);
    CPPUNIT_TEST(readerIsCutOffWhileItsSuccessorIsFrozen);
    CPPUNIT_TEST(storeAnswersTheReaderJustWithinItsTimeout);
    CPPUNIT_TEST(frozenReaderWakesAndAnswersHeldPolls);
    CPPUNIT_TEST(answersOfTheReaderTakeLong);
    CPPUNIT_TEST(anyTwoFaultsDelayNoOtherRouter);
    CPPUNIT_TEST(onlyOneRouterReadsTheStoreInCalm);
    CPPUNIT_TEST(stoppingRouterStaysUpToDate);
    CPPUNIT_TEST(stoppingReaderStaysUpToDate);
    CPPUNIT_TEST(allRoutersStopAtOnceAndStayUpToDate);
    CPPUNIT_TEST(storeIsSilentForAWhileDuringTheStop);
    CPPUNIT_TEST(stoppingRouterIsNobodysUpstream);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against waits for one router after the other that add up to more than the limit: the
    /// router that reads the store is silently cut off from it, and the next one does not answer.
    void readerIsCutOffWhileItsSuccessorIsFrozen()
    {
        for (const Duration limit : kLimits) {
            for (std::uint64_t seed = 1; seed <= 100; ++seed) {
                std::mt19937_64 random(seed);
                ScriptedFleet fleet(kSmallFleet, limit, seed);
                ScriptedRouter &reader = fleet.settle();
                ScriptedRouter &successor = fleet.successorOf(reader);
                // Just after an outage the store's reads are given more time.
                reader.isCutFromStore = seed % 2 == 0;
                fleet.runFor(milliseconds(1600));
                reader.isCutFromStore = false;
                fleet.runFor(milliseconds(5500));
                fleet.runFor(milliseconds(static_cast<std::int64_t>(random() % 1000)));
                fleet.store.append();
                fleet.runFor(milliseconds(20));
                reader.isCutFromStore = true;
                successor.freeze();
                fleet.runFor(milliseconds(20));
                checkDelay(fleet, {&reader, &successor}, seed);
            }
        }
    }

    /// Guards against a reader that counts as up to date while each of its reads takes almost as
    /// long as is allowed.
    void storeAnswersTheReaderJustWithinItsTimeout()
    {
        for (const Duration limit : kLimits) {
            for (std::uint64_t seed = 1; seed <= 30; ++seed) {
                ScriptedFleet fleet(kSmallFleet, limit, seed);
                ScriptedRouter &reader = fleet.settle();
                reader.isCutFromStore = true;
                fleet.runFor(milliseconds(1600));
                reader.isCutFromStore = false;
                fleet.runFor(milliseconds(3000));
                reader.storeDelay = milliseconds(seed % 2 == 0 ? 1400 : 590);
                fleet.runFor(milliseconds(static_cast<std::int64_t>(50 * seed)));
                checkDelay(fleet, {&reader}, seed);
            }
        }
    }

    /// Guards against a router that passes on what it read before it stood still as confirmed now.
    void frozenReaderWakesAndAnswersHeldPolls()
    {
        for (const Duration limit : kLimits) {
            for (std::int64_t phase = 0; phase < 1500; phase += 50) {
                ScriptedFleet fleet(kSmallFleet, limit, static_cast<std::uint64_t>(phase));
                ScriptedRouter &reader = fleet.settle();
                fleet.runFor(milliseconds(phase));
                reader.freeze();
                fleet.runFor(milliseconds(20));
                const std::size_t record = fleet.store.append();
                fleet.runFor(milliseconds(100 + phase % 700));
                reader.wake();
                fleet.runFor(fleet.applyLimit + milliseconds(500));
                checkDelayOf(record, fleet, {&reader}, static_cast<std::uint64_t>(phase));
            }
        }
    }

    /// Guards against waits without an end for an upstream whose answers go on, as those to a new
    /// follower do on a slow link.
    void answersOfTheReaderTakeLong()
    {
        forEachLimitAndSeed([](ScriptedFleet &fleet, ScriptedRouter &reader, std::uint64_t seed) {
            reader.answerDuration = milliseconds(4000);
            checkDelay(fleet, {&reader}, seed);
        });
    }

    void anyTwoFaultsDelayNoOtherRouter()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            std::mt19937_64 random(seed);
            ScriptedFleet fleet(kSmallFleet, kLimits[random() % kLimits.size()], seed);
            ScriptedRouter *const reader = &fleet.settle();
            std::vector<const ScriptedRouter *> harmed;
            for (int fault = 0; fault < 2; ++fault) {
                fleet.runFor(milliseconds(static_cast<std::int64_t>(random() % 1000)));
                // Half of the faults concern the reader, on which all depend.
                ScriptedRouter &router =
                    random() % 2 == 0 ? *reader : *fleet.routers[random() % fleet.routers.size()];
                harmed.push_back(&router);
                harm(router, random() % 5);
            }
            fleet.runFor(milliseconds(static_cast<std::int64_t>(random() % 1000)));
            checkDelay(fleet, harmed, seed);
        }
    }

    /// The waits of polls and reads leave the age below that at which a router reads the store.
    void onlyOneRouterReadsTheStoreInCalm()
    {
        for (const Duration limit : kLimits) {
            for (const std::vector<int> &sizes :
                 {kSmallFleet, std::vector<int>{8, 8, 7, 7}, std::vector<int>{25, 25, 25, 25}}) {
                ScriptedFleet fleet(sizes, limit, sizes.size());
                ScriptedRouter &reader = fleet.settle();
                const int before = readingsBegun(fleet);
                for (int round = 0; round < 5; ++round) {
                    fleet.runFor(milliseconds(1370));
                    checkDelay(fleet, {}, static_cast<std::uint64_t>(round));
                }
                CPPUNIT_ASSERT_EQUAL(before, readingsBegun(fleet));
                CPPUNIT_ASSERT_EQUAL(&reader, fleet.storeReader());
            }
        }
    }

    /// Guards against a router that hears nothing new from the SIGTERM on, though its requests run
    /// for seconds and are retried and resumed.
    void stoppingRouterStaysUpToDate()
    {
        forEachLimitAndSeed([](ScriptedFleet &fleet, ScriptedRouter &reader, std::uint64_t seed) {
            for (const auto &router : fleet.routers) {
                if (router.get() != &reader && router->name() != fleet.successorOf(reader).name()) {
                    router->stop();
                    break;
                }
            }
            checkDelaysForGrace(fleet, seed);
        });
    }

    void stoppingReaderStaysUpToDate()
    {
        forEachLimitAndSeed([](ScriptedFleet &fleet, ScriptedRouter &reader, std::uint64_t seed) {
            reader.stop();
            checkDelaysForGrace(fleet, seed);
        });
    }

    /// Nobody is left to follow, so each router reads the store itself.
    void allRoutersStopAtOnceAndStayUpToDate()
    {
        forEachLimitAndSeed([](ScriptedFleet &fleet, ScriptedRouter &, std::uint64_t seed) {
            for (const auto &router : fleet.routers)
                router->stop();
            checkDelaysForGrace(fleet, seed);
        });
    }

    void storeIsSilentForAWhileDuringTheStop()
    {
        forEachLimitAndSeed([](ScriptedFleet &fleet, ScriptedRouter &reader, std::uint64_t seed) {
            reader.stop();
            fleet.successorOf(reader).stop();
            for (const auto &router : fleet.routers)
                router->isCutFromStore = true;
            fleet.runFor(milliseconds(2000));
            for (const auto &router : fleet.routers)
                router->isCutFromStore = false;
            fleet.runFor(kStableWindow);
            checkDelay(fleet, {}, seed);
        });
    }

    /// Also not while it reads the store itself.
    void stoppingRouterIsNobodysUpstream()
    {
        forEachLimitAndSeed([](ScriptedFleet &fleet, ScriptedRouter &reader, std::uint64_t) {
            reader.stop();
            fleet.runFor(milliseconds(200));
            for (int step = 0; step < 80; ++step) {
                fleet.runFor(milliseconds(100));
                for (const auto &router : fleet.routers) {
                    const auto &upstream = router->sync().upstream();
                    CPPUNIT_ASSERT(!upstream || upstream->name != reader.name());
                }
            }
        });
    }

private:
    static constexpr Duration kStableWindow = milliseconds(3000); // the shortest of the platform
    static constexpr Duration kGrace = milliseconds(8000);

    /// Calls `play` with settled fleets and their readers.
    static void forEachLimitAndSeed(
        const std::function<void(ScriptedFleet &, ScriptedRouter &, std::uint64_t)> &play)
    {
        for (const Duration limit : kLimits) {
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                ScriptedFleet fleet(kSmallFleet, limit, seed);
                ScriptedRouter &reader = fleet.settle();
                fleet.runFor(milliseconds(static_cast<std::int64_t>(37 * seed)));
                play(fleet, reader, seed);
            }
        }
    }

    /// Checks the delays of records that are appended from now on until the end of a stop.
    static void checkDelaysForGrace(ScriptedFleet &fleet, std::uint64_t seed)
    {
        const TimePoint end = fleet.queue.now() + kGrace;
        while (fleet.queue.now() < end) {
            fleet.runFor(milliseconds(130));
            checkDelay(fleet, {}, seed);
        }
    }

    /// Appends a record and checks that all routers but `except` have it in time.
    static void checkDelay(ScriptedFleet &fleet, const std::vector<const ScriptedRouter *> &except,
                           std::uint64_t seed)
    {
        const std::size_t record = fleet.store.append();
        fleet.runFor(fleet.applyLimit + milliseconds(500));
        checkDelayOf(record, fleet, except, seed);
    }

    static void checkDelayOf(std::size_t record, ScriptedFleet &fleet,
                             const std::vector<const ScriptedRouter *> &except, std::uint64_t seed)
    {
        const Duration longest = fleet.longestDelay(record, except);
        CPPUNIT_ASSERT_MESSAGE("after " + text(longest) + ", limit " + text(fleet.applyLimit)
                                   + ", seed " + std::to_string(seed),
                               longest <= fleet.applyLimit);
    }

    static void harm(ScriptedRouter &router, std::uint64_t kind)
    {
        switch (kind) {
        case 0:
            router.freeze();
            break;
        case 1:
            router.isCutFromStore = true;
            break;
        case 2:
            router.isCutFromRouters = true;
            break;
        case 3:
            router.storeDelay = milliseconds(590);
            break;
        default:
            router.answerDuration = milliseconds(4000);
        }
    }

    static int readingsBegun(const ScriptedFleet &fleet)
    {
        int count = 0;
        for (const auto &router : fleet.routers)
            count += router->storeReadingsBegun;
        return count;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpdateDelayTest);
