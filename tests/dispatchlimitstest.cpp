// Limits of retries that hold over the whole fleet though each router counts only local requests,
// and ejection of servers that fail.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <vector>

#include "dispatch/dispatcher.h"
#include "dispatch/replicahealth.h"
#include "dispatch/retrybudget.h"

using namespace comfrey;

namespace {

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(1000000 + ms));
}

} // namespace

class DispatchLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchLimitsTest);
    CPPUNIT_TEST(retriesOfManyRoutersStayWithinTheFleetBudget);
    CPPUNIT_TEST(atMostOnceRequestIsNotRetriedAfterItMayHaveRun);
    CPPUNIT_TEST(retryableRequestRunsOnAtMostMaxAttemptsServers);
    CPPUNIT_TEST(failingServerIsEjectedAndReturnsAfterOneProbe);
    CPPUNIT_TEST(serverThatFailsAsOftenAsItsPeersStaysInUse);
    CPPUNIT_TEST(silentServerIsAvoidedBeforeAnyAnswer);
    CPPUNIT_TEST(serverWhoseCallersTimeOutIsEjected);
    CPPUNIT_TEST(earlyDisconnectOfCallersDoesNotCountAsFailure);
    CPPUNIT_TEST(partlyFailingServerIsEjectedWithinAFewRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Load: fleets of 9 and 29 routers with uneven shares, and every request needs a retry. Bound:
    /// in any window of 10 s, 0.2 retries per request of that window or the one before, and 58
    /// more.
    void retriesOfManyRoutersStayWithinTheFleetBudget()
    {
        for (const std::size_t routers : {9, 29}) {
            std::mt19937_64 random(routers);
            std::vector<RetryBudget> budgets(routers, RetryBudget(RetryBudgetLimits{}));
            std::vector<std::int64_t> requests;
            std::vector<std::int64_t> retries;
            for (std::int64_t ms = 0; ms < 40000;
                 ms += 1 + static_cast<std::int64_t>(random() % 10)) {
                const std::size_t router = std::min(random() % routers, random() % routers);
                budgets[router].onRequest(at(ms));
                requests.push_back(ms);
                if (budgets[router].tryAcquire(at(ms)))
                    retries.push_back(ms);
            }
            for (const std::int64_t end : retries) {
                const auto countIn = [&](const std::vector<std::int64_t> &times, std::int64_t from,
                                         std::int64_t to) {
                    return std::count_if(times.begin(), times.end(),
                                         [&](std::int64_t t) { return t > from && t <= to; });
                };
                const auto maxRequests = std::max(countIn(requests, end - 10000, end),
                                                  countIn(requests, end - 20000, end - 10000));
                CPPUNIT_ASSERT(static_cast<double>(countIn(retries, end - 10000, end))
                               <= 0.2 * static_cast<double>(maxRequests) + 58);
            }
            CPPUNIT_ASSERT(!retries.empty());
        }
    }

    void atMostOnceRequestIsNotRetriedAfterItMayHaveRun()
    {
        Dispatcher dispatcher(DispatcherSettings{});
        const Admission admission = admitted(dispatcher, RouteKind::AtMostOnce, false, 3);
        CPPUNIT_ASSERT(!dispatcher.mayRetry(admission, AttemptResult::Unknown, 1, 1, at(0)));
        CPPUNIT_ASSERT(!dispatcher.mayRetry(admission, AttemptResult::Failed, 1, 1, at(0)));
        CPPUNIT_ASSERT(dispatcher.mayRetry(admission, AttemptResult::NotSent, 1, 0, at(0)));
        CPPUNIT_ASSERT(dispatcher.mayRetry(admission, AttemptResult::NotRun, 1, 0, at(0)));
        const Admission stream = admitted(dispatcher, RouteKind::Stream, false, 3);
        CPPUNIT_ASSERT(!dispatcher.mayRetry(stream, AttemptResult::Unknown, 1, 1, at(0)));
    }

    void retryableRequestRunsOnAtMostMaxAttemptsServers()
    {
        Dispatcher dispatcher(DispatcherSettings{});
        const Admission admission = admitted(dispatcher, RouteKind::Retryable, false, 2);
        CPPUNIT_ASSERT(dispatcher.mayRetry(admission, AttemptResult::Unknown, 1, 1, at(0)));
        CPPUNIT_ASSERT(!dispatcher.mayRetry(admission, AttemptResult::Unknown, 2, 2, at(0)));
        const Admission stream = admitted(dispatcher, RouteKind::Stream, true, 2);
        CPPUNIT_ASSERT(dispatcher.mayRetry(stream, AttemptResult::Unknown, 1, 1, at(0)));
    }

    void failingServerIsEjectedAndReturnsAfterOneProbe()
    {
        ReplicaHealth health;
        const Duration typicalLatency = milliseconds(20);
        for (int failure = 0; failure < 10; ++failure) {
            health.onSent(at(failure));
            health.onFailure(0, at(failure));
        }
        CPPUNIT_ASSERT(health.shouldAvoid(typicalLatency, at(20)));
        const TimePoint later = at(10000);
        CPPUNIT_ASSERT(!health.shouldAvoid(typicalLatency, later));
        health.onSent(later);
        CPPUNIT_ASSERT(health.shouldAvoid(typicalLatency, later));
        health.onAnswer(milliseconds(10), later);
        CPPUNIT_ASSERT(!health.shouldAvoid(typicalLatency, later));
    }

    void serverThatFailsAsOftenAsItsPeersStaysInUse()
    {
        ReplicaHealth health;
        for (int failure = 0; failure < 20; ++failure) {
            health.onSent(at(failure));
            health.onFailure(0.8, at(failure));
        }
        CPPUNIT_ASSERT(!health.shouldAvoid(milliseconds(20), at(21)));
    }

    void silentServerIsAvoidedBeforeAnyAnswer()
    {
        ReplicaHealth health;
        health.onSent(at(0));
        CPPUNIT_ASSERT(!health.shouldAvoid(milliseconds(20), at(300)));
        CPPUNIT_ASSERT(health.shouldAvoid(milliseconds(20), at(600)));
        CPPUNIT_ASSERT(!health.shouldAvoid(milliseconds(500), at(600)));
    }

    /// Incident inc-a955 of tsetseg-swarmline: servers accepted requests and sent nothing for 2 s,
    /// until their callers disconnected.
    void serverWhoseCallersTimeOutIsEjected()
    {
        ReplicaHealth health;
        for (std::int64_t request = 0; request < 2; ++request) {
            health.onSent(at(3000 * request));
            health.onAbandoned(milliseconds(2000), milliseconds(40), 0, at(3000 * request + 2000));
        }
        CPPUNIT_ASSERT(health.shouldAvoid(milliseconds(40), at(5100)));
    }

    void earlyDisconnectOfCallersDoesNotCountAsFailure()
    {
        ReplicaHealth health;
        for (std::int64_t request = 0; request < 20; ++request) {
            health.onSent(at(100 * request));
            health.onAbandoned(milliseconds(50), milliseconds(40), 0, at(100 * request + 50));
        }
        CPPUNIT_ASSERT(!health.shouldAvoid(milliseconds(40), at(2100)));
        CPPUNIT_ASSERT_EQUAL(0.0, health.failureShare());
    }

    /// Load: a server that fails 40% of its requests while its peers fail none; a router sends it
    /// about one request a second.
    void partlyFailingServerIsEjectedWithinAFewRequests()
    {
        std::mt19937_64 random(5);
        int sent = 0;
        for (int round = 0; round < 200; ++round) {
            ReplicaHealth health;
            TimePoint now = at(0);
            while (!health.shouldAvoid(milliseconds(40), now)) {
                ++sent;
                health.onSent(now);
                if (random() % 10 < 4)
                    health.onFailure(0, now);
                else
                    health.onAnswer(milliseconds(40), now);
                if (health.shouldAvoid(milliseconds(40), now))
                    break;
                now += milliseconds(1000);
            }
        }
        CPPUNIT_ASSERT(sent <= 200 * 8);
    }

private:
    static Admission admitted(Dispatcher &dispatcher, RouteKind kind, bool canResume,
                              std::uint32_t maxAttempts)
    {
        FleetConfig config;
        config.version = dispatcher.table() ? dispatcher.table()->version() + 1 : 1;
        Route route;
        route.host = "a";
        route.pathPrefix = "/";
        route.kind = kind;
        route.canResume = canResume;
        route.maxAttempts = maxAttempts;
        route.targets = {{ServiceName("s"), 1}};
        config.routes = {route};
        dispatcher.apply(std::move(config));
        RequestFacts request;
        request.host = "a";
        request.path = "/";
        return dispatcher.admit(request, at(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchLimitsTest);
