// SharedQueueLink: routers that share the queue of a small service over loopback connections.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "gateway/flatbuffercodec.h"
#include "gateway/sharedqueuelink.h"
#include "loopback.h"
#include "traffic/callerlistener.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

const ServiceName kService("s");

/// A router that knows one server with two slots.
class QueueRouter : public RequestHandler
{
public:
    QueueRouter(boost::asio::io_context &loop, const std::string &name, std::uint8_t rank)
        : m_log(-1), m_caller(loop, {milliseconds(300), milliseconds(1500), 16384}, now),
          m_listener(loop, *this, now, 100)
    {
        CPPUNIT_ASSERT(m_listener.listen("127.0.0.1:0"));
        self = {name, ZoneId("z"), "127.0.0.1:" + std::to_string(m_listener.port()), rank};
        m_directory = std::make_unique<RouterDirectory>(self);
        m_link = std::make_unique<SharedQueueLink>(SharedQueueLinkDependencies{
            loop, m_caller, m_replicas, m_log, m_metrics, self, *m_directory, now});
        ReplicaRecord record;
        record.id = BackendId("e0");
        record.service = kService;
        record.slots = 2;
        m_replicas.put(record, now());
    }

    void addRouter(const RouterInfo &router) { m_directory->add(router); }
    SharedQueueLink &link() { return *m_link; }

    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                   std::string body) override
    {
        ++requestsReceived;
        const auto message = decodeFlatBuffer<wire::PlaceAsk>(body);
        pollsReceived += message && message->wish != 0 ? 1 : 0;
        if (isUnresponsive)
            m_ignored.push_back({caller, std::move(head), std::move(body)});
        else
            m_link->onRequest(caller, std::move(head), std::move(body));
    }
    /// Handles what came while the router was unresponsive, the newest first.
    void replayIgnored()
    {
        for (auto ignored = m_ignored.rbegin(); ignored != m_ignored.rend(); ++ignored)
            m_link->onRequest(ignored->caller, std::move(ignored->head), std::move(ignored->body));
        m_ignored.clear();
    }
    const CallerLimits &limits() const override { return m_link->limits(); }
    bool isStopping() const override { return false; }

    RouterInfo self;
    bool isUnresponsive = false;
    int requestsReceived = 0;
    int pollsReceived = 0; ///< Of requestsReceived; the others return leases or withdraw requests.

private:
    struct IgnoredRequest
    {
        std::shared_ptr<CallerConnection> caller;
        HttpHead head;
        std::string body;
    };

    std::vector<IgnoredRequest> m_ignored;
    EventLog m_log;
    Metrics m_metrics;
    ReplicaTable m_replicas{milliseconds(1000)};
    HttpCaller m_caller;
    CallerListener m_listener;
    std::unique_ptr<RouterDirectory> m_directory;
    std::unique_ptr<SharedQueueLink> m_link;
};

} // namespace

class SharedQueueLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedQueueLinkTest);
    CPPUNIT_TEST(routersShareTheLeasesOfOneQueue);
    CPPUNIT_TEST(requestWaitsForALeaseAcrossSeveralPolls);
    CPPUNIT_TEST(requestThatCannotBeServedByItsDeadlineIsRefused);
    CPPUNIT_TEST(unresponsiveQueueOwnerIsSkipped);
    CPPUNIT_TEST(nextOwnerDecidesItsOwnRequestAloneAfterASilentOwner);
    CPPUNIT_TEST(routerDecidesAloneWhenOwnersAreSilent);
    CPPUNIT_TEST(routerDecidesAloneWhenOwnerFallsSilent);
    CPPUNIT_TEST(requestsWithoutRoomAreRefusedWhileOthersWait);
    CPPUNIT_TEST(leaseOfAWithdrawnRequestIsFreeAgain);
    CPPUNIT_TEST(stoppingQueueOwnerIsReplacedByNextRouter);
    CPPUNIT_TEST(queueIsNotSharedWhenRoutersAreFewerThanSlots);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (int index = 0; index < 4; ++index)
            m_routers.push_back(std::make_unique<QueueRouter>(m_loop, "r" + std::to_string(index),
                                                              static_cast<std::uint8_t>(index)));
        for (const auto &router : m_routers) {
            for (const auto &other : m_routers)
                router->addRouter(other->self);
        }
    }

    void tearDown() override { m_routers.clear(); }

    void routersShareTheLeasesOfOneQueue()
    {
        const LeaseReply first = grantAllLeases();
        const auto last = requestLease(3);
        runFor(m_loop, milliseconds(100));
        CPPUNIT_ASSERT(!*last);
        m_routers[1]->link().releaseLease(first.lease, LeaseOutcome::Answered, now());
        CPPUNIT_ASSERT(runTicking([&] { return last->has_value(); }));
        CPPUNIT_ASSERT((*last)->verdict == LeaseReply::Verdict::Granted);
        CPPUNIT_ASSERT_EQUAL(m_routers[0]->self.address, (*last)->lease.queueOwner);
    }

    void requestWaitsForALeaseAcrossSeveralPolls()
    {
        const LeaseReply taken = grantAllLeases();
        const auto waiting = requestLease(3);
        const int requestsReceived = m_routers[0]->requestsReceived;
        CPPUNIT_ASSERT(
            runTicking([&] { return m_routers[0]->requestsReceived >= requestsReceived + 2; }));
        CPPUNIT_ASSERT(!*waiting);
        m_routers[1]->link().releaseLease(taken.lease, LeaseOutcome::Answered, now());
        CPPUNIT_ASSERT(runTicking([&] { return waiting->has_value(); }));
        CPPUNIT_ASSERT((*waiting)->verdict == LeaseReply::Verdict::Granted);
    }

    void requestThatCannotBeServedByItsDeadlineIsRefused()
    {
        grantAllLeases();
        const auto waiting = requestLease(3, milliseconds(300));
        CPPUNIT_ASSERT(runTicking([&] { return waiting->has_value(); }));
        CPPUNIT_ASSERT((*waiting)->verdict == LeaseReply::Verdict::Refused);
        CPPUNIT_ASSERT((*waiting)->retryAfter > Duration(0));
    }

    void unresponsiveQueueOwnerIsSkipped()
    {
        m_routers[0]->isUnresponsive = true;
        const auto first = requestLease(2);
        CPPUNIT_ASSERT(runTicking([&] { return first->has_value(); }));
        // A second wait would take longer than a request may stay undecided.
        CPPUNIT_ASSERT((*first)->verdict == LeaseReply::Verdict::NoQueue);
        const int pollsReceived = m_routers[0]->pollsReceived;
        const auto second = requestLease(2);
        CPPUNIT_ASSERT(runTicking([&] { return second->has_value(); }));
        CPPUNIT_ASSERT((*second)->verdict == LeaseReply::Verdict::Granted);
        CPPUNIT_ASSERT_EQUAL(m_routers[1]->self.address, (*second)->lease.queueOwner);
        CPPUNIT_ASSERT_EQUAL(pollsReceived, m_routers[0]->pollsReceived);
    }

    /// The asking router is the next owner; its request has been undecided for long enough.
    void nextOwnerDecidesItsOwnRequestAloneAfterASilentOwner()
    {
        m_routers[0]->isUnresponsive = true;
        const auto first = requestLease(1);
        CPPUNIT_ASSERT(runTicking([&] { return first->has_value(); }));
        CPPUNIT_ASSERT((*first)->verdict == LeaseReply::Verdict::NoQueue);
        const auto second = requestLease(1);
        CPPUNIT_ASSERT(runTicking([&] { return second->has_value(); }));
        CPPUNIT_ASSERT((*second)->verdict == LeaseReply::Verdict::Granted);
        CPPUNIT_ASSERT_EQUAL(m_routers[1]->self.address, (*second)->lease.queueOwner);
    }

    /// Every router but the asking one is silent: it decides alone.
    void routerDecidesAloneWhenOwnersAreSilent()
    {
        for (std::size_t index = 0; index < 3; ++index)
            m_routers[index]->isUnresponsive = true;
        const auto reply = requestLease(3);
        CPPUNIT_ASSERT(runTicking([&] { return reply->has_value(); }));
        CPPUNIT_ASSERT((*reply)->verdict == LeaseReply::Verdict::NoQueue);
    }

    /// The request already waits in the queue of its owner.
    void routerDecidesAloneWhenOwnerFallsSilent()
    {
        grantAllLeases();
        const int requestsReceived = m_routers[0]->requestsReceived;
        const auto reply = requestLease(3, milliseconds(600));
        CPPUNIT_ASSERT(
            runTicking([&] { return m_routers[0]->requestsReceived > requestsReceived + 1; }));
        for (std::size_t index = 0; index < 3; ++index)
            m_routers[index]->isUnresponsive = true;
        CPPUNIT_ASSERT(runTicking([&] { return reply->has_value(); }));
        CPPUNIT_ASSERT((*reply)->verdict == LeaseReply::Verdict::NoQueue);
    }

    void requestsWithoutRoomAreRefusedWhileOthersWait()
    {
        grantAllLeases();
        constexpr int requestCount = 60;
        std::vector<Reply> replies;
        replies.reserve(requestCount);
        for (int index = 0; index < requestCount; ++index)
            replies.push_back(requestLease(3, milliseconds(150)));
        const auto isRefused = [](const Reply &reply) {
            return reply->has_value() && (*reply)->verdict == LeaseReply::Verdict::Refused;
        };
        // Two slots and 150 ms: more than half of the requests have no chance, although no lease
        // ends.
        CPPUNIT_ASSERT(runTicking(
            [&] { return std::count_if(replies.begin(), replies.end(), isRefused) >= 30; }));
    }

    void leaseOfAWithdrawnRequestIsFreeAgain()
    {
        const LeaseReply taken = grantAllLeases();
        // The owner reads the poll of r3 only after r3 has withdrawn it.
        m_routers[0]->isUnresponsive = true;
        const auto first = requestLease(3);
        CPPUNIT_ASSERT(runTicking([&] { return first->has_value(); }));
        m_routers[0]->isUnresponsive = false;
        m_routers[0]->replayIgnored();
        m_routers[1]->link().releaseLease(taken.lease, LeaseOutcome::Answered, now());
        runFor(m_loop, milliseconds(250));
        const auto second = requestLease(2);
        CPPUNIT_ASSERT(runTicking([&] { return second->has_value(); }));
        CPPUNIT_ASSERT_EQUAL(m_routers[0]->self.address, (*second)->lease.queueOwner);
    }

    void stoppingQueueOwnerIsReplacedByNextRouter()
    {
        m_routers[0]->link().stop();
        const auto reply = requestLease(2);
        CPPUNIT_ASSERT(runTicking([&] { return reply->has_value(); }));
        CPPUNIT_ASSERT_EQUAL(m_routers[1]->self.address, (*reply)->lease.queueOwner);
    }

    void queueIsNotSharedWhenRoutersAreFewerThanSlots()
    {
        CPPUNIT_ASSERT(m_routers[0]->link().isShared(kService, now()));
        CPPUNIT_ASSERT(!m_routers[0]->link().isShared(ServiceName("unknown"), now()));
        QueueRouter alone(m_loop, "alone", 0);
        CPPUNIT_ASSERT(!alone.link().isShared(kService, now()));
    }

private:
    using Reply = std::shared_ptr<std::optional<LeaseReply>>;

    Reply requestLease(std::size_t router, Duration timeout = milliseconds(5000))
    {
        LeaseRequirements requirements;
        requirements.service = kService;
        requirements.onTimeWithin = timeout;
        requirements.answerWithin = timeout;
        auto reply = std::make_shared<std::optional<LeaseReply>>();
        m_routers[router]->link().requestLease(requirements, now(),
                                               [reply](const LeaseReply &got) { *reply = got; });
        return reply;
    }

    /// Requests leases from all routers in turn until all are granted; returns the reply to r1.
    LeaseReply grantAllLeases()
    {
        std::vector<Reply> replies;
        for (std::size_t index = 0; index < 2 + ServiceQueue::kExtraLeases; ++index)
            replies.push_back(requestLease((index + 1) % m_routers.size()));
        CPPUNIT_ASSERT(runTicking([&] {
            return std::all_of(replies.begin(), replies.end(),
                               [](const Reply &reply) { return reply->has_value(); });
        }));
        for (const Reply &reply : replies)
            CPPUNIT_ASSERT((*reply)->verdict == LeaseReply::Verdict::Granted);
        return **replies[0];
    }

    /// Runs the loop and ticks all routers until the condition holds; false if it never does.
    bool runTicking(const std::function<bool()> &done)
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
    std::vector<std::unique_ptr<QueueRouter>> m_routers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedQueueLinkTest);
