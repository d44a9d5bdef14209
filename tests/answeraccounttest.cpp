// Whose answers are given up when too much is held of answers that have not ended.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "memory/calleraccount.h"

using namespace comfrey;

namespace {

constexpr std::size_t kLimit = 1000;

class Connection : public AnswerShare
{
public:
    Connection(AnswerAccount &account, const std::string &server) { join(&account, server); }
    void giveWay() override { hold(0); }
    void keep(std::size_t bytes) { hold(bytes); }
};

} // namespace

class AnswerAccountTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerAccountTest);
    CPPUNIT_TEST(sumFollowsWhatEachConnectionHolds);
    CPPUNIT_TEST(largestAnswerOfTheServerThatHoldsMostGivesWay);
    CPPUNIT_TEST(serverWithManySmallAnswersGivesWayBeforeOneLargeAnswer);
    CPPUNIT_TEST(answersWithoutAServerAreCountedAndKept);
    CPPUNIT_TEST(tightAnswersLetCallersHoldLess);
    CPPUNIT_TEST(answersCountAgainstTheLimitOfCallers);
    CPPUNIT_TEST_SUITE_END();

public:
    void sumFollowsWhatEachConnectionHolds()
    {
        auto one = std::make_unique<Connection>(m_account, "a");
        Connection other(m_account, "b");
        one->keep(300);
        other.keep(200);
        one->keep(100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{300}, m_account.held());
        one.reset();
        other.keep(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_account.held());
        CPPUNIT_ASSERT(!m_account.victim());
    }

    void largestAnswerOfTheServerThatHoldsMostGivesWay()
    {
        Connection sound(m_account, "sound");
        Connection small(m_account, "faulty");
        Connection large(m_account, "faulty");
        sound.keep(450);
        small.keep(100);
        large.keep(400);
        CPPUNIT_ASSERT(!m_account.isOver());
        small.keep(151);
        CPPUNIT_ASSERT(m_account.isOver());
        CPPUNIT_ASSERT(m_account.victim() == &large);
        m_account.victim()->giveWay();
        CPPUNIT_ASSERT(!m_account.isOver());
        CPPUNIT_ASSERT(m_account.victim() == &sound);
    }

    void serverWithManySmallAnswersGivesWayBeforeOneLargeAnswer()
    {
        Connection sound(m_account, "sound");
        sound.keep(400);
        std::vector<std::unique_ptr<Connection>> faulty;
        for (int index = 0; index < 50; ++index) {
            faulty.push_back(std::make_unique<Connection>(m_account, "faulty"));
            faulty.back()->keep(20);
            while (m_account.isOver()) {
                CPPUNIT_ASSERT(m_account.victim() != &sound);
                m_account.victim()->giveWay();
            }
        }
        CPPUNIT_ASSERT_EQUAL(kLimit, m_account.held());
    }

    void answersWithoutAServerAreCountedAndKept()
    {
        Connection needed(m_account, "");
        needed.keep(5000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5000}, m_account.held());
        CPPUNIT_ASSERT(!m_account.victim());
        Connection other(m_account, "a");
        other.keep(kLimit);
        // The other server does not pay for them.
        CPPUNIT_ASSERT(!m_account.isOver());
        other.keep(kLimit + 1);
        CPPUNIT_ASSERT(m_account.isOver());
        CPPUNIT_ASSERT(m_account.victim() == &other);
        other.giveWay();
        CPPUNIT_ASSERT(!m_account.isTight());
        needed.keep(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_account.held());
    }

    void tightAnswersLetCallersHoldLess()
    {
        CallerAccount account(AccountLimits{kLimit * CallerAccount::kAnswerPart, 10});
        Connection connection(account.answers(), "a");
        connection.keep(kLimit / 2);
        CPPUNIT_ASSERT(!account.isTight());
        connection.keep(kLimit / 2 + 1);
        CPPUNIT_ASSERT(account.isTight());
        CPPUNIT_ASSERT(!account.answers().isOver());
    }

    void answersCountAgainstTheLimitOfCallers()
    {
        class Caller : public CallerShare
        {
        public:
            explicit Caller(std::shared_ptr<CallerAccount> account)
            {
                join(std::move(account), TimePoint::min());
            }
            void giveWay(Shortage) override { }
            void body(std::size_t bytes) { hold(HeldKind::ArrivingBody, bytes); }
        };
        const auto account = std::make_shared<CallerAccount>(AccountLimits{4 * kLimit, 10});
        Caller caller(account);
        caller.body(3 * kLimit + 1);
        Connection connection(account->answers(), "a");
        connection.keep(kLimit - 1);
        CPPUNIT_ASSERT(!account->isOver(caller));
        connection.keep(kLimit);
        CPPUNIT_ASSERT(account->isOver(caller));
    }

private:
    AnswerAccount m_account{kLimit};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerAccountTest);
