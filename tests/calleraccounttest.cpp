// Who is refused or closed when callers make a router hold more than its memory or sockets allow.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "memory/calleraccount.h"

using namespace comfrey;

namespace {

constexpr std::size_t kLimit = std::size_t{1} << 20;
constexpr std::size_t kSockets = 4;

/// A connection without a socket.
class Caller : public CallerShare
{
public:
    Caller(std::shared_ptr<CallerAccount> account, TimePoint now) { join(std::move(account), now); }
    void giveWay(Shortage) override { ++asked; }

    void beginRequest(TimePoint now) { setStage(CallerStage::Arriving, now); }
    void run(TimePoint now) { setStage(CallerStage::Running, now); }
    void end(TimePoint now) { setStage(CallerStage::Unread, now); }
    void close() { leave(); }
    void body(std::size_t bytes) { hold(HeldKind::ArrivingBody, bytes); }
    void head(std::size_t bytes) { hold(HeldKind::Head, bytes); }
    void answer(std::size_t bytes) { hold(HeldKind::Answer, bytes); }
    void receive(std::size_t bytes, TimePoint now) { progress(bytes, now); }

    int asked = 0;
};

TimePoint at(std::int64_t time)
{
    return TimePoint(milliseconds(time));
}

} // namespace

class CallerAccountTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerAccountTest);
    CPPUNIT_TEST(sumsFollowWhatEachCallerHolds);
    CPPUNIT_TEST(singleLargeBodyIsNeverOver);
    CPPUNIT_TEST(largeBodiesLeaveRoomForSmallOnes);
    CPPUNIT_TEST(callerWithoutProgressGivesWayFirst);
    CPPUNIT_TEST(trickledBytesAreNoProgress);
    CPPUNIT_TEST(nobodyGivesWayForNothing);
    CPPUNIT_TEST(headOfARunningRequestIsNotCountedAsFreed);
    CPPUNIT_TEST(oldestCallerIsRefusedItself);
    CPPUNIT_TEST(requestInFlightNeverGivesWay);
    CPPUNIT_TEST(readerGivesWayOnlyAfterItsTime);
    CPPUNIT_TEST(idleCallerGivesWayForSocketsAlone);
    CPPUNIT_TEST(serversCountAsSockets);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_account = std::make_shared<CallerAccount>(AccountLimits{kLimit, kSockets});
    }

    void sumsFollowWhatEachCallerHolds()
    {
        auto one = caller(0);
        auto other = caller(0);
        one->body(1000);
        other->body(500);
        other->answer(70);
        one->body(200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{770}, m_account->held());
        CPPUNIT_ASSERT_EQUAL(std::size_t{700}, m_account->held(HeldKind::ArrivingBody));
        one.reset();
        other->close();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_account->held());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_account->callers());
    }

    void singleLargeBodyIsNeverOver()
    {
        auto one = arriving(0);
        one->body(kLimit * 2);
        CPPUNIT_ASSERT(!m_account->isOver(*one));
    }

    void largeBodiesLeaveRoomForSmallOnes()
    {
        auto one = arriving(0);
        auto other = arriving(0);
        auto small = arriving(0);
        one->body(kLimit / 2);
        other->body(kLimit / 4 + 1);
        small->body(1000);
        CPPUNIT_ASSERT(m_account->isOver(*other));
        CPPUNIT_ASSERT(m_account->isTight());
        CPPUNIT_ASSERT(!m_account->isOver(*small));
        other->body(kLimit / 2);
        CPPUNIT_ASSERT(m_account->isOver(*small));
    }

    void callerWithoutProgressGivesWayFirst()
    {
        auto stopped = arriving(0);
        auto sending = arriving(1);
        auto newcomer = arriving(2);
        sending->receive(CallerAccount::kProgressBytes, at(3));
        CPPUNIT_ASSERT(memoryVictim(newcomer.get(), 3) == stopped.get());
        stopped->close();
        // The newcomer has stopped since; the other one still sends.
        CPPUNIT_ASSERT(memoryVictim(sending.get(), 3) == newcomer.get());
    }

    void trickledBytesAreNoProgress()
    {
        auto trickling = arriving(0);
        auto newcomer = arriving(1);
        for (int byte = 0; byte < 100; ++byte)
            trickling->receive(1, at(2 + byte));
        CPPUNIT_ASSERT(memoryVictim(newcomer.get(), 200) == trickling.get());
    }

    void nobodyGivesWayForNothing()
    {
        auto running = caller(0);
        running->run(at(0));
        running->answer(kLimit / 4 * 3);
        auto small = arriving(1);
        small->body(1000);
        auto large = arriving(2);
        large->body(CallerAccount::kSmallBody + 1);
        CPPUNIT_ASSERT(memoryVictim(large.get(), 3) == nullptr);
        running->answer(kLimit / 2);
        CPPUNIT_ASSERT(memoryVictim(large.get(), 3) == small.get());
    }

    void headOfARunningRequestIsNotCountedAsFreed()
    {
        auto running = caller(0);
        running->head(kLimit);
        running->run(at(0));
        auto stopped = arriving(1);
        stopped->head(1000);
        auto newcomer = arriving(2);
        newcomer->head(1000);
        CPPUNIT_ASSERT(memoryVictim(newcomer.get(), 3) == nullptr);
        running->head(kLimit / 2);
        CPPUNIT_ASSERT(memoryVictim(newcomer.get(), 3) == stopped.get());
    }

    void oldestCallerIsRefusedItself()
    {
        auto oldest = arriving(0);
        auto newcomer = arriving(1);
        CPPUNIT_ASSERT(memoryVictim(oldest.get(), 2) == nullptr);
    }

    void requestInFlightNeverGivesWay()
    {
        auto running = arriving(0);
        running->run(at(1));
        auto newcomer = arriving(2);
        CPPUNIT_ASSERT(memoryVictim(newcomer.get(), 100000) == nullptr);
        CPPUNIT_ASSERT(socketVictim(newcomer.get(), 100000) == nullptr);
    }

    void readerGivesWayOnlyAfterItsTime()
    {
        auto reader = arriving(0);
        reader->end(at(10));
        auto newcomer = arriving(11);
        CPPUNIT_ASSERT(memoryVictim(newcomer.get(), 12) == nullptr);
        CPPUNIT_ASSERT(memoryVictim(newcomer.get(), 10 + 2000) == reader.get());
        reader->receive(CallerAccount::kProgressBytes, at(1000));
        CPPUNIT_ASSERT(memoryVictim(newcomer.get(), 10 + 2000) == nullptr);
    }

    void idleCallerGivesWayForSocketsAlone()
    {
        auto idle = caller(0);
        auto stopped = arriving(1);
        CPPUNIT_ASSERT(socketVictim(nullptr, 2) == idle.get());
        CPPUNIT_ASSERT(memoryVictim(nullptr, 2) == stopped.get());
        idle->receive(CallerAccount::kProgressBytes, at(3));
        CPPUNIT_ASSERT(socketVictim(nullptr, 4) == stopped.get());
    }

    void serversCountAsSockets()
    {
        auto one = caller(0);
        auto other = caller(0);
        m_account->addServerSocket();
        CPPUNIT_ASSERT(!m_account->lacksSocket());
        m_account->addServerSocket();
        CPPUNIT_ASSERT(m_account->lacksSocket());
        CPPUNIT_ASSERT(!m_account->lacksSpareSocket());
        m_account->removeServerSocket();
        CPPUNIT_ASSERT(!m_account->lacksSocket());
    }

private:
    std::unique_ptr<Caller> caller(std::int64_t time)
    {
        return std::make_unique<Caller>(m_account, at(time));
    }
    std::unique_ptr<Caller> arriving(std::int64_t time)
    {
        auto one = caller(time);
        one->beginRequest(at(time));
        return one;
    }
    CallerShare *memoryVictim(const CallerShare *newcomer, std::int64_t time)
    {
        return m_account->victim(Shortage::Memory, newcomer, at(time));
    }
    CallerShare *socketVictim(const CallerShare *newcomer, std::int64_t time)
    {
        return m_account->victim(Shortage::Sockets, newcomer, at(time));
    }

    std::shared_ptr<CallerAccount> m_account;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerAccountTest);
