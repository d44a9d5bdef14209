// Detection of requests that crash the servers that run them, and the period of their refusal.
#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/crashguard.h"
#include "dispatch/dispatcher.h"

using namespace comfrey;

namespace {

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(1000000 + ms));
}

const Fingerprint kRequest(7);
const Fingerprint kOtherRequest(8);

ReplicaRecord record(std::uint64_t startedAtMs, bool isDraining = false)
{
    ReplicaRecord result;
    result.id = BackendId("e1");
    result.service = ServiceName("s");
    result.address = Endpoint("127.0.0.1:1");
    result.startedAtMs = startedAtMs;
    result.isDraining = isDraining;
    result.sequence = isDraining ? 1 : 0;
    return result;
}

} // namespace

class CrashGuardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashGuardTest);
    CPPUNIT_TEST(requestIsRefusedAfterCrashingTwoServers);
    CPPUNIT_TEST(repeatedCrashOfOneIncarnationCountsOnce);
    CPPUNIT_TEST(eachFurtherCrashDoublesTheRefusalPeriod);
    CPPUNIT_TEST(successfulRequestIsClearedAndReported);
    CPPUNIT_TEST(unansweredAttemptsAtARunningServerAreNoCrash);
    CPPUNIT_TEST(terminationAfterAnUnansweredAttemptIsACrash);
    CPPUNIT_TEST(answerToAnEarlierAttemptDoesNotRuleOutACrash);
    CPPUNIT_TEST(terminationAfterTheAttemptTimeoutIsNoCrash);
    CPPUNIT_TEST(restartOfTheServerIsACrash);
    CPPUNIT_TEST(removedRecordOfASilentServerIsACrash);
    CPPUNIT_TEST(attemptThatEndsAfterTheTerminationIsACrash);
    CPPUNIT_TEST(attemptThatEndsAfterTheTerminationRetentionIsNoCrash);
    CPPUNIT_TEST(serverThatAnswersAfterItsRecordExpiredIsNotTerminated);
    CPPUNIT_TEST(announcedLeaveOfAServerIsNoCrash);
    CPPUNIT_TEST(connectTimeoutIsNoCrash);
    CPPUNIT_TEST(unresolvedAttemptsAreBounded);
    CPPUNIT_TEST(serverThatEndsUnderAbandonedAttemptIsACrash);
    CPPUNIT_TEST(abandonedAttemptOutlivesAnswersUntilItsTimeHasPassed);
    CPPUNIT_TEST(abandonedAttemptIsKeptForItsWholeTime);
    CPPUNIT_TEST(removalTooSoonAfterAbandonedAttemptIsNoCrash);
    CPPUNIT_TEST(removalUnderAttemptAbandonedAfterLongWaitIsACrash);
    CPPUNIT_TEST(partsOfAbandonedAttemptCountOnlyIfEndIsKnownSoon);
    CPPUNIT_TEST(abandonedAttemptsAskForFewChecks);
    CPPUNIT_TEST(abandonedAttemptsLeaveRoomForBrokenOnes);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestIsRefusedAfterCrashingTwoServers()
    {
        CrashGuard guard;
        CPPUNIT_ASSERT(guard.recordCrash(kRequest, "e1@1", at(0)));
        CPPUNIT_ASSERT(!isRefused(guard, kRequest, 2));
        CPPUNIT_ASSERT(guard.recordCrash(kRequest, "e2@1", at(3)));
        CPPUNIT_ASSERT(isRefused(guard, kRequest, 4));
        CPPUNIT_ASSERT(!isRefused(guard, kOtherRequest, 4));
    }

    void repeatedCrashOfOneIncarnationCountsOnce()
    {
        CrashGuard guard;
        guard.recordCrash(kRequest, "e1@1", at(0));
        CPPUNIT_ASSERT(!guard.recordCrash(kRequest, "e1@1", at(1)));
        CPPUNIT_ASSERT(!isRefused(guard, kRequest, 2));
        guard.recordCrash(kRequest, "e1@2", at(3));
        CPPUNIT_ASSERT(isRefused(guard, kRequest, 4));
    }

    void eachFurtherCrashDoublesTheRefusalPeriod()
    {
        CrashGuard guard;
        guard.recordCrash(kRequest, "e1@1", at(0));
        guard.recordCrash(kRequest, "e2@1", at(0));
        CPPUNIT_ASSERT(isRefused(guard, kRequest, 59999));
        CPPUNIT_ASSERT(!isRefused(guard, kRequest, 60000));
        guard.tick(at(60000));
        guard.recordCrash(kRequest, "e3@1", at(60000));
        CPPUNIT_ASSERT(isRefused(guard, kRequest, 179999));
        CPPUNIT_ASSERT(!isRefused(guard, kRequest, 180000));
    }

    void successfulRequestIsClearedAndReported()
    {
        CrashGuard guard;
        guard.recordCrash(kRequest, "e1@1", at(0));
        guard.onSuccess(kRequest);
        guard.onSuccess(kOtherRequest);
        const auto findings = guard.takeFindings();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), findings.size());
        CPPUNIT_ASSERT(findings.front().request == kRequest
                       && findings.front().incarnation.empty());
        guard.recordCrash(kRequest, "e2@1", at(3));
        CPPUNIT_ASSERT(!isRefused(guard, kRequest, 4));
        CrashGuard otherRouter;
        otherRouter.recordCrash(kRequest, "e1@1", at(0));
        otherRouter.onRemoteSuccess(kRequest);
        otherRouter.recordCrash(kRequest, "e2@1", at(3));
        CPPUNIT_ASSERT(!isRefused(otherRouter, kRequest, 4));
    }

    void unansweredAttemptsAtARunningServerAreNoCrash()
    {
        CrashGuard guard;
        guard.onAttemptUnanswered(kRequest, "e1@1", at(0));
        guard.onAttemptUnanswered(kOtherRequest, "e1@1", at(1));
        CPPUNIT_ASSERT(guard.takeFindings().empty());
        guard.onServerAnswered("e1@1", at(2));
        guard.onServerTerminated("e1@1", TerminationEvidence::ConnectionRefused, at(100));
        CPPUNIT_ASSERT(guard.takeFindings().empty());
    }

    void terminationAfterAnUnansweredAttemptIsACrash()
    {
        CrashGuard guard;
        guard.onAttemptUnanswered(kRequest, "e1@1", at(0));
        guard.onAttemptUnanswered(kOtherRequest, "e2@1", at(0));
        guard.onServerTerminated("e1@1", TerminationEvidence::ConnectionRefused, at(3000));
        const auto findings = guard.takeFindings();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), findings.size());
        CPPUNIT_ASSERT(findings.front().request == kRequest);
        CPPUNIT_ASSERT(findings.front().detectionDelay == milliseconds(3000));
        guard.onServerTerminated("e1@1", TerminationEvidence::Restarted, at(3100));
        CPPUNIT_ASSERT(guard.takeFindings().empty());
    }

    void answerToAnEarlierAttemptDoesNotRuleOutACrash()
    {
        CrashGuard guard;
        guard.onAttemptUnanswered(kRequest, "e1@1", at(10));
        guard.onServerAnswered("e1@1", at(9));
        guard.onServerTerminated("e1@1", TerminationEvidence::ConnectionRefused, at(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), guard.takeFindings().size());
    }

    void terminationAfterTheAttemptTimeoutIsNoCrash()
    {
        CrashGuard guard;
        guard.onAttemptUnanswered(kRequest, "e1@1", at(0));
        guard.tick(at(8001));
        guard.onServerTerminated("e1@1", TerminationEvidence::RecordRemoved, at(8002));
        CPPUNIT_ASSERT(guard.takeFindings().empty());
    }

    void restartOfTheServerIsACrash()
    {
        Dispatcher dispatcher{DispatcherSettings{}};
        dispatcher.replicas().put(record(1), at(0));
        dispatcher.crashGuard().onAttemptUnanswered(kRequest, "e1@1", at(10));
        dispatcher.replicas().put(record(2), at(2000));
        dispatcher.tick(at(2010));
        CPPUNIT_ASSERT(onlyFinding(dispatcher).evidence == TerminationEvidence::Restarted);
    }

    /// A server that lost its network sends nothing, so the attempt ends at the caller's timeout.
    void removedRecordOfASilentServerIsACrash()
    {
        Dispatcher dispatcher{DispatcherSettings{}};
        dispatcher.replicas().put(record(1), at(0));
        dispatcher.crashGuard().onAttemptUnanswered(kRequest, "e1@1", at(2500));
        dispatcher.replicas().remove(BackendId("e1"), at(4000), at(4000));
        dispatcher.tick(at(4010));
        CPPUNIT_ASSERT(onlyFinding(dispatcher).evidence == TerminationEvidence::RecordRemoved);
    }

    /// A caller may wait longer than the list of servers takes to drop its silent server.
    void attemptThatEndsAfterTheTerminationIsACrash()
    {
        CrashGuard guard;
        guard.onServerTerminated("e1@1", TerminationEvidence::RecordRemoved, at(3600));
        guard.onAttemptUnanswered(kRequest, "e1@1", at(4000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, guard.crashCount(kRequest));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, guard.takeFindings().size());
    }

    void attemptThatEndsAfterTheTerminationRetentionIsNoCrash()
    {
        CrashGuard guard;
        guard.onServerTerminated("e1@1", TerminationEvidence::RecordRemoved, at(0));
        guard.tick(at(20000));
        guard.onAttemptUnanswered(kRequest, "e1@1", at(20000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, guard.crashCount(kRequest));
    }

    void serverThatAnswersAfterItsRecordExpiredIsNotTerminated()
    {
        CrashGuard guard;
        guard.onServerTerminated("e1@1", TerminationEvidence::RecordRemoved, at(0));
        guard.onServerAnswered("e1@1", at(100));
        guard.onAttemptUnanswered(kRequest, "e1@1", at(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, guard.crashCount(kRequest));
    }

    void announcedLeaveOfAServerIsNoCrash()
    {
        Dispatcher dispatcher{DispatcherSettings{}};
        dispatcher.replicas().put(record(1), at(0));
        dispatcher.replicas().put(record(1, true), at(5));
        dispatcher.crashGuard().onAttemptUnanswered(kRequest, "e1@1", at(10));
        dispatcher.replicas().remove(BackendId("e1"), at(2000), at(2000));
        dispatcher.tick(at(2010));
        CPPUNIT_ASSERT(dispatcher.crashGuard().takeFindings().empty());
    }

    void connectTimeoutIsNoCrash()
    {
        Dispatcher dispatcher{DispatcherSettings{}};
        dispatcher.replicas().put(record(1), at(0));
        Replica &server = *dispatcher.replicas().find(BackendId("e1"));
        dispatcher.crashGuard().onAttemptUnanswered(kRequest, "e1@1", at(10));
        dispatcher.onUnreachableWithoutRequest(server, false, at(60));
        CPPUNIT_ASSERT(dispatcher.crashGuard().takeFindings().empty());
        CPPUNIT_ASSERT(server.health.isUnreachable(at(70)));
        dispatcher.onUnreachableWithoutRequest(server, true, at(80));
        CPPUNIT_ASSERT(onlyFinding(dispatcher).evidence == TerminationEvidence::ConnectionRefused);
    }

    void unresolvedAttemptsAreBounded()
    {
        CrashGuard guard;
        for (std::uint64_t request = 0; request < 10000; ++request)
            guard.onAttemptUnanswered(Fingerprint(request), "e1@1", at(0));
        guard.onServerTerminated("e1@1", TerminationEvidence::ConnectionRefused, at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4096), guard.takeFindings().size());
        guard.onAttemptUnanswered(kRequest, "e1@2", at(2));
        guard.onServerTerminated("e1@2", TerminationEvidence::ConnectionRefused, at(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), guard.takeFindings().size());
    }

    /// Review case 1: the caller leaves at 75 ms, the server ends at 150 ms.
    void serverThatEndsUnderAbandonedAttemptIsACrash()
    {
        CrashGuard guard;
        guard.onAttemptUnanswered(abandoned(), "e1@1", at(75));
        guard.onServerTerminated("e1@1", TerminationEvidence::ConnectionRefused, at(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), guard.crashCount(kRequest));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), guard.takeFindings().size());
    }

    void abandonedAttemptOutlivesAnswersUntilItsTimeHasPassed()
    {
        CrashGuard guard;
        guard.onAttemptUnanswered(abandoned(), "e1@1", at(75));
        guard.onAttemptUnanswered(abandoned(), "e2@1", at(75));
        guard.onServerAnswered("e1@1", at(100));
        guard.onServerAnswered("e2@1", at(2500));
        guard.onServerTerminated("e1@1", TerminationEvidence::ConnectionRefused, at(150));
        guard.onServerTerminated("e2@1", TerminationEvidence::ConnectionRefused, at(2600));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), guard.takeFindings().size());
    }

    /// Sent with 15 s for its run; its caller leaves at 0.1 s.
    void abandonedAttemptIsKeptForItsWholeTime()
    {
        for (const std::int64_t end : {10000, 23000, 23100}) {
            CrashGuard guard;
            guard.onAttemptUnanswered({kRequest, {}, at(0), at(15000)}, "e1@1", at(100));
            for (std::int64_t ms = 100; ms <= end; ms += 100)
                guard.tick(at(ms));
            guard.onServerTerminated("e1@1", TerminationEvidence::ConnectionRefused, at(end));
            CPPUNIT_ASSERT_EQUAL(std::size_t(end <= 23000 ? 1 : 0), guard.takeFindings().size());
        }
    }

    /// The list drops a server some heartbeats after its end, which was before the request then.
    void removalTooSoonAfterAbandonedAttemptIsNoCrash()
    {
        CrashGuard guard;
        guard.onAttemptUnanswered(abandoned(), "e1@1", at(75));
        guard.onAttemptUnanswered(abandoned(), "e2@1", at(75));
        guard.onServerTerminated("e1@1", TerminationEvidence::RecordRemoved, at(1999));
        guard.onServerTerminated("e2@1", TerminationEvidence::RecordRemoved, at(3600));
        guard.onServerTerminated("e3@1", TerminationEvidence::RecordRemoved, at(60));
        guard.onAttemptUnanswered(abandoned(), "e3@1", at(75));
        const auto findings = guard.takeFindings();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), findings.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e2@1"), findings.front().incarnation);
    }

    void removalUnderAttemptAbandonedAfterLongWaitIsACrash()
    {
        CrashGuard guard;
        UnansweredAttempt attempt = abandoned();
        attempt.suspectParts = {PromptPartId(1)};
        guard.onServerTerminated("e1@1", TerminationEvidence::RecordRemoved, at(600));
        guard.onAttemptUnanswered(attempt, "e1@1", at(1300));
        guard.onAttemptUnanswered(attempt, "e2@1", at(1300));
        guard.onServerTerminated("e2@1", TerminationEvidence::RecordRemoved, at(1600));
        const auto findings = guard.takeFindings();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), findings.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), findings.back().suspectParts.size());
    }

    void partsOfAbandonedAttemptCountOnlyIfEndIsKnownSoon()
    {
        CrashGuard guard;
        for (const char *server : {"e1@1", "e2@1", "e3@1"}) {
            UnansweredAttempt attempt = abandoned();
            attempt.suspectParts = {PromptPartId(1)};
            guard.onAttemptUnanswered(std::move(attempt), server, at(75));
        }
        guard.onServerTerminated("e1@1", TerminationEvidence::ConnectionRefused, at(1075));
        guard.onServerTerminated("e2@1", TerminationEvidence::ConnectionRefused, at(1076));
        guard.onServerTerminated("e3@1", TerminationEvidence::Restarted, at(1000));
        const auto findings = guard.takeFindings();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), findings.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), findings[0].suspectParts.size());
        CPPUNIT_ASSERT(findings[1].suspectParts.empty() && findings[2].suspectParts.empty());
    }

    void abandonedAttemptsAskForFewChecks()
    {
        CrashGuard guard;
        guard.onAttemptUnanswered(kRequest, "e0@1", at(75));
        for (const char *server : {"e1@1", "e2@1", "e3@1"})
            guard.onAttemptUnanswered(abandoned(), server, at(75));
        CPPUNIT_ASSERT(guard.takeDueChecks(at(374)).empty());
        guard.onServerAnswered("e3@1", at(300)); // Its check moves to 600 ms.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), guard.takeDueChecks(at(375)).size());
        CPPUNIT_ASSERT(guard.takeDueChecks(at(376)).empty());
        std::size_t checks = 0;
        for (std::int64_t ms = 400; ms < 8000; ms += 100)
            checks += guard.takeDueChecks(at(ms)).size();
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), checks); // 3 more, 3 more, 4.
    }

    void abandonedAttemptsLeaveRoomForBrokenOnes()
    {
        CrashGuard guard;
        for (int count = 0; count < 10000; ++count)
            guard.onAttemptUnanswered(abandoned(), "e1@1", at(75));
        guard.onAttemptUnanswered(kOtherRequest, "e2@1", at(76));
        guard.onServerTerminated("e2@1", TerminationEvidence::ConnectionRefused, at(80));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), guard.takeFindings().size());
    }

private:
    /// Sent at 0 with 2.5 s for its run.
    static UnansweredAttempt abandoned() { return {kRequest, {}, at(0), at(2500)}; }

    static bool isRefused(const CrashGuard &guard, Fingerprint request, std::int64_t ms)
    {
        return guard.remainingRefusal(request, at(ms)) > Duration(0);
    }

    static CrashFinding onlyFinding(Dispatcher &dispatcher)
    {
        const auto findings = dispatcher.crashGuard().takeFindings();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), findings.size());
        return findings.front();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashGuardTest);
