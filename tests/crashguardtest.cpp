// What shows that a request crashes the servers that run it, and for how long it is refused.
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
const Fingerprint kOther(8);

ReplicaRecord record(std::uint64_t born, bool isDraining = false)
{
    ReplicaRecord result;
    result.id = BackendId("e1");
    result.service = ServiceName("s");
    result.address = Endpoint("127.0.0.1:1");
    result.startedAtMs = born;
    result.isDraining = isDraining;
    result.sequence = isDraining ? 1 : 0;
    return result;
}

} // namespace

class CrashGuardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashGuardTest);
    CPPUNIT_TEST(requestThatCrashedTwoServersIsRefused);
    CPPUNIT_TEST(sameServerCountsOnce);
    CPPUNIT_TEST(eachFurtherCrashDoublesTheTerm);
    CPPUNIT_TEST(requestThatRanWellIsClearedAndTold);
    CPPUNIT_TEST(brokenSendingsAtALivingServerAreNoCrash);
    CPPUNIT_TEST(serverThatEndsAfterABrokenSendingHasCrashed);
    CPPUNIT_TEST(answerToAnEarlierSendingSaysNothing);
    CPPUNIT_TEST(serverThatEndsMuchLaterSaysNothing);
    CPPUNIT_TEST(laterStartOfTheServerShowsItsEnd);
    CPPUNIT_TEST(removedRecordShowsTheEndOfASilentServer);
    CPPUNIT_TEST(sendingThatEndsAfterItsServerDidIsACrash);
    CPPUNIT_TEST(sendingThatEndsLongAfterItsServerDidIsNone);
    CPPUNIT_TEST(serverThatAnswersAfterItsRecordLapsedHasNotEnded);
    CPPUNIT_TEST(serverThatLeavesHasNotCrashed);
    CPPUNIT_TEST(connectionThatTimesOutIsNoCrash);
    CPPUNIT_TEST(openQuestionsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestThatCrashedTwoServersIsRefused()
    {
        CrashGuard guard;
        CPPUNIT_ASSERT(guard.onCrash(kRequest, "e1@1", at(0)));
        CPPUNIT_ASSERT(!isRefused(guard, kRequest, 2));
        CPPUNIT_ASSERT(guard.onCrash(kRequest, "e2@1", at(3)));
        CPPUNIT_ASSERT(isRefused(guard, kRequest, 4));
        CPPUNIT_ASSERT(!isRefused(guard, kOther, 4));
    }

    void sameServerCountsOnce()
    {
        CrashGuard guard;
        guard.onCrash(kRequest, "e1@1", at(0));
        CPPUNIT_ASSERT(!guard.onCrash(kRequest, "e1@1", at(1)));
        CPPUNIT_ASSERT(!isRefused(guard, kRequest, 2));
        guard.onCrash(kRequest, "e1@2", at(3));
        CPPUNIT_ASSERT(isRefused(guard, kRequest, 4));
    }

    void eachFurtherCrashDoublesTheTerm()
    {
        CrashGuard guard;
        guard.onCrash(kRequest, "e1@1", at(0));
        guard.onCrash(kRequest, "e2@1", at(0));
        CPPUNIT_ASSERT(isRefused(guard, kRequest, 59999));
        CPPUNIT_ASSERT(!isRefused(guard, kRequest, 60000));
        guard.tick(at(60000));
        guard.onCrash(kRequest, "e3@1", at(60000));
        CPPUNIT_ASSERT(isRefused(guard, kRequest, 179999));
        CPPUNIT_ASSERT(!isRefused(guard, kRequest, 180000));
    }

    void requestThatRanWellIsClearedAndTold()
    {
        CrashGuard guard;
        guard.onCrash(kRequest, "e1@1", at(0));
        guard.onSuccess(kRequest);
        guard.onSuccess(kOther);
        const auto notices = guard.takeNotices();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notices.size());
        CPPUNIT_ASSERT(notices.front().request == kRequest && notices.front().server.empty());
        guard.onCrash(kRequest, "e2@1", at(3));
        CPPUNIT_ASSERT(!isRefused(guard, kRequest, 4));
        CrashGuard elsewhere;
        elsewhere.onCrash(kRequest, "e1@1", at(0));
        elsewhere.onCleared(kRequest);
        elsewhere.onCrash(kRequest, "e2@1", at(3));
        CPPUNIT_ASSERT(!isRefused(elsewhere, kRequest, 4));
    }

    void brokenSendingsAtALivingServerAreNoCrash()
    {
        CrashGuard guard;
        guard.onUnanswered(kRequest, "e1@1", at(0));
        guard.onUnanswered(kOther, "e1@1", at(1));
        CPPUNIT_ASSERT(guard.takeNotices().empty());
        guard.onAnswered("e1@1", at(2));
        guard.onServerEnded("e1@1", EndEvidence::ConnectionRefused, at(100));
        CPPUNIT_ASSERT(guard.takeNotices().empty());
    }

    void serverThatEndsAfterABrokenSendingHasCrashed()
    {
        CrashGuard guard;
        guard.onUnanswered(kRequest, "e1@1", at(0));
        guard.onUnanswered(kOther, "e2@1", at(0));
        guard.onServerEnded("e1@1", EndEvidence::ConnectionRefused, at(3000));
        const auto notices = guard.takeNotices();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notices.size());
        CPPUNIT_ASSERT(notices.front().request == kRequest);
        CPPUNIT_ASSERT(notices.front().after == milliseconds(3000));
        guard.onServerEnded("e1@1", EndEvidence::Restarted, at(3100));
        CPPUNIT_ASSERT(guard.takeNotices().empty());
    }

    void answerToAnEarlierSendingSaysNothing()
    {
        CrashGuard guard;
        guard.onUnanswered(kRequest, "e1@1", at(10));
        guard.onAnswered("e1@1", at(9));
        guard.onServerEnded("e1@1", EndEvidence::ConnectionRefused, at(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), guard.takeNotices().size());
    }

    void serverThatEndsMuchLaterSaysNothing()
    {
        CrashGuard guard;
        guard.onUnanswered(kRequest, "e1@1", at(0));
        guard.tick(at(8001));
        guard.onServerEnded("e1@1", EndEvidence::Unlisted, at(8002));
        CPPUNIT_ASSERT(guard.takeNotices().empty());
    }

    void laterStartOfTheServerShowsItsEnd()
    {
        Dispatcher dispatcher{DispatcherSettings{}};
        dispatcher.replicas().put(record(1), at(0));
        dispatcher.crashGuard().onUnanswered(kRequest, "e1@1", at(10));
        dispatcher.replicas().put(record(2), at(2000));
        dispatcher.tick(at(2010));
        CPPUNIT_ASSERT(onlyNotice(dispatcher).evidence == EndEvidence::Restarted);
    }

    /// A server that went dark sends nothing: the request ended at its time limit.
    void removedRecordShowsTheEndOfASilentServer()
    {
        Dispatcher dispatcher{DispatcherSettings{}};
        dispatcher.replicas().put(record(1), at(0));
        dispatcher.crashGuard().onUnanswered(kRequest, "e1@1", at(2500));
        dispatcher.replicas().remove(BackendId("e1"), at(4000), at(4000));
        dispatcher.tick(at(4010));
        CPPUNIT_ASSERT(onlyNotice(dispatcher).evidence == EndEvidence::Unlisted);
    }

    /// A caller may wait longer than the list needs to show that its silent server has ended.
    void sendingThatEndsAfterItsServerDidIsACrash()
    {
        CrashGuard guard;
        guard.onServerEnded("e1@1", EndEvidence::Unlisted, at(3600));
        guard.onUnanswered(kRequest, "e1@1", at(4000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, guard.crashCount(kRequest));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, guard.takeNotices().size());
    }

    void sendingThatEndsLongAfterItsServerDidIsNone()
    {
        CrashGuard guard;
        guard.onServerEnded("e1@1", EndEvidence::Unlisted, at(0));
        guard.tick(at(20000));
        guard.onUnanswered(kRequest, "e1@1", at(20000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, guard.crashCount(kRequest));
    }

    void serverThatAnswersAfterItsRecordLapsedHasNotEnded()
    {
        CrashGuard guard;
        guard.onServerEnded("e1@1", EndEvidence::Unlisted, at(0));
        guard.onAnswered("e1@1", at(100));
        guard.onUnanswered(kRequest, "e1@1", at(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, guard.crashCount(kRequest));
    }

    void serverThatLeavesHasNotCrashed()
    {
        Dispatcher dispatcher{DispatcherSettings{}};
        dispatcher.replicas().put(record(1), at(0));
        dispatcher.replicas().put(record(1, true), at(5));
        dispatcher.crashGuard().onUnanswered(kRequest, "e1@1", at(10));
        dispatcher.replicas().remove(BackendId("e1"), at(2000), at(2000));
        dispatcher.tick(at(2010));
        CPPUNIT_ASSERT(dispatcher.crashGuard().takeNotices().empty());
    }

    void connectionThatTimesOutIsNoCrash()
    {
        Dispatcher dispatcher{DispatcherSettings{}};
        dispatcher.replicas().put(record(1), at(0));
        Replica &server = *dispatcher.replicas().find(BackendId("e1"));
        dispatcher.crashGuard().onUnanswered(kRequest, "e1@1", at(10));
        dispatcher.onUnreachableWithoutRequest(server, false, at(60));
        CPPUNIT_ASSERT(dispatcher.crashGuard().takeNotices().empty());
        CPPUNIT_ASSERT(server.health.isUnreachable(at(70)));
        dispatcher.onUnreachableWithoutRequest(server, true, at(80));
        CPPUNIT_ASSERT(onlyNotice(dispatcher).evidence == EndEvidence::ConnectionRefused);
    }

    void openQuestionsAreBounded()
    {
        CrashGuard guard;
        for (std::uint64_t request = 0; request < 10000; ++request)
            guard.onUnanswered(Fingerprint(request), "e1@1", at(0));
        guard.onServerEnded("e1@1", EndEvidence::ConnectionRefused, at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4096), guard.takeNotices().size());
        guard.onUnanswered(kRequest, "e1@2", at(2));
        guard.onServerEnded("e1@2", EndEvidence::ConnectionRefused, at(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), guard.takeNotices().size());
    }

private:
    static bool isRefused(const CrashGuard &guard, Fingerprint request, std::int64_t ms)
    {
        return guard.refusedFor(request, at(ms)) > Duration(0);
    }

    static CrashNotice onlyNotice(Dispatcher &dispatcher)
    {
        const auto notices = dispatcher.crashGuard().takeNotices();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notices.size());
        return notices.front();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashGuardTest);
