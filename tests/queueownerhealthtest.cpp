// QueueOwnerHealth: how long a router waits for the owner of a shared queue, and how long it turns
// to others. Load: requests with a time limit of 1 s and an aim of 120 to 150 ms at a small
// service.
#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/queueownerhealth.h"

using namespace comfrey;

namespace {

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(ms));
}

/// A request as its router polls owners that do not answer.
struct SilentFleet
{
    Duration decidedAfter{0}; ///< Time until the router decides alone.
    int polls = 0;
};

/// Owners answer none of the polls from `silentAfter` on; before, they answer each with Later just
/// before its time is over.
SilentFleet play(Duration silentAfter, Duration timeLimit)
{
    SilentFleet fleet;
    LeaseWait wait;
    wait.timeLeft = timeLimit;
    while (const auto timeout = QueueOwnerHealth::pollTimeout(wait)) {
        ++fleet.polls;
        Duration passed = *timeout;
        if (wait.waited < silentAfter) {
            passed = std::min(passed,
                              wait.isQueued ? QueueOwnerHealth::kLongPollTime
                                            : QueueOwnerHealth::kFirstPollTime);
            wait.isQueued = true;
        } else {
            wait.isQueued = false;
        }
        wait.waited += passed;
        wait.timeLeft -= passed;
    }
    fleet.decidedAfter = wait.waited;
    return fleet;
}

} // namespace

class QueueOwnerHealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QueueOwnerHealthTest);
    CPPUNIT_TEST(silentOwnersAreWaitedForLessThanATenthOfASecond);
    CPPUNIT_TEST(ownerThatFallsSilentLeavesTimeToPlaceTheRequest);
    CPPUNIT_TEST(requestWithoutTimeForAPollIsPlacedAtOnce);
    CPPUNIT_TEST(silentOwnerIsSkippedForDoublingPauses);
    CPPUNIT_TEST(answerEndsThePauses);
    CPPUNIT_TEST(stoppedOwnerIsSkippedForTheTimeOfARestart);
    CPPUNIT_TEST_SUITE_END();

public:
    void silentOwnersAreWaitedForLessThanATenthOfASecond()
    {
        const SilentFleet fleet = play(Duration(0), milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(1, fleet.polls);
        CPPUNIT_ASSERT(fleet.decidedAfter <= milliseconds(100));
    }

    void ownerThatFallsSilentLeavesTimeToPlaceTheRequest()
    {
        for (const std::int64_t limitMs : {200, 500, 1000, 1500, 2500}) {
            for (std::int64_t silentMs = 0; silentMs < limitMs; silentMs += 10) {
                const Duration limit = milliseconds(limitMs);
                const SilentFleet fleet = play(milliseconds(silentMs), limit);
                CPPUNIT_ASSERT(limit - fleet.decidedAfter >= QueueOwnerHealth::kLastPlacementTime);
                // The poll that was under way when the owner fell silent, and one that was not.
                CPPUNIT_ASSERT(fleet.decidedAfter <= milliseconds(silentMs + 400));
            }
        }
    }

    void requestWithoutTimeForAPollIsPlacedAtOnce()
    {
        CPPUNIT_ASSERT(!QueueOwnerHealth::pollTimeout({milliseconds(0), milliseconds(70), false}));
        CPPUNIT_ASSERT(!QueueOwnerHealth::pollTimeout({milliseconds(0), milliseconds(70), true}));
        CPPUNIT_ASSERT(
            !QueueOwnerHealth::pollTimeout({milliseconds(70), milliseconds(900), false}));
        CPPUNIT_ASSERT(QueueOwnerHealth::pollTimeout({milliseconds(0), milliseconds(90), false}));
    }

    void silentOwnerIsSkippedForDoublingPauses()
    {
        std::int64_t ms = 0;
        std::vector<std::int64_t> pauses;
        for (int failure = 0; failure < 12; ++failure) {
            m_health.onSilent("a", at(ms));
            m_health.onSilent("a", at(ms + 1)); // Of a poll that was under way; it counts once.
            std::int64_t pause = 0;
            while (m_health.isSkipped("a", at(ms + pause)))
                ++pause;
            pauses.push_back(pause);
            ms += pause;
        }
        CPPUNIT_ASSERT(!m_health.isSkipped("b", at(ms)));
        CPPUNIT_ASSERT(pauses.front() <= 500);
        for (std::size_t index = 1; index < pauses.size(); ++index)
            CPPUNIT_ASSERT_EQUAL(std::min<std::int64_t>(2 * pauses[index - 1], 32000),
                                 pauses[index]);
    }

    void answerEndsThePauses()
    {
        m_health.onSilent("a", at(0));
        m_health.onSilent("a", at(300));
        m_health.onAnswered("a");
        CPPUNIT_ASSERT(!m_health.isSkipped("a", at(301)));
    }

    void stoppedOwnerIsSkippedForTheTimeOfARestart()
    {
        m_health.onGone("a", at(0));
        CPPUNIT_ASSERT(m_health.isSkipped("a", at(1000)));
        CPPUNIT_ASSERT(!m_health.isSkipped("a", at(2500)));
    }

private:
    QueueOwnerHealth m_health;
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueOwnerHealthTest);
