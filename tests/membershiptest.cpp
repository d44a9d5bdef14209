// Who is in the fleet: suspicion, leaving, ramps, flapping and lists that cannot be right.
#include <cppunit/extensions/HelperMacros.h>

#include "membership/backendtable.h"
#include "membership/routertable.h"

using namespace comfrey;

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(routerThatDoesNotAnswerIsSuspectThenLost);
    CPPUNIT_TEST(routerSuspectedByOthersClearsItselfByHigherSequence);
    CPPUNIT_TEST(heartbeatOfOlderIncarnationIsIgnored);
    CPPUNIT_TEST(lostRouterThatAnswersComesBack);
    CPPUNIT_TEST(backendLeavingByListGetsNoWorkAtOnce);
    CPPUNIT_TEST(backendLeavingByItsOwnWordStaysSoUntilItWithdraws);
    CPPUNIT_TEST(backendThatJoinsRampsUp);
    CPPUNIT_TEST(backendThatFlapsIsHeldOff);
    CPPUNIT_TEST(emptyListMustRepeatItself);
    CPPUNIT_TEST_SUITE_END();

    settings::MembershipT m_settings;
    TimePoint m_now = TimePoint(std::chrono::hours(1));

    static Instance instance(const std::string &id, InstanceKind kind,
                             InstanceState state = InstanceState::Live)
    {
        Instance line;
        line.id = id;
        line.kind = kind;
        line.state = state;
        line.address = Endpoint(id + ":1");
        return line;
    }

    RouterTable table()
    {
        RouterTable routers(m_settings, {RouterId("r0"), {}, {}, {}, Incarnation(1), {}});
        routers.takeList(
            {instance("r0", InstanceKind::Router), instance("r1", InstanceKind::Router)}, m_now);
        routers.hear(RouterId("r1"), heartbeat(3, 10), m_now);
        return routers;
    }

    static wire::HeartbeatT heartbeat(std::uint64_t incarnation, std::uint64_t sequence,
                                      RouterState state = RouterState::Alive)
    {
        wire::HeartbeatT news;
        news.router = "r1";
        news.incarnation = incarnation;
        news.sequence = sequence;
        news.state = static_cast<std::uint8_t>(state);
        return news;
    }

    void loseR1(RouterTable &routers)
    {
        routers.noteProbe(RouterId("r1"), m_now);
        m_now += milliseconds(m_settings.suspectAfterMs);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, routers.advance(m_now).size());
        CPPUNIT_ASSERT(routers.views().at(1).state == RouterState::Suspect);
        m_now += milliseconds(m_settings.removeAfterMs - m_settings.suspectAfterMs);
        routers.advance(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, routers.views().size());
    }

    static std::vector<Instance> engines(std::size_t count,
                                         InstanceState first = InstanceState::Live)
    {
        std::vector<Instance> list;
        list.reserve(count);
        for (std::size_t i = 0; i < count; ++i)
            list.push_back(instance("e" + std::to_string(i), InstanceKind::Engine,
                                    i == 0 ? first : InstanceState::Live));
        return list;
    }

    static BackendState stateOf(const BackendTable &backends, const char *id)
    {
        const BackendView *view = backends.find(BackendId(id));
        CPPUNIT_ASSERT(view != nullptr);
        return view->state;
    }

public:
    void routerThatDoesNotAnswerIsSuspectThenLost()
    {
        RouterTable routers = table();
        loseR1(routers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, routers.lost().size());
    }

    void routerSuspectedByOthersClearsItselfByHigherSequence()
    {
        RouterTable routers = table();
        CPPUNIT_ASSERT(routers.takeNews(heartbeat(3, 10, RouterState::Suspect), m_now));
        CPPUNIT_ASSERT(routers.views().at(1).state == RouterState::Suspect);
        CPPUNIT_ASSERT(!routers.takeNews(heartbeat(3, 10), m_now));
        CPPUNIT_ASSERT(routers.views().at(1).state == RouterState::Suspect);
        CPPUNIT_ASSERT(routers.takeNews(heartbeat(3, 11), m_now));
        CPPUNIT_ASSERT(routers.views().at(1).state == RouterState::Alive);
    }

    void heartbeatOfOlderIncarnationIsIgnored()
    {
        RouterTable routers = table();
        routers.noteProbe(RouterId("r1"), m_now);
        routers.hear(RouterId("r1"), heartbeat(2, 99), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, routers.unanswered().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, routers.views().at(1).incarnation.value());
    }

    void lostRouterThatAnswersComesBack()
    {
        RouterTable routers = table();
        loseR1(routers);
        routers.hear(RouterId("r1"), heartbeat(3, 20), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, routers.views().size());
    }

    void backendLeavingByListGetsNoWorkAtOnce()
    {
        BackendTable backends(m_settings);
        backends.takeList(engines(2), m_now);
        CPPUNIT_ASSERT(stateOf(backends, "e0") == BackendState::Live);
        backends.takeList(engines(2, InstanceState::Leaving), m_now);
        CPPUNIT_ASSERT(stateOf(backends, "e0") == BackendState::Leaving);
    }

    void backendLeavingByItsOwnWordStaysSoUntilItWithdraws()
    {
        BackendTable backends(m_settings);
        backends.takeList(engines(2), m_now);
        backends.noteLeaving(BackendId("e0"), m_now);
        backends.takeList(engines(2), m_now + milliseconds(500));
        CPPUNIT_ASSERT(stateOf(backends, "e0") == BackendState::Leaving);
        backends.noteServing(BackendId("e0"), m_now - milliseconds(1), m_now + milliseconds(600));
        CPPUNIT_ASSERT(stateOf(backends, "e0") == BackendState::Leaving);
        backends.noteServing(BackendId("e0"), m_now + milliseconds(600), m_now + milliseconds(700));
        CPPUNIT_ASSERT(stateOf(backends, "e0") == BackendState::Joining);
    }

    void backendThatJoinsRampsUp()
    {
        BackendTable backends(m_settings);
        backends.takeList(engines(2), m_now);
        backends.takeList(engines(3), m_now);
        CPPUNIT_ASSERT(stateOf(backends, "e2") == BackendState::Joining);
        backends.advance(m_now + milliseconds(m_settings.joinRampMs));
        CPPUNIT_ASSERT(stateOf(backends, "e2") == BackendState::Live);
    }

    void backendThatFlapsIsHeldOff()
    {
        BackendTable backends(m_settings);
        backends.takeList(engines(4), m_now);
        int returns = 0;
        for (int second = 0; second < 60; ++second) {
            m_now += std::chrono::seconds(1);
            const auto before = stateOf(backends, "e0");
            backends.takeList(
                engines(4, second % 2 == 0 ? InstanceState::Leaving : InstanceState::Live), m_now);
            const auto after = stateOf(backends, "e0");
            returns += before == BackendState::Leaving && after != BackendState::Leaving ? 1 : 0;
        }
        CPPUNIT_ASSERT(returns >= 1);
        CPPUNIT_ASSERT(returns <= 6); // of 30 without a hold
    }

    void emptyListMustRepeatItself()
    {
        BackendTable backends(m_settings);
        backends.takeList(engines(6), m_now);
        backends.takeList({}, m_now);
        CPPUNIT_ASSERT(stateOf(backends, "e0") == BackendState::Live);
        backends.takeList({}, m_now + milliseconds(m_settings.removeAfterMs));
        CPPUNIT_ASSERT(stateOf(backends, "e0") == BackendState::Leaving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
