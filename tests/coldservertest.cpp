// Cold servers, which have just started or reported a cold period: the rate of requests that all
// routers together send to one of them, in simulated time.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"
#include "support/simulationsteps.h"

using namespace comfrey;

namespace {

const ServiceName kService("s");
constexpr double kColdRequestsPerSecond = 18;
/// The fleet's limit on requests that reach a cold server in one second (FAILBACK of the platform's
/// sites): cold_per_s x 1.5 + 5.
constexpr std::size_t kMaxRequestsInASecond = 32;
constexpr Duration kColdPeriod = milliseconds(3000);
constexpr Duration kExchangeInterval =
    milliseconds(400); ///< Between two exchanges of request counts.
constexpr std::size_t kRouters = 78;
constexpr std::size_t kServers = 60;

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(1000000 + ms));
}

ReplicaRecord record(std::size_t server, std::uint64_t startedAtMs, Duration coldDuration)
{
    ReplicaRecord result;
    result.id = BackendId("e" + std::to_string(server));
    result.service = kService;
    result.address = Endpoint("127.0.0.1:1");
    result.slots = 48;
    result.startedAtMs = startedAtMs;
    result.coldDuration = coldDuration;
    return result;
}

FleetConfig config()
{
    FleetConfig result;
    result.version = 1;
    ServiceTraits traits;
    traits.name = kService;
    traits.coldRequestsPerSecond = kColdRequestsPerSecond;
    result.services.push_back(traits);
    return result;
}

/// Simulated load: chats with shared prompts of uneven popularity, at many routers in front of many
/// engines.
class ColdServerSimulation
{
public:
    explicit ColdServerSimulation(double perSecond) : m_perSecond(perSecond)
    {
        for (std::size_t router = 0; router < kRouters; ++router) {
            DispatcherSettings settings;
            settings.seed = router;
            m_routers.push_back(std::make_unique<Dispatcher>(settings));
            m_routers.back()->apply(config());
        }
        for (std::size_t server = 0; server < kServers; ++server)
            publish(record(server, 1, Duration(0)), at(0));
    }

    /// Runs the load; the first third of the servers restarts cold at 6 s.
    void run()
    {
        m_events.schedule(at(0), [this](TimePoint now) { arrive(now); });
        m_events.schedule(at(0), [this](TimePoint now) { exchangeCounts(now); });
        m_events.schedule(at(6000), [this](TimePoint now) {
            for (std::size_t server = 0; server < kServers / 3; ++server)
                publish(record(server, 2, kColdPeriod), now);
        });
        m_events.runAll();
    }

    /// Maximum number of requests that reached one cold server within a second.
    std::size_t maxRequestsInASecond() const
    {
        std::size_t maxRequests = 0;
        for (const auto &[server, times] : m_coldArrivals) {
            for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] >= milliseconds(1000))
                    ++first;
                maxRequests = std::max(maxRequests, last - first + 1);
            }
        }
        return maxRequests;
    }

    /// Mean rate of requests at a cold server, per second.
    double meanRequestsPerSecond() const
    {
        std::size_t total = 0;
        for (const auto &[server, times] : m_coldArrivals)
            total += times.size();
        return static_cast<double>(total) / (kServers / 3.0) / 3.0;
    }

private:
    void publish(const ReplicaRecord &server, TimePoint now)
    {
        for (const auto &router : m_routers)
            router->replicas().put(server, now);
    }

    void arrive(TimePoint now)
    {
        if (now >= at(10000))
            return;
        // Popularity falls with the rank: a third of the requests use the first six of 300.
        const double promptRank = std::exp(m_uniform(m_random) * std::log(300.0));
        Dispatcher &router = *m_routers[m_random() % kRouters];
        RequestFacts facts;
        facts.prompt = {{static_cast<std::uint64_t>(promptRank) * 0x9E3779B97F4A7C15U, 700},
                        {m_random(), 100}};
        const auto replica = router.choose(facts, kService, {}, now).replica;
        if (now < replica->coldUntil)
            m_coldArrivals[replica->incarnation].push_back(now);
        router.onAttemptStarted(*replica, facts, now);
        std::exponential_distribution<double> serviceTimeSeconds(1 / 1.0);
        const Duration serviceTime(
            static_cast<std::int64_t>((0.1 + serviceTimeSeconds(m_random)) * 1e6));
        m_events.schedule(now + serviceTime, [&router, replica, facts, serviceTime](TimePoint) {
            router.onAttemptEnded(*replica, facts, serviceTime);
        });
        std::exponential_distribution<double> interarrivalSeconds(m_perSecond);
        const Duration interarrival(static_cast<std::int64_t>(interarrivalSeconds(m_random) * 1e6));
        m_events.schedule(now + interarrival, [this](TimePoint then) { arrive(then); });
    }

    void exchangeCounts(TimePoint now)
    {
        RequestCounts totalRequests;
        RequestCounts totalPrompts;
        for (const auto &router : m_routers) {
            for (const auto &[server, count] : router->localRequests())
                totalRequests[server] += count;
            for (const auto &[prompt, count] : router->localPromptRequests())
                totalPrompts[prompt] += count;
        }
        for (const auto &router : m_routers) {
            RequestCounts remoteRequests = totalRequests;
            for (const auto &[server, count] : router->localRequests())
                remoteRequests[server] -= count;
            RequestCounts remotePrompts = totalPrompts;
            for (const auto &[prompt, count] : router->localPromptRequests())
                remotePrompts[prompt] -= count;
            router->setRemoteRequests(remoteRequests, now);
            router->setRemotePromptRequests(std::move(remotePrompts));
        }
        if (now < at(10000))
            m_events.schedule(now + kExchangeInterval,
                              [this](TimePoint then) { exchangeCounts(then); });
    }

    double m_perSecond;
    std::mt19937_64 m_random{1};
    std::uniform_real_distribution<double> m_uniform{0, 1};
    std::vector<std::unique_ptr<Dispatcher>> m_routers;
    SimulationSteps m_events;
    std::map<std::string, std::vector<TimePoint>> m_coldArrivals;
};

} // namespace

class ColdServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdServerTest);
    CPPUNIT_TEST(returningColdZoneIsNotOverloaded);
    CPPUNIT_TEST(returningColdZoneIsNotOverloadedByABurst);
    CPPUNIT_TEST(coldServersReceiveTheirShare);
    CPPUNIT_TEST(serviceWithOnlyColdServersIsServed);
    CPPUNIT_TEST(coldPeriodStartsAtTheReport);
    CPPUNIT_TEST_SUITE_END();

public:
    void returningColdZoneIsNotOverloaded() { checkBound(480); }
    void returningColdZoneIsNotOverloadedByABurst() { checkBound(1200); }

    void coldServersReceiveTheirShare()
    {
        ColdServerSimulation simulation(480);
        simulation.run();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(simulation.meanRequestsPerSecond()),
                               simulation.meanRequestsPerSecond() >= 2);
    }

    void serviceWithOnlyColdServersIsServed()
    {
        Dispatcher router{DispatcherSettings{}};
        router.apply(config());
        router.replicas().put(record(1, 1, kColdPeriod), at(0));
        for (int count = 0; count < 100; ++count)
            CPPUNIT_ASSERT(router.choose(RequestFacts(), kService, {}, at(1)).replica);
    }

    void coldPeriodStartsAtTheReport()
    {
        ReplicaTable table(milliseconds(1700));
        table.put(record(1, 1, kColdPeriod), at(0),
                  at(2000)); // Received 2 s after the report.
        CPPUNIT_ASSERT(table.find(BackendId("e1"))->coldUntil == at(3000));
        table.put(record(1, 1, Duration(0)), at(2500), at(2500));
        CPPUNIT_ASSERT(table.find(BackendId("e1"))->coldUntil <= at(2500));
    }

private:
    static void checkBound(double perSecond)
    {
        ColdServerSimulation simulation(perSecond);
        simulation.run();
        CPPUNIT_ASSERT_MESSAGE("in one second: "
                                   + std::to_string(simulation.maxRequestsInASecond()),
                               simulation.maxRequestsInASecond() <= kMaxRequestsInASecond);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdServerTest);
