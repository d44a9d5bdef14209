// Load: one router of a hundred before engines that fill up. Its share of the requests is a
// hundredth; the engines have 1,000 slots.
#include <algorithm>
#include <memory>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/engineadmission.h"

using namespace comfrey;

namespace {

using Answer = EngineVerdict::Answer;

const ServiceName kService("model");
constexpr double kSlots = 1000;
constexpr double kShare = 0.01;

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(1000 + ms));
}

EngineRoom room(double takenShare, double local)
{
    EngineRoom room;
    room.load = takenShare * kSlots;
    room.slots = kSlots;
    room.local = local;
    room.largestMemory = 100000;
    room.meanSlotTime = milliseconds(1000);
    return room;
}

EngineAsk request(const std::string &id, std::uint32_t priority, TimePoint arrivedAt,
                  const std::string &organisation = "o1")
{
    EngineAsk ask;
    ask.id = id;
    ask.service = kService;
    ask.priority = priority;
    ask.organisation = organisation;
    ask.arrivedAt = arrivedAt;
    ask.objective = milliseconds(800);
    ask.deadline = arrivedAt + milliseconds(10000);
    ask.work.memoryTokens = 2000;
    return ask;
}

} // namespace

class EngineAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineAdmissionTest);
    CPPUNIT_TEST(roomSendsEveryRequestAtOnce);
    CPPUNIT_TEST(unknownSlotsSendEveryRequest);
    CPPUNIT_TEST(underHalfOfThePlacesNobodyIsRefused);
    CPPUNIT_TEST(nearlyFullEnginesTakeTheUrgentFirst);
    CPPUNIT_TEST(heldRequestIsRefusedWithinATenthOfASecond);
    CPPUNIT_TEST(heldRequestIsSentWhenAPlaceIsFree);
    CPPUNIT_TEST(freePlaceGoesToTheMostUrgentHeld);
    CPPUNIT_TEST(returningCallerGoesBeforeNewcomerOfItsKind);
    CPPUNIT_TEST(requestLargerThanAnEngineIsRefusedAtOnce);
    CPPUNIT_TEST(requestWithTooLittleTimeIsRefusedAtOnce);
    CPPUNIT_TEST(heavyOrganisationComesAfterTheOthers);
    CPPUNIT_TEST(leastUrgentIsNotStarved);
    CPPUNIT_TEST(refusedCallersReturnSpreadOverTime);
    CPPUNIT_TEST(withdrawnAndForgottenRequestsLeaveNothing);
    CPPUNIT_TEST(restartedRouterLimitsByWhatRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_admission = std::make_unique<ShareAdmission>(1);
        // Two seconds with room, in which the share is learnt.
        for (int step = 0; step < 100; ++step) {
            const std::int64_t ms = std::int64_t{20} * step;
            const auto verdict = ask(request("c" + std::to_string(step), step % 3, at(ms)),
                                     room(0.3, kShare * 0.3 * kSlots), ms);
            CPPUNIT_ASSERT(verdict.answer == Answer::Send);
        }
    }

    void roomSendsEveryRequestAtOnce()
    {
        for (int count = 0; count < 50; ++count)
            CPPUNIT_ASSERT(
                ask(request(std::to_string(count), 2, at(2000)), room(0.45, 50), 2000).answer
                == Answer::Send);
    }

    void unknownSlotsSendEveryRequest()
    {
        EngineRoom unknown = room(2, 100);
        unknown.slots = 0;
        CPPUNIT_ASSERT(ask(request("a", 2, at(2000)), unknown, 2000).answer == Answer::Send);
    }

    /// Also while first tokens take long and the target is lowered.
    void underHalfOfThePlacesNobodyIsRefused()
    {
        for (int count = 0; count < 100; ++count)
            m_admission->onFirstToken(kService, 4, at(2000));
        for (int step = 0; step < 100; ++step)
            CPPUNIT_ASSERT(ask(request("a" + std::to_string(step), 2, at(2000 + step * 20)),
                               room(0.49, 50), 2000 + step * 20)
                               .answer
                           == Answer::Send);
    }

    void nearlyFullEnginesTakeTheUrgentFirst()
    {
        CPPUNIT_ASSERT(ask(request("b", 2, at(2000)), full(), 2000).answer == Answer::Hold);
        CPPUNIT_ASSERT(ask(request("a", 0, at(2000)), full(), 2000).answer == Answer::Send);
    }

    void heldRequestIsRefusedWithinATenthOfASecond()
    {
        const EngineAsk held = request("b", 2, at(2000));
        EngineVerdict verdict = ask(held, full(), 2000);
        TimePoint now = at(2000);
        while (verdict.answer == Answer::Hold) {
            CPPUNIT_ASSERT(verdict.askAgainAt > now);
            now = verdict.askAgainAt;
            verdict = m_admission->ask(held, full(), now);
        }
        CPPUNIT_ASSERT(verdict.answer == Answer::Refuse);
        CPPUNIT_ASSERT(now <= at(2100));
        CPPUNIT_ASSERT(verdict.retryAfter > Duration(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_admission->held(kService));
    }

    void heldRequestIsSentWhenAPlaceIsFree()
    {
        const EngineAsk held = request("b", 2, at(2000));
        CPPUNIT_ASSERT(ask(held, full(), 2000).answer == Answer::Hold);
        CPPUNIT_ASSERT(ask(held, room(0.8, 2), 2020).answer == Answer::Send);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_admission->held(kService));
    }

    void freePlaceGoesToTheMostUrgentHeld()
    {
        const EngineAsk first = request("b", 2, at(2000));
        const EngineAsk second = request("c", 1, at(2001));
        CPPUNIT_ASSERT(ask(first, full(), 2000).answer == Answer::Hold);
        CPPUNIT_ASSERT(ask(second, full(), 2001).answer == Answer::Hold);
        const EngineRoom onePlace = room(0.7, 4);
        CPPUNIT_ASSERT(ask(first, onePlace, 2015).answer == Answer::Hold);
        CPPUNIT_ASSERT(ask(second, onePlace, 2016).answer == Answer::Send);
    }

    void returningCallerGoesBeforeNewcomerOfItsKind()
    {
        const EngineAsk newcomer = request("n", 2, at(2000));
        EngineAsk returning = request("r", 2, at(2001));
        returning.age = milliseconds(600);
        CPPUNIT_ASSERT(ask(newcomer, full(), 2000).answer == Answer::Hold);
        CPPUNIT_ASSERT(ask(returning, full(), 2001).answer == Answer::Hold);
        const EngineRoom onePlace = room(0.7, 4);
        CPPUNIT_ASSERT(ask(newcomer, onePlace, 2015).answer == Answer::Hold);
        CPPUNIT_ASSERT(ask(returning, onePlace, 2016).answer == Answer::Send);
    }

    void requestLargerThanAnEngineIsRefusedAtOnce()
    {
        EngineAsk large = request("a", 0, at(2000));
        large.work.memoryTokens = 100001;
        CPPUNIT_ASSERT(ask(large, room(0.1, 1), 2000).answer == Answer::Refuse);
        large.work.memoryTokens = 100000;
        CPPUNIT_ASSERT(ask(large, room(0.1, 1), 2000).answer == Answer::Send);
    }

    void requestWithTooLittleTimeIsRefusedAtOnce()
    {
        EngineAsk late = request("a", 0, at(2000));
        late.work.firstToken = milliseconds(300);
        late.deadline = at(2299);
        CPPUNIT_ASSERT(ask(late, full(), 2000).answer == Answer::Refuse);
        late.deadline = at(2301);
        CPPUNIT_ASSERT(ask(late, full(), 2000).answer == Answer::Send);
    }

    /// It takes room only from itself while the others wait.
    void heavyOrganisationComesAfterTheOthers()
    {
        for (int count = 0; count < 40; ++count)
            ask(request("h" + std::to_string(count), 1, at(2000 + count), "heavy"), full(),
                2000 + count);
        for (int count = 0; count < 4; ++count)
            ask(request("l" + std::to_string(count), 1, at(2040 + count),
                        "o" + std::to_string(2 + count)),
                full(), 2040 + count);
        const EngineAsk heavy = request("x", 1, at(2150), "heavy");
        const EngineAsk light = request("y", 1, at(2151), "o2");
        CPPUNIT_ASSERT(ask(heavy, full(), 2150).answer == Answer::Hold);
        CPPUNIT_ASSERT(ask(light, full(), 2151).answer == Answer::Hold);
        const EngineRoom onePlace = room(0.8, 5);
        CPPUNIT_ASSERT(ask(heavy, onePlace, 2165).answer == Answer::Hold);
        CPPUNIT_ASSERT(ask(light, onePlace, 2166).answer == Answer::Send);
    }

    /// Ten a second of the least urgent kind beside as many urgent ones that take all the room. The
    /// first five seconds are not counted: what was sent before still counts in them.
    void leastUrgentIsNotStarved()
    {
        int sent = 0;
        for (int step = 0; step < 150; ++step) {
            const std::int64_t now = 2000 + step * 100;
            CPPUNIT_ASSERT(
                ask(request("u" + std::to_string(step), 0, at(now)), room(0.9, 10), now).answer
                == Answer::Send);
            const EngineVerdict verdict =
                ask(request("l" + std::to_string(step), 2, at(now)), room(0.9, 10), now);
            sent += step >= 50 && verdict.answer == Answer::Send ? 1 : 0;
        }
        const double ofAll = (100.0 + sent) / 200;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent / 100.0 >= 0.25 * ofAll && sent <= 30);
    }

    /// Ten places end in a second; a tenth of them is left to callers who come back during the
    /// overload. The others come back at the end of what callers respect, a third of their time.
    void refusedCallersReturnSpreadOverTime()
    {
        std::vector<Duration> returns;
        for (int count = 0; count < 60; ++count) {
            const EngineVerdict verdict =
                ask(request("f" + std::to_string(count), 2, at(2000)), full(), 2000);
            if (verdict.answer == Answer::Refuse)
                returns.push_back(verdict.retryAfter);
        }
        CPPUNIT_ASSERT(returns.size() > 30);
        std::sort(returns.begin(), returns.end());
        CPPUNIT_ASSERT(returns.front() >= milliseconds(200));
        CPPUNIT_ASSERT(returns[1] - returns[0] >= milliseconds(900));
        CPPUNIT_ASSERT(returns[2] >= milliseconds(2990));
        CPPUNIT_ASSERT(returns.back() <= milliseconds(3334));
        CPPUNIT_ASSERT(returns.back() - returns[2] >= milliseconds(200));
    }

    void withdrawnAndForgottenRequestsLeaveNothing()
    {
        CPPUNIT_ASSERT(ask(request("a", 2, at(2000)), full(), 2000).answer == Answer::Hold);
        CPPUNIT_ASSERT(ask(request("b", 2, at(2000)), full(), 2000).answer == Answer::Hold);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_admission->held(kService));
        m_admission->withdraw(kService, "a");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_admission->held(kService));
        ask(request("c", 0, at(2200)), full(), 2200);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_admission->held(kService));
    }

    void restartedRouterLimitsByWhatRuns()
    {
        m_admission = std::make_unique<ShareAdmission>(2);
        ask(request("b", 2, at(0)), room(1, 10), 0);
        CPPUNIT_ASSERT(ask(request("a", 0, at(20)), room(1, 10), 20).answer == Answer::Send);
        const EngineVerdict verdict = ask(request("c", 2, at(20)), room(1, 10), 20);
        CPPUNIT_ASSERT(verdict.answer == Answer::Hold);
        CPPUNIT_ASSERT(verdict.limit > 3 && verdict.limit < 10);
    }

private:
    static EngineRoom full() { return room(1, 10); }
    EngineVerdict ask(const EngineAsk &request, const EngineRoom &room, std::int64_t ms)
    {
        return m_admission->ask(request, room, at(ms));
    }

    std::unique_ptr<ShareAdmission> m_admission;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineAdmissionTest);
