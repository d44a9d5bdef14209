// ServiceQueue: plans while servers leave the list, return or cannot be reached.
#include <cppunit/extensions/HelperMacros.h>

#include <utility>
#include <vector>

#include "dispatch/servicequeue.h"

using namespace comfrey;

namespace {

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(ms));
}

const std::vector<QueueServer> kServers{{1, 6}, {2, 6}, {3, 6}};
constexpr std::uint64_t kMaxLeases = 3U * (6U + std::uint64_t{ServiceQueue::kExtraLeases});

} // namespace

class ServiceQueueServersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceQueueServersTest);
    CPPUNIT_TEST(returningServersKeepTheDrainRate);
    CPPUNIT_TEST(arrivalsDuringAPauseOfAllServersAreNotRefusedLate);
    CPPUNIT_TEST(arrivalsWhileServersStayUnreachableAreNotRefusedLate);
    CPPUNIT_TEST(retryThatHasTriedEveryServerIsRefusedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_queue.setServers(kServers); }

    /// A configuration without servers, or a router that has lost its list, and then the same
    /// servers again.
    void returningServersKeepTheDrainRate()
    {
        std::vector<std::pair<std::int64_t, std::uint64_t>> leases; // End in ms, id.
        for (std::int64_t ms = 0; ms < 1000; ++ms) {
            std::erase_if(leases, [&](const auto &lease) {
                if (lease.first > ms)
                    return false;
                m_queue.release(lease.second, LeaseOutcome::Answered, at(ms));
                return true;
            });
            enqueueMany(2, ms);
            for (const LeaseDecision &decision : m_queue.decide(at(ms))) {
                if (decision.leaseId != 0)
                    leases.emplace_back(ms + 45, decision.leaseId);
            }
        }
        for (std::uint64_t id = 1; id <= m_lastRequestId; ++id)
            m_queue.withdraw(id);
        for (const auto &[end, id] : leases)
            m_queue.release(id, LeaseOutcome::Answered, at(1000));
        m_queue.setServers({});
        m_queue.setServers(kServers);
        enqueueMany(kMaxLeases, 1001);
        CPPUNIT_ASSERT_EQUAL(std::size_t{kMaxLeases}, m_queue.decide(at(1001)).size());
        // Leases of 45 ms: the last of these is served after about 95 ms.
        enqueueMany(30, 1002);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_queue.decide(at(1002)).size());
    }

    /// All servers refuse connections and are back after the longest pause.
    void arrivalsDuringAPauseOfAllServersAreNotRefusedLate() { checkPause(LeaseOutcome::Answered); }

    void arrivalsWhileServersStayUnreachableAreNotRefusedLate()
    {
        checkPause(LeaseOutcome::Unreachable);
    }

    void retryThatHasTriedEveryServerIsRefusedAtOnce()
    {
        LeaseRequest retry = request(0);
        retry.isRetry = true;
        retry.excluded = {1, 2, 3};
        m_queue.enqueue(retry, at(0));
        const auto decisions = m_queue.decide(at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, decisions[0].leaseId);
        CPPUNIT_ASSERT(decisions[0].retryAfter > Duration(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_queue.counts().refusedAtOnce);
        retry = request(1);
        retry.isRetry = true;
        retry.excluded = {1, 3};
        m_queue.enqueue(retry, at(1));
        const auto granted = m_queue.decide(at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, granted.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, granted[0].server);
    }

private:
    /// `later` is the outcome of the leases after the first pause.
    void checkPause(LeaseOutcome later)
    {
        enqueueMany(kMaxLeases, 0);
        for (const LeaseDecision &decision : m_queue.decide(at(0)))
            m_queue.release(decision.leaseId, LeaseOutcome::Unreachable, at(1));
        std::vector<std::pair<std::int64_t, std::uint64_t>> leases;
        for (std::int64_t ms = 2; ms < 6000; ++ms) {
            std::erase_if(leases, [&](const auto &lease) {
                if (lease.first > ms)
                    return false;
                m_queue.release(lease.second, later, at(ms));
                return true;
            });
            if (ms % 20 == 0 && ms < 5000)
                enqueueMany(5, ms);
            for (const LeaseDecision &decision : m_queue.decide(at(ms))) {
                if (decision.leaseId != 0)
                    leases.emplace_back(ms + 45, decision.leaseId);
            }
        }
        CPPUNIT_ASSERT(m_queue.counts().refusedAtOnce > 500);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_queue.counts().refusedLate);
    }

    LeaseRequest request(std::int64_t ms)
    {
        LeaseRequest result;
        result.id = ++m_lastRequestId;
        result.organisation = "o";
        result.onTimeDeadline = at(ms + 150);
        result.answerDeadline = at(ms + 1000);
        return result;
    }

    void enqueueMany(std::uint64_t count, std::int64_t ms)
    {
        for (std::uint64_t index = 0; index < count; ++index)
            m_queue.enqueue(request(ms), at(ms));
    }

    ServiceQueue m_queue;
    std::uint64_t m_lastRequestId = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceQueueServersTest);
