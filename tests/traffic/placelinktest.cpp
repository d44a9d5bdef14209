// Routers that share the queue of a small service over the network.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "gateway/placelink.h"
#include "loopback.h"
#include "traffic/callerlistener.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

const ServiceName kService("s");

/// A router with one server of two places on its list.
class PlacingRouter : public RequestHandler
{
public:
    PlacingRouter(boost::asio::io_context &loop, const std::string &name, std::uint8_t standing)
        : m_log(-1), m_caller(loop, {milliseconds(300), milliseconds(1500), 16384}, now),
          m_listener(loop, *this, now, 100)
    {
        CPPUNIT_ASSERT(m_listener.listen("127.0.0.1:0"));
        self = {name, ZoneId("z"), "127.0.0.1:" + std::to_string(m_listener.port()), standing};
        m_directory = std::make_unique<RouterDirectory>(self);
        m_link = std::make_unique<PlaceLink>(
            PlaceLinkParts{m_caller, m_replicas, m_log, m_metrics, self, *m_directory, now});
        ReplicaRecord record;
        record.id = BackendId("e0");
        record.service = kService;
        record.slots = 2;
        m_replicas.put(record, now());
    }

    void knows(const RouterInfo &router) { m_directory->add(router); }
    PlaceLink &link() { return *m_link; }

    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                   std::string body) override
    {
        ++asks;
        if (!isSilent)
            m_link->onRequest(caller, std::move(head), std::move(body));
    }
    const CallerLimits &limits() const override { return m_link->limits(); }
    bool isStopping() const override { return false; }

    RouterInfo self;
    bool isSilent = false;
    int asks = 0;

private:
    EventLog m_log;
    Metrics m_metrics;
    ReplicaTable m_replicas{milliseconds(1000)};
    HttpCaller m_caller;
    CallerListener m_listener;
    std::unique_ptr<RouterDirectory> m_directory;
    std::unique_ptr<PlaceLink> m_link;
};

} // namespace

class PlaceLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlaceLinkTest);
    CPPUNIT_TEST(routersShareThePlacesOfOneQueue);
    CPPUNIT_TEST(requestWaitsForAPlaceLongerThanOneAskIsHeld);
    CPPUNIT_TEST(requestThatCannotBeServedInItsTimeIsRefused);
    CPPUNIT_TEST(silentKeeperIsPassedOver);
    CPPUNIT_TEST(stoppingKeeperSendsOthersToTheNext);
    CPPUNIT_TEST(fewRoutersPlaceAlone);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (int index = 0; index < 4; ++index)
            m_routers.push_back(std::make_unique<PlacingRouter>(m_loop, "r" + std::to_string(index),
                                                                static_cast<std::uint8_t>(index)));
        for (const auto &router : m_routers) {
            for (const auto &other : m_routers)
                router->knows(other->self);
        }
    }

    void tearDown() override { m_routers.clear(); }

    void routersShareThePlacesOfOneQueue()
    {
        const PlaceReply first = fill();
        const auto last = ask(3);
        runFor(m_loop, milliseconds(100));
        CPPUNIT_ASSERT(!*last);
        m_routers[1]->link().end(first.ticket, PlaceEnd::Answered, now());
        CPPUNIT_ASSERT(run([&] { return last->has_value(); }));
        CPPUNIT_ASSERT((*last)->verdict == PlaceReply::Verdict::Granted);
        CPPUNIT_ASSERT_EQUAL(m_routers[0]->self.address, (*last)->ticket.keeper);
    }

    void requestWaitsForAPlaceLongerThanOneAskIsHeld()
    {
        const PlaceReply taken = fill();
        const auto waiting = ask(3);
        const int asks = m_routers[0]->asks;
        CPPUNIT_ASSERT(run([&] { return m_routers[0]->asks >= asks + 2; }));
        CPPUNIT_ASSERT(!*waiting);
        m_routers[1]->link().end(taken.ticket, PlaceEnd::Answered, now());
        CPPUNIT_ASSERT(run([&] { return waiting->has_value(); }));
        CPPUNIT_ASSERT((*waiting)->verdict == PlaceReply::Verdict::Granted);
    }

    void requestThatCannotBeServedInItsTimeIsRefused()
    {
        fill();
        const auto waiting = ask(3, milliseconds(300));
        CPPUNIT_ASSERT(run([&] { return waiting->has_value(); }));
        CPPUNIT_ASSERT((*waiting)->verdict == PlaceReply::Verdict::Refused);
        CPPUNIT_ASSERT((*waiting)->retryAfter > Duration(0));
    }

    void silentKeeperIsPassedOver()
    {
        m_routers[0]->isSilent = true;
        const auto first = ask(2);
        CPPUNIT_ASSERT(run([&] { return first->has_value(); }));
        CPPUNIT_ASSERT((*first)->verdict == PlaceReply::Verdict::Granted);
        CPPUNIT_ASSERT_EQUAL(m_routers[1]->self.address, (*first)->ticket.keeper);
        const int asks = m_routers[0]->asks;
        const auto second = ask(2);
        CPPUNIT_ASSERT(run([&] { return second->has_value(); }));
        CPPUNIT_ASSERT_EQUAL(asks, m_routers[0]->asks);
    }

    void stoppingKeeperSendsOthersToTheNext()
    {
        m_routers[0]->link().stop();
        const auto reply = ask(2);
        CPPUNIT_ASSERT(run([&] { return reply->has_value(); }));
        CPPUNIT_ASSERT_EQUAL(m_routers[1]->self.address, (*reply)->ticket.keeper);
    }

    void fewRoutersPlaceAlone()
    {
        CPPUNIT_ASSERT(m_routers[0]->link().isShared(kService, now()));
        CPPUNIT_ASSERT(!m_routers[0]->link().isShared(ServiceName("unknown"), now()));
        PlacingRouter alone(m_loop, "alone", 0);
        CPPUNIT_ASSERT(!alone.link().isShared(kService, now()));
    }

private:
    using Reply = std::shared_ptr<std::optional<PlaceReply>>;

    Reply ask(std::size_t router, Duration limit = milliseconds(5000))
    {
        PlaceRequest request;
        request.service = kService;
        request.onTimeIn = limit;
        request.limit = limit;
        auto reply = std::make_shared<std::optional<PlaceReply>>();
        m_routers[router]->link().ask(request, now(),
                                      [reply](const PlaceReply &got) { *reply = got; });
        return reply;
    }

    /// All places taken, by asks of all routers in turn; the reply to r1.
    PlaceReply fill()
    {
        std::vector<Reply> replies;
        for (std::size_t index = 0; index < 2 + ServiceQueue::kSpare; ++index)
            replies.push_back(ask((index + 1) % m_routers.size()));
        CPPUNIT_ASSERT(run([&] {
            return std::all_of(replies.begin(), replies.end(),
                               [](const Reply &reply) { return reply->has_value(); });
        }));
        for (const Reply &reply : replies)
            CPPUNIT_ASSERT((*reply)->verdict == PlaceReply::Verdict::Granted);
        return **replies[0];
    }

    bool run(const std::function<bool()> &done)
    {
        TimePoint next = now();
        return runUntil(m_loop, [&] {
            if (now() >= next) {
                next = now() + milliseconds(20);
                for (const auto &router : m_routers)
                    router->link().tick(now());
            }
            return done();
        });
    }

    boost::asio::io_context m_loop{1};
    std::vector<std::unique_ptr<PlacingRouter>> m_routers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlaceLinkTest);
