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
    CPPUNIT_TEST(requestThatCannotBeServedIsRefusedOnArrival);
    CPPUNIT_TEST(moreUrgentArrivalDisplacesAWaitingRequestAtOnce);
    CPPUNIT_TEST(requestKeptForTheDecisionTimeIsNotDisplaced);
    CPPUNIT_TEST(callerThatComesBackAsToldIsServedBeforeLateNewcomers);
    CPPUNIT_TEST(callerThatComesBackDoesNotDisplaceRequestsOnTime);
    CPPUNIT_TEST(equalRequestOfAnotherCallerIsNoReturn);
    CPPUNIT_TEST(refusalsInAnOverloadAreSaidAtOnce);
    CPPUNIT_TEST(overloadServesMoreUrgentKindFirst);
    CPPUNIT_TEST(heavyOrganisationUnderOverloadTakesRoomFromItself);
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
        CPPUNIT_ASSERT(m_queue.decide(at(0)).empty());
        CPPUNIT_ASSERT(m_queue.decide(at(1000)).empty());
        // No lease ends, which could not be known before.
        const auto refused = m_queue.decide(at(1190));
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, refused.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, m_queue.counts().refusedLate);
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

    void requestThatCannotBeServedIsRefusedOnArrival()
    {
        grantAllLeases();
        // Four slots of 30 ms leave room for some 20 requests within 150 ms; newcomers fill it.
        std::size_t refused = 0;
        for (std::int64_t ms = 0; ms < 40; ++ms) {
            enqueueMany(5, at(ms));
            for (const LeaseDecision &decision : m_queue.decide(at(ms))) {
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, decision.leaseId);
                CPPUNIT_ASSERT(decision.retryAfter > Duration(0));
                ++refused;
            }
        }
        CPPUNIT_ASSERT(refused > 150);
        CPPUNIT_ASSERT(m_queue.waitingCount() < 40);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{refused},
                             m_queue.counts().refusedAtOnce + m_queue.counts().displaced);
    }

    void moreUrgentArrivalDisplacesAWaitingRequestAtOnce()
    {
        const std::size_t waiting = fillQueue();
        const LeaseRequest urgent = leaseRequest(++m_lastRequestId);
        m_queue.enqueue(urgent, at(0));
        const auto decisions = m_queue.decide(at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT(decisions[0].requestId != urgent.id);
        CPPUNIT_ASSERT_EQUAL(waiting, m_queue.waitingCount());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_queue.counts().displaced);
    }

    void requestKeptForTheDecisionTimeIsNotDisplaced()
    {
        fillQueue();
        m_queue.enqueue(leaseRequest(++m_lastRequestId, "o", at(85)), at(85));
        CPPUNIT_ASSERT(m_queue.decide(at(85)).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_queue.counts().displaced);
    }

    void callerThatComesBackAsToldIsServedBeforeLateNewcomers()
    {
        refuseOne();
        drainAll(at(50));
        // An overload that has ended; leases are all taken again.
        enqueueMany(kMaxLeases, at(3000));
        const std::vector<LeaseDecision> taken = m_queue.decide(at(3000));
        LeaseRequest late = leaseRequest(++m_lastRequestId, "newcomer", at(2800));
        late.answerDeadline = at(6000);
        m_queue.enqueue(late, at(3000));
        const LeaseRequest back = returning(at(3000));
        m_queue.enqueue(back, at(3000));
        CPPUNIT_ASSERT(m_queue.decide(at(3000)).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_queue.counts().cameBack);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_queue.counts().cameBackEarly);
        m_queue.release(taken[0].leaseId, LeaseOutcome::Answered, at(3001));
        const auto next = m_queue.decide(at(3001));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT_EQUAL(back.id, next[0].requestId);
    }

    void callerThatComesBackDoesNotDisplaceRequestsOnTime()
    {
        refuseOne();
        drainAll(at(50));
        enqueueMany(kMaxLeases, at(3000));
        const std::vector<LeaseDecision> taken = m_queue.decide(at(3000));
        m_queue.enqueue(returning(at(3000)), at(3000));
        LeaseRequest newcomer = leaseRequest(++m_lastRequestId, "o", at(3000));
        m_queue.enqueue(newcomer, at(3000));
        m_queue.release(taken[0].leaseId, LeaseOutcome::Answered, at(3001));
        const auto next = m_queue.decide(at(3001));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT_EQUAL(newcomer.id, next[0].requestId);
    }

    void equalRequestOfAnotherCallerIsNoReturn()
    {
        refuseOne();
        drainAll(at(50));
        LeaseRequest other = returning(at(3000));
        other.callerTime = kCallerTime; // As much as the refused caller had at first.
        m_queue.enqueue(other, at(3000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_queue.counts().cameBack);
        m_queue.enqueue(returning(at(3000)), at(3000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_queue.counts().cameBack);
        // Each refusal is followed by one return.
        m_queue.enqueue(returning(at(3000)), at(3000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_queue.counts().cameBack);
    }

    /// Two to three times the usual, one of the servers down: what cannot be served is said within
    /// 0.1 s, and nobody is kept and then not served.
    void refusalsInAnOverloadAreSaidAtOnce()
    {
        for (const ServiceSimulationConfig &config : overloads()) {
            const ServiceSimulationResult result = simulate<SharedQueuePolicy>(config);
            printResult("overload, returns", result);
            printRefusals(result);
            CPPUNIT_ASSERT(result.refusedAttempts > 100);
            CPPUNIT_ASSERT(result.longestRefusal <= milliseconds(100));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.heldInVain);
            CPPUNIT_ASSERT(result.timedOut * 1000 < result.requests);
        }
    }

    void overloadServesMoreUrgentKindFirst()
    {
        for (const ServiceSimulationConfig &config : overloads()) {
            const ServiceSimulationResult result = simulate<SharedQueuePolicy>(config);
            const auto &urgent = result.kinds.at(0);
            const auto &other = result.kinds.at(1);
            CPPUNIT_ASSERT(urgent.onTimeShare() >= other.onTimeShare());
            CPPUNIT_ASSERT(urgent.answeredShare() >= other.answeredShare());
        }
    }

    /// One organisation at 7.5 times its usual beside a usual load that fits: the others are served
    /// on time.
    void heavyOrganisationUnderOverloadTakesRoomFromItself()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            ServiceSimulationConfig config = smallService(75, milliseconds(1000));
            config.hotLoadFactor = 7.5;
            config.seed = seed;
            const ServiceSimulationResult result = simulate<SharedQueuePolicy>(config);
            printResult("heavy organisation, returns", result);
            printRefusals(result);
            CPPUNIT_ASSERT(result.longestRefusal <= milliseconds(100));
            for (const auto &[organisation, share] : result.onTimeShareByOrganisation) {
                if (organisation != "o0")
                    CPPUNIT_ASSERT(share >= 0.85);
            }
        }
    }

private:
    static constexpr std::uint64_t kFingerprint = 77;
    static constexpr Duration kCallerTime = milliseconds(8000);

    /// A service of three servers whose refused callers come back once.
    static ServiceSimulationConfig smallService(std::size_t routers, Duration callerTimeout)
    {
        ServiceSimulationConfig config;
        config.routers = routers;
        config.requestsPerSecond = 241;
        config.callerTimeout = callerTimeout;
        config.returns = 1;
        config.lessUrgentShare = 0.2;
        return config;
    }

    static std::vector<ServiceSimulationConfig> overloads()
    {
        std::vector<ServiceSimulationConfig> configs;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            ServiceSimulationConfig config = smallService(75, milliseconds(1000));
            config.seed = seed;
            config.overloadFactor = 2.6;
            configs.push_back(config);
            config.overloadFactor = 2;
            config.serversDown = 1;
            configs.push_back(config);
            config.overloadFactor = 2.6;
            config.hotLoadFactor = 7.5;
            config.serversDown = 0;
            configs.push_back(config);
            config = smallService(142, milliseconds(1500));
            config.seed = seed;
            config.requestsPerSecond = 408;
            config.meanServiceTime = milliseconds(15);
            config.objective = milliseconds(120);
            config.overloadFactor = 3;
            configs.push_back(config);
        }
        return configs;
    }

    static void printRefusals(const ServiceSimulationResult &result)
    {
        const auto &urgent = result.kinds.at(0);
        const auto &other = result.kinds.at(1);
        std::printf("    attempts refused %5zu, after 0.1 s %5zu, longest %4.0f ms, held in vain "
                    "%zu; urgent %.3f on time %.3f answered, others %.3f and %.3f\n",
                    result.refusedAttempts, result.lateRefusals,
                    static_cast<double>(result.longestRefusal.count()) / 1000, result.heldInVain,
                    urgent.onTimeShare(), urgent.answeredShare(), other.onTimeShare(),
                    other.answeredShare());
    }

    /// Takes all leases and fills the queue with less urgent requests until one is refused. Returns
    /// the number that wait.
    std::size_t fillQueue()
    {
        grantAllLeases();
        while (true) {
            LeaseRequest request = leaseRequest(++m_lastRequestId);
            request.priority = 1;
            request.answerDeadline = request.onTimeDeadline; // It is of no use late.
            m_queue.enqueue(request, at(0));
            if (!m_queue.decide(at(0)).empty())
                return m_queue.waitingCount();
        }
    }

    /// Fills the queue until the request of a caller that can come back is refused.
    std::uint64_t refuseOne()
    {
        fillQueue();
        LeaseRequest request = leaseRequest(++m_lastRequestId);
        request.priority = 2;
        request.answerDeadline = request.onTimeDeadline;
        request.fingerprint = kFingerprint;
        request.callerTime = kCallerTime;
        m_queue.enqueue(request, at(0));
        const auto decisions = m_queue.decide(at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT_EQUAL(request.id, decisions[0].requestId);
        return request.id;
    }

    /// The next attempt of the caller of refuseOne().
    LeaseRequest returning(TimePoint now)
    {
        LeaseRequest request = leaseRequest(++m_lastRequestId, "newcomer", now);
        request.fingerprint = kFingerprint;
        request.callerTime = kCallerTime - (now - at(0));
        request.answerDeadline = at(6000);
        return request;
    }

    /// Lets all granted leases expire and drops all waiting requests.
    void drainAll(TimePoint now)
    {
        for (std::uint64_t id = 1; id <= m_lastRequestId; ++id)
            m_queue.withdraw(id);
        for (std::uint64_t lease = 1; lease <= kMaxLeases; ++lease)
            m_queue.release(lease, LeaseOutcome::Unused, now);
    }

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

    void enqueueMany(std::uint64_t count, TimePoint now = at(0))
    {
        for (std::uint64_t index = 0; index < count; ++index)
            m_queue.enqueue(leaseRequest(++m_lastRequestId, "o", now), now);
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
