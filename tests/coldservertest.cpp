// Servers that are cold, after a start or for a while: how many requests a second all routers
// together send to one, under scripted time.
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
constexpr double kColdPerSecond = 18;
/// The fleet's bound on the requests that reach a cold server in one second (FAILBACK of the
/// platform's sites): cold_per_s x 1.5 + 5.
constexpr std::size_t kMostInASecond = 32;
constexpr Duration kCold = milliseconds(3000);
constexpr Duration kTold = milliseconds(400); ///< Between two sums of the others' requests.
constexpr std::size_t kRouters = 78;
constexpr std::size_t kServers = 60;

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(1000000 + ms));
}

ReplicaRecord record(std::size_t server, std::uint64_t born, Duration coldFor)
{
    ReplicaRecord result;
    result.id = BackendId("e" + std::to_string(server));
    result.service = kService;
    result.address = Endpoint("127.0.0.1:1");
    result.slots = 48;
    result.startedAtMs = born;
    result.coldDuration = coldFor;
    return result;
}

FleetConfig config()
{
    FleetConfig result;
    result.version = 1;
    ServiceTraits traits;
    traits.name = kService;
    traits.coldPerSecond = kColdPerSecond;
    result.services.push_back(traits);
    return result;
}

/// Chats about shared prompts, some of them much asked for, at many routers before many engines.
class ColdPlay
{
public:
    explicit ColdPlay(double perSecond) : m_perSecond(perSecond)
    {
        for (std::size_t router = 0; router < kRouters; ++router) {
            DispatcherSettings settings;
            settings.seed = router;
            m_routers.push_back(std::make_unique<Dispatcher>(settings));
            m_routers.back()->apply(config());
        }
        for (std::size_t server = 0; server < kServers; ++server)
            list(record(server, 1, Duration(0)), at(0));
    }

    /// The first third of the servers starts again at 6 s, cold.
    void run()
    {
        m_steps.schedule(at(0), [this](TimePoint now) { arrive(now); });
        m_steps.schedule(at(0), [this](TimePoint now) { tell(now); });
        m_steps.schedule(at(6000), [this](TimePoint now) {
            for (std::size_t server = 0; server < kServers / 3; ++server)
                list(record(server, 2, kCold), now);
        });
        m_steps.runAll();
    }

    /// Most requests that reached one cold server in a second.
    std::size_t mostInASecond() const
    {
        std::size_t most = 0;
        for (const auto &[server, times] : m_coldArrivals) {
            for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] >= milliseconds(1000))
                    ++first;
                most = std::max(most, last - first + 1);
            }
        }
        return most;
    }

    /// Mean requests a second at a cold server.
    double meanAtCold() const
    {
        std::size_t total = 0;
        for (const auto &[server, times] : m_coldArrivals)
            total += times.size();
        return static_cast<double>(total) / (kServers / 3.0) / 3.0;
    }

private:
    void list(const ReplicaRecord &server, TimePoint now)
    {
        for (const auto &router : m_routers)
            router->replicas().put(server, now);
    }

    void arrive(TimePoint now)
    {
        if (now >= at(10000))
            return;
        // A third of the requests are about the first of 300 prompts, falling off.
        const double place = std::exp(m_uniform(m_random) * std::log(300.0));
        Dispatcher &router = *m_routers[m_random() % kRouters];
        RequestFacts facts;
        facts.prompt = {{static_cast<std::uint64_t>(place) * 0x9E3779B97F4A7C15U, 700},
                        {m_random(), 100}};
        const auto replica = router.choose(facts, kService, {}, now).replica;
        if (now < replica->coldUntil)
            m_coldArrivals[replica->incarnation].push_back(now);
        router.onAttemptStarted(*replica, facts, now);
        std::exponential_distribution<double> work(1 / 1.0);
        const Duration held(static_cast<std::int64_t>((0.1 + work(m_random)) * 1e6));
        m_steps.schedule(now + held, [&router, replica, facts, held](TimePoint) {
            router.onAttemptEnded(*replica, facts, held);
        });
        std::exponential_distribution<double> pause(m_perSecond);
        const Duration next(static_cast<std::int64_t>(pause(m_random) * 1e6));
        m_steps.schedule(now + next, [this](TimePoint then) { arrive(then); });
    }

    void tell(TimePoint now)
    {
        RequestCounts all;
        RequestCounts allPrompts;
        for (const auto &router : m_routers) {
            for (const auto &[server, count] : router->localRequests())
                all[server] += count;
            for (const auto &[prompt, count] : router->localPromptRequests())
                allPrompts[prompt] += count;
        }
        for (const auto &router : m_routers) {
            RequestCounts others = all;
            for (const auto &[server, count] : router->localRequests())
                others[server] -= count;
            RequestCounts prompts = allPrompts;
            for (const auto &[prompt, count] : router->localPromptRequests())
                prompts[prompt] -= count;
            router->setRemoteRequests(others, now);
            router->setRemotePromptRequests(std::move(prompts));
        }
        if (now < at(10000))
            m_steps.schedule(now + kTold, [this](TimePoint then) { tell(then); });
    }

    double m_perSecond;
    std::mt19937_64 m_random{1};
    std::uniform_real_distribution<double> m_uniform{0, 1};
    std::vector<std::unique_ptr<Dispatcher>> m_routers;
    SimulationSteps m_steps;
    std::map<std::string, std::vector<TimePoint>> m_coldArrivals;
};

} // namespace

class ColdServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdServerTest);
    CPPUNIT_TEST(zoneThatComesBackColdIsNotOverrun);
    CPPUNIT_TEST(zoneThatComesBackColdInABurstIsNotOverrun);
    CPPUNIT_TEST(coldServersGetTheirPart);
    CPPUNIT_TEST(serviceThatIsAllColdIsServed);
    CPPUNIT_TEST(coldServerIsOneFromItsReportOn);
    CPPUNIT_TEST_SUITE_END();

public:
    void zoneThatComesBackColdIsNotOverrun() { checkBound(480); }
    void zoneThatComesBackColdInABurstIsNotOverrun() { checkBound(1200); }

    void coldServersGetTheirPart()
    {
        ColdPlay play(480);
        play.run();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(play.meanAtCold()), play.meanAtCold() >= 2);
    }

    void serviceThatIsAllColdIsServed()
    {
        Dispatcher router{DispatcherSettings{}};
        router.apply(config());
        router.replicas().put(record(1, 1, kCold), at(0));
        for (int count = 0; count < 100; ++count)
            CPPUNIT_ASSERT(router.choose(RequestFacts(), kService, {}, at(1)).replica);
    }

    void coldServerIsOneFromItsReportOn()
    {
        ReplicaTable table(milliseconds(1700));
        table.put(record(1, 1, kCold), at(0), at(2000)); // Read by another router, heard late.
        CPPUNIT_ASSERT(table.find(BackendId("e1"))->coldUntil == at(3000));
        table.put(record(1, 1, Duration(0)), at(2500), at(2500));
        CPPUNIT_ASSERT(table.find(BackendId("e1"))->coldUntil <= at(2500));
    }

private:
    static void checkBound(double perSecond)
    {
        ColdPlay play(perSecond);
        play.run();
        CPPUNIT_ASSERT_MESSAGE("in one second: " + std::to_string(play.mostInASecond()),
                               play.mostInASecond() <= kMostInASecond);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdServerTest);
