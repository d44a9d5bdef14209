// Calls that may not be repeated, in scripted failures; among them the two incidents of the brief.
#include <cppunit/extensions/HelperMacros.h>

#include "support/changes.h"
#include "support/fakefleet.h"

using namespace comfrey;
using namespace comfrey::test;

class AtMostOnceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AtMostOnceTest);
    CPPUNIT_TEST(truckCallRetriedAfterRouterDiedRunsOnceAndOtherKeeperIsServed);
    CPPUNIT_TEST(familiesRetryingAfterLostAppendAnswersPayOnceEach);
    CPPUNIT_TEST(callDuringLogOutageIsNotRunAndNeverRunsLater);
    CPPUNIT_TEST(callLongIntoLogOutageIsNotRunAtOnce);
    CPPUNIT_TEST(claimAppendedAfterItWasGivenUpFreesTheKey);
    CPPUNIT_TEST(keyWithOtherBodyIsRefused);
    CPPUNIT_TEST(callWithoutKeyIsRefused);
    CPPUNIT_TEST(keyOlderThanLifetimeIsRefused);
    CPPUNIT_TEST(callRefusedUnstartedGoesToOtherReplica);
    CPPUNIT_TEST(repeatableCallOnBrokenReplicaIsAnsweredByOther);
    CPPUNIT_TEST(retryWhileFirstCallRunsIsToldSo);
    CPPUNIT_TEST(routerPausedBeforeSendingRunsOnceAfterItWakes);
    CPPUNIT_TEST(gracefulStopEndsCallsAndRecordsOutcomes);
    CPPUNIT_TEST(routerStartedAfterRetentionRefusesOldKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        Settings &settings = fleet.routerSettings();
        settings.outcome.partitions = 2;
        settings.outcome.claimTimeoutMs = 800;
        fleet.publish(change("start", {plan("c1", "gold"), plan("c2", "gold")},
                             {entitlement("gold", {}, {"dispatch"})}));
        for (const char *replica : {"s1", "s2"}) {
            ServiceOptions options;
            options.id = replica;
            fleet.addService(options);
        }
        for (const char *router : {"r1", "r2", "r3"})
            fleet.addRouter(router);
        fleet.runFor(milliseconds(4000));
    }

    void truckCallRetriedAfterRouterDiedRunsOnceAndOtherKeeperIsServed()
    {
        slowServices(milliseconds(300));
        fleet.submit("r1", callRequest("c1", key("truck")));
        runUntilRuns(key("truck"), 1);
        fleet.killRouter("r1");
        const RequestId retry = fleet.submit("r2", callRequest("c1", key("truck")));
        const RequestId other = fleet.submit("r2", callRequest("c2", key("other")));
        fleet.runFor(milliseconds(10000));
        const RequestId last = fleet.submit("r3", callRequest("c1", key("truck")));
        fleet.runFor(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(1U, runs("c1", key("truck")));
        CPPUNIT_ASSERT_EQUAL(1U, runs("c2", key("other")));
        CPPUNIT_ASSERT(told(retry) == Outcome::Unknown);
        CPPUNIT_ASSERT(told(last) == Outcome::Unknown);
        CPPUNIT_ASSERT(told(other) == Outcome::Answered);
        assertNoViolation();
    }

    void familiesRetryingAfterLostAppendAnswersPayOnceEach()
    {
        fleet.log().faults().loseAnswers = 1;
        fleet.log().faults().doublesAppends = 1;
        const RequestId first = fleet.submit("r1", callRequest("c1", key("entry")));
        const RequestId second = fleet.submit("r2", callRequest("c2", key("entry")));
        const RequestId retry = fleet.submit("r3", callRequest("c1", key("entry")));
        fleet.submit("r3", callRequest("c2", key("entry")));
        fleet.runFor(milliseconds(5000));
        const RequestId late = fleet.submit("r2", callRequest("c1", key("entry")));
        fleet.runFor(milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(1U, runs("c1", key("entry")));
        CPPUNIT_ASSERT_EQUAL(1U, runs("c2", key("entry")));
        CPPUNIT_ASSERT(told(first) == Outcome::Answered || told(retry) == Outcome::Answered);
        CPPUNIT_ASSERT(fleet.answer(second).answer.has_value());
        CPPUNIT_ASSERT(told(late) == Outcome::Answered);
        assertNoViolation();
    }

    void callDuringLogOutageIsNotRunAndNeverRunsLater()
    {
        fleet.log().faults().down = true;
        const RequestId call = fleet.submit("r1", callRequest("c1", key("a")));
        fleet.runFor(milliseconds(1000));
        CPPUNIT_ASSERT(told(call) == Outcome::NotRun);
        CPPUNIT_ASSERT(error(call) == CallerError::LogUnavailable);
        fleet.log().faults().down = false;
        fleet.runFor(milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(0U, runs("c1", key("a")));
    }

    void callLongIntoLogOutageIsNotRunAtOnce()
    {
        fleet.log().faults().down = true;
        fleet.runFor(milliseconds(4000));
        const RequestId call = fleet.submit("r1", callRequest("c1", key("a")));
        fleet.runFor(milliseconds(50));
        CPPUNIT_ASSERT(error(call) == CallerError::LogUnavailable);
        fleet.log().faults().down = false;
        fleet.runFor(milliseconds(5000));
        const RequestId retry = fleet.submit("r1", callRequest("c1", key("a")));
        fleet.runFor(milliseconds(1000));
        CPPUNIT_ASSERT(told(retry) == Outcome::Answered);
    }

    void claimAppendedAfterItWasGivenUpFreesTheKey()
    {
        fleet.log().faults().lateAppends = 1;
        const RequestId call = fleet.submit("r1", callRequest("c1", key("a")));
        fleet.runFor(milliseconds(1500));
        CPPUNIT_ASSERT(told(call) == Outcome::NotRun);
        fleet.log().faults().lateAppends = 0;
        fleet.runFor(milliseconds(8000));
        CPPUNIT_ASSERT_EQUAL(0U, runs("c1", key("a")));
        const RequestId retry = fleet.submit("r2", callRequest("c1", key("a")));
        fleet.runFor(milliseconds(2000));
        CPPUNIT_ASSERT(told(retry) == Outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(1U, runs("c1", key("a")));
    }

    void keyWithOtherBodyIsRefused()
    {
        fleet.submit("r1", callRequest("c1", key("a")));
        fleet.runFor(milliseconds(1000));
        CallerRequest other = callRequest("c1", key("a"));
        other.fingerprint = Fingerprint(1);
        const RequestId call = fleet.submit("r2", other);
        fleet.runFor(milliseconds(1000));
        CPPUNIT_ASSERT(error(call) == CallerError::KeyReused);
        CPPUNIT_ASSERT_EQUAL(1U, runs("c1", key("a")));
    }

    void callWithoutKeyIsRefused()
    {
        const RequestId call = fleet.submit("r1", callRequest("c1", ""));
        fleet.runFor(milliseconds(100));
        CPPUNIT_ASSERT(error(call) == CallerError::KeyRequired);
        CPPUNIT_ASSERT(told(call) == Outcome::NotRun);
    }

    void keyOlderThanLifetimeIsRefused()
    {
        const RequestId call = fleet.submit("r1", callRequest("c1", "1796300000000-old"));
        fleet.runFor(milliseconds(100));
        CPPUNIT_ASSERT(error(call) == CallerError::KeyExpired);
        CPPUNIT_ASSERT_EQUAL(0U, runs("c1", "1796300000000-old"));
    }

    void callRefusedUnstartedGoesToOtherReplica()
    {
        fleet.service("s1").faults().fault = ServiceFault::Refuse;
        for (int at = 0; at < 8; ++at)
            fleet.submit("r1", callRequest("c1", key(std::to_string(at))));
        fleet.runFor(milliseconds(2000));
        for (int at = 0; at < 8; ++at)
            CPPUNIT_ASSERT_EQUAL(1U, runs("c1", key(std::to_string(at))));
        assertNoViolation();
    }

    void repeatableCallOnBrokenReplicaIsAnsweredByOther()
    {
        fleet.crashBackend("s1");
        CallerRequest request = callRequest("c1", "");
        request.mayRepeat = true;
        for (int at = 0; at < 4; ++at) {
            const RequestId call = fleet.submit("r1", request);
            fleet.runFor(milliseconds(500));
            CPPUNIT_ASSERT(told(call) == Outcome::Answered);
        }
    }

    void retryWhileFirstCallRunsIsToldSo()
    {
        slowServices(milliseconds(2000));
        fleet.submit("r1", callRequest("c1", key("a")));
        runUntilRuns(key("a"), 1);
        const RequestId retry = fleet.submit("r2", callRequest("c1", key("a")));
        fleet.runFor(milliseconds(700));
        CPPUNIT_ASSERT(error(retry) == CallerError::StillRunning);
        CPPUNIT_ASSERT(told(retry) == Outcome::Unknown);
    }

    void routerPausedBeforeSendingRunsOnceAfterItWakes()
    {
        fleet.submit("r1", callRequest("c1", key("a")));
        fleet.pauseRouter("r1");
        fleet.runFor(milliseconds(30000));
        fleet.submit("r2", callRequest("c1", key("a")));
        fleet.runFor(milliseconds(1000));
        fleet.resumeRouter("r1");
        fleet.runFor(milliseconds(5000));
        const RequestId last = fleet.submit("r3", callRequest("c1", key("a")));
        fleet.runFor(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(1U, runs("c1", key("a")));
        CPPUNIT_ASSERT(told(last) == Outcome::Answered);
        assertNoViolation();
    }

    void gracefulStopEndsCallsAndRecordsOutcomes()
    {
        slowServices(milliseconds(700));
        const RequestId call = fleet.submit("r1", callRequest("c1", key("a")));
        runUntilRuns(key("a"), 1);
        fleet.stopRouter("r1");
        fleet.runFor(milliseconds(200));
        CPPUNIT_ASSERT(!fleet.hasStopped("r1"));
        fleet.runFor(milliseconds(3000));
        CPPUNIT_ASSERT(fleet.hasStopped("r1"));
        CPPUNIT_ASSERT(told(call) == Outcome::Answered);
        const RequestId retry = fleet.submit("r2", callRequest("c1", key("a")));
        fleet.runFor(milliseconds(2000));
        CPPUNIT_ASSERT(told(retry) == Outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(1U, runs("c1", key("a")));
        assertNoViolation();
    }

    void routerStartedAfterRetentionRefusesOldKeys()
    {
        fleet.log().setRetention(4);
        fleet.submit("r1", callRequest("c1", key("a")));
        fleet.runFor(milliseconds(1000));
        for (int at = 0; at < 30; ++at) {
            fleet.submit("r1", callRequest("c1", key("filler" + std::to_string(at))));
            fleet.runFor(milliseconds(300));
        }
        for (const char *router : {"r1", "r2", "r3"}) {
            fleet.killRouter(router);
            fleet.restartRouter(router);
        }
        fleet.runFor(milliseconds(6000));
        const RequestId retry = fleet.submit("r2", callRequest("c1", key("a")));
        fleet.runFor(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(1U, runs("c1", key("a")));
        CPPUNIT_ASSERT(error(retry) == CallerError::KeyExpired);
        CPPUNIT_ASSERT(told(retry) == Outcome::Unknown);
    }

private:
    std::string key(const std::string &name) const { return "1796342400000-" + name; }

    std::uint32_t runs(const std::string &customer, const std::string &idempotencyKey) const
    {
        const auto found =
            fleet.runs().find({keyHash("key-" + customer), IdempotencyKey(idempotencyKey)});
        return found == fleet.runs().end() ? 0 : found->second;
    }

    void runUntilRuns(const std::string &idempotencyKey, std::uint32_t wanted)
    {
        for (int at = 0; at < 2000 && runs("c1", idempotencyKey) < wanted; ++at)
            fleet.runFor(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(wanted, runs("c1", idempotencyKey));
    }

    void slowServices(Duration lateBy)
    {
        for (const char *replica : {"s1", "s2"})
            fleet.service(replica).faults().lateBy = lateBy;
    }

    Outcome told(const RequestId &id) const { return fleet.answer(id).answer.value().outcome; }
    CallerError error(const RequestId &id) const { return fleet.answer(id).answer.value().error; }

    void assertNoViolation() const
    {
        const Violations &seen = fleet.violations();
        const std::string text = seen.texts.empty() ? "" : seen.texts.front();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t(0), seen.texts.size());
        CPPUNIT_ASSERT_EQUAL(0U, fleet.repeatedRuns());
    }

    FakeFleet fleet{7}; // NOLINT(readability-identifier-naming)
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);
