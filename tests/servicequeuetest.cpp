// ServiceQueue: order of the waiting requests, limits of the leases, and simulated loads compared
// with routers that choose servers without a shared queue.
#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "dispatch/servicequeue.h"
#include "support/servicepolicies.h"

using namespace comfrey;

namespace {

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(ms));
}

LeaseRequest leaseRequest(std::uint64_t id, const std::string &organisation = "o",
                          TimePoint now = at(0))
{
    LeaseRequest result;
    result.id = id;
    result.organisation = organisation;
    result.onTimeDeadline = now + milliseconds(150);
    result.answerDeadline = now + milliseconds(1200);
    return result;
}

template<typename Policy>
ServiceSimulationResult simulate(const ServiceSimulationConfig &config)
{
    Policy policy(config);
    return ServiceQueueSimulation(config, policy).run();
}

} // namespace

class ServiceQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceQueueTest);
    CPPUNIT_TEST(requestsBeyondAllLeasesWaitForARelease);
    CPPUNIT_TEST(lateRequestIsServedAfterRequestOnTime);
    CPPUNIT_TEST(urgentRequestIsServedFirst);
    CPPUNIT_TEST(organisationWithFewestGrantsIsServedFirst);
    CPPUNIT_TEST(requestPastItsDeadlineIsRefusedWithRetryTime);
    CPPUNIT_TEST(slowServerGetsFewerLeases);
    CPPUNIT_TEST(unreachableServerIsPausedThenUsedAgain);
    CPPUNIT_TEST(leaseThatIsNeverReleasedExpires);
    CPPUNIT_TEST(leasesSurviveAChangedServerList);
    CPPUNIT_TEST(serverThatIsListedAgainKeepsItsLeases);
    CPPUNIT_TEST(sharedQueueServesPeakLoadOnTime);
    CPPUNIT_TEST(sharedQueueUnderOverloadKeepsServingOnTime);
    CPPUNIT_TEST(hotOrganisationLeavesOtherOrganisationsOnTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_queue.setServers({{1, 2}, {2, 2}}); }

    void requestsBeyondAllLeasesWaitForARelease()
    {
        enqueueMany(kMaxLeases + 4);
        const auto granted = m_queue.decide(at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{kMaxLeases}, granted.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_queue.waitingCount());
        m_queue.release(granted[0].leaseId, LeaseOutcome::Answered, at(10));
        const auto next = m_queue.decide(at(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT_EQUAL(granted[0].server, next[0].server);
        CPPUNIT_ASSERT(m_queue.withdraw(kMaxLeases + 4));
        CPPUNIT_ASSERT(!m_queue.withdraw(1));
        // Releasing a lease again has no effect.
        m_queue.release(granted[0].leaseId, LeaseOutcome::Answered, at(11));
        CPPUNIT_ASSERT(m_queue.decide(at(11)).empty());
    }

    void lateRequestIsServedAfterRequestOnTime()
    {
        const auto granted = grantAllLeases();
        m_queue.enqueue(leaseRequest(120, "o", at(-200)), at(0)); // It cannot be on time any more.
        m_queue.enqueue(leaseRequest(121), at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{121}, releaseOne(granted[0]).requestId);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{120}, releaseOne(granted[1]).requestId);
    }

    void urgentRequestIsServedFirst()
    {
        const auto granted = grantAllLeases();
        LeaseRequest usual = leaseRequest(120);
        usual.priority = 2;
        m_queue.enqueue(usual, at(0));
        m_queue.enqueue(leaseRequest(121), at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{121}, releaseOne(granted[0]).requestId);
    }

    void organisationWithFewestGrantsIsServedFirst()
    {
        const auto granted = grantAllLeases(); // All leases belong to organisation "o".
        m_queue.enqueue(leaseRequest(120, "o"), at(0));
        m_queue.enqueue(leaseRequest(121, "other"), at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{121}, releaseOne(granted[0]).requestId);
    }

    void requestPastItsDeadlineIsRefusedWithRetryTime()
    {
        grantAllLeases();
        enqueueMany(15);
        CPPUNIT_ASSERT(m_queue.decide(at(1000)).empty());
        const auto refused = m_queue.decide(at(1190));
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, refused.size());
        for (const LeaseDecision &decision : refused) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, decision.leaseId);
            CPPUNIT_ASSERT(decision.retryAfter >= milliseconds(200));
        }
    }

    void slowServerGetsFewerLeases()
    {
        // Server 1 takes ten times as long as server 2.
        std::map<std::uint32_t, int> uses;
        std::multimap<std::int64_t, LeaseDecision> ends;
        std::uint64_t id = 0;
        for (std::int64_t ms = 0; ms < 4000; ++ms) {
            while (!ends.empty() && ends.begin()->first <= ms) {
                m_queue.release(ends.begin()->second.leaseId, LeaseOutcome::Answered, at(ms));
                ends.erase(ends.begin());
            }
            if (ms % 20 == 0)
                m_queue.enqueue(leaseRequest(++id, "o", at(ms)), at(ms));
            for (const LeaseDecision &decision : m_queue.decide(at(ms))) {
                ++uses[decision.server];
                ends.emplace(ms + (decision.server == 1 ? 300 : 30), decision);
            }
        }
        CPPUNIT_ASSERT(uses[2] > 10 * uses[1]);
    }

    void unreachableServerIsPausedThenUsedAgain()
    {
        enqueueMany(1);
        const LeaseDecision first = m_queue.decide(at(0)).front();
        m_queue.release(first.leaseId, LeaseOutcome::Unreachable, at(1));
        enqueueMany(3);
        for (const LeaseDecision &decision : m_queue.decide(at(2)))
            CPPUNIT_ASSERT(decision.server != first.server);
        enqueueMany(3);
        std::set<std::uint32_t> servers;
        for (const LeaseDecision &decision : m_queue.decide(at(600)))
            servers.insert(decision.server);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, servers.count(first.server));
    }

    void leaseThatIsNeverReleasedExpires()
    {
        grantAllLeases();
        m_queue.enqueue(leaseRequest(120, "o", at(1800)), at(1800));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_queue.decide(at(1800)).size());
    }

    void leasesSurviveAChangedServerList()
    {
        const auto granted = grantAllLeases();
        m_queue.setServers({{1, 2}, {3, 1}});
        enqueueMany(20);
        // Server 1 is still full.
        const auto next = m_queue.decide(at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1 + ServiceQueue::kExtraLeases}, next.size());
        for (const LeaseDecision &decision : next)
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, decision.server);
        for (const LeaseDecision &decision : granted)
            m_queue.release(decision.leaseId, LeaseOutcome::Answered, at(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2 + ServiceQueue::kExtraLeases},
                             m_queue.decide(at(5)).size());
    }

    void serverThatIsListedAgainKeepsItsLeases()
    {
        grantAllLeases();
        m_queue.setServers({{1, 2}});
        m_queue.setServers({{1, 2}, {2, 2}});
        enqueueMany(1);
        CPPUNIT_ASSERT(m_queue.decide(at(1)).empty());
    }

    /// Target: at least 0.85 of the requests of every kind are answered on time.
    void sharedQueueServesPeakLoadOnTime()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            ServiceSimulationConfig config;
            config.seed = seed;
            const ServiceSimulationResult local = simulate<LocalPlacementPolicy>(config);
            const ServiceSimulationResult shared = simulate<SharedQueuePolicy>(config);
            printResult("peak, alone", local);
            printResult("peak, queue", shared);
            CPPUNIT_ASSERT(shared.onTimeShare() > local.onTimeShare());
            CPPUNIT_ASSERT(shared.onTimeShare() >= 0.85);
        }
    }

    /// A third more requests than the servers can run at the peak: served requests are still on
    /// time.
    void sharedQueueUnderOverloadKeepsServingOnTime()
    {
        ServiceSimulationConfig config;
        config.requestsPerSecond = 420;
        const ServiceSimulationResult local = simulate<LocalPlacementPolicy>(config);
        const ServiceSimulationResult shared = simulate<SharedQueuePolicy>(config);
        printResult("overload, alone", local);
        printResult("overload, queue", shared);
        CPPUNIT_ASSERT(shared.onTime > local.onTime);
        CPPUNIT_ASSERT(shared.servedShare() >= local.servedShare());
        CPPUNIT_ASSERT(shared.timedOut * 1000 < shared.requests);
    }

    /// One organisation sends five times its usual load for a third of the time.
    void hotOrganisationLeavesOtherOrganisationsOnTime()
    {
        ServiceSimulationConfig config;
        config.hotLoadFactor = 5;
        const ServiceSimulationResult local = simulate<LocalPlacementPolicy>(config);
        const ServiceSimulationResult shared = simulate<SharedQueuePolicy>(config);
        printResult("hot organisation, alone", local);
        printResult("hot organisation, queue", shared);
        for (const auto &[organisation, share] : shared.onTimeShareByOrganisation) {
            if (organisation != "o0")
                CPPUNIT_ASSERT(share >= 0.85);
        }
    }

private:
    /// Leases of two servers with two slots each.
    static constexpr std::uint64_t kMaxLeases =
        2U * (2U + std::uint64_t{ServiceQueue::kExtraLeases});

    static void printResult(const char *name, const ServiceSimulationResult &result)
    {
        std::printf("  %-26s asked %6zu  on time %.3f  late %.3f  refused %.3f  lost %.3f  "
                    "middle %3.0f ms  largest organisation on time %.3f\n",
                    name, result.requests, result.onTimeShare(),
                    static_cast<double>(result.late) / static_cast<double>(result.requests),
                    static_cast<double>(result.refused) / static_cast<double>(result.requests),
                    static_cast<double>(result.timedOut) / static_cast<double>(result.requests),
                    static_cast<double>(result.medianTime.count()) / 1000,
                    result.onTimeShareByOrganisation.at("o0"));
    }

    void enqueueMany(std::uint64_t count)
    {
        for (std::uint64_t index = 0; index < count; ++index)
            m_queue.enqueue(leaseRequest(++m_lastRequestId), at(0));
    }

    /// Grants every lease that the two servers allow.
    std::vector<LeaseDecision> grantAllLeases()
    {
        enqueueMany(kMaxLeases);
        return m_queue.decide(at(0));
    }

    /// Releases a lease and returns the only decision that this makes possible.
    LeaseDecision releaseOne(const LeaseDecision &granted)
    {
        m_queue.release(granted.leaseId, LeaseOutcome::Answered, at(1));
        const auto decisions = m_queue.decide(at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        return decisions.front();
    }

    ServiceQueue m_queue;
    std::uint64_t m_lastRequestId = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceQueueTest);
