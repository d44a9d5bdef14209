// What routers tell each other over the network: who reads the store, its records, their requests.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "linkedrouter.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

/// Until all routers know of a crash: the shortest stable_window_ms of the platform's sites.
constexpr Duration kKnownWithin = milliseconds(3000);

} // namespace

class FleetLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetLinkTest);
    CPPUNIT_TEST(oneRouterReadsTheStoreAndTheOthersHearOfIt);
    CPPUNIT_TEST(nextRouterReadsWhenTheFirstOneStops);
    CPPUNIT_TEST(routersLearnEachOthersRequests);
    CPPUNIT_TEST(recordsThatComeWhileARouterIsOnlyProbedAreNotLost);
    CPPUNIT_TEST(routersThatStartBeforeTheirSeedsFindEachOtherLater);
    CPPUNIT_TEST(oneRouterReadsTheStoreForAllZones);
    CPPUNIT_TEST(anotherZoneReadsWhenTheReaderFails);
    CPPUNIT_TEST(firstRouterThatTheStoreTurnsAwayFollowsAnotherSteadily);
    CPPUNIT_TEST(requestsOfAllZonesAreCountedOnce);
    CPPUNIT_TEST(onlyPromptsThatManyAskForAreTold);
    CPPUNIT_TEST(crashThatAFollowerSawReachesAllZones);
    CPPUNIT_TEST(newsOfRoutersTravelWhileTheStoreIsDown);
    CPPUNIT_TEST(newsOfRoutersTravelThatBeginWhileTheStoreIsDown);
    CPPUNIT_TEST(crashReachesZonesThatReadTheStoreThemselves);
    CPPUNIT_TEST(followersHearThatTheStoreIsInDoubt);
    CPPUNIT_TEST(followerWithoutAnAnswerYetIsNotFreshForOthers);
    CPPUNIT_TEST(crashThatWasToldWithALostAskIsToldAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneRouterReadsTheStoreAndTheOthersHearOfIt()
    {
        startRouters();
        LinkedRouter &first = reader();
        for (const auto &router : m_routers)
            CPPUNIT_ASSERT_EQUAL(router.get() == &first, router->link().readsStore());
        first.feed.put({"keyed.t", "a", std::string(9000, 'x') + "}1", 0});
        first.link().publish();
        CPPUNIT_ASSERT(runRouters([&] { return allHave(1); }));
        first.feed.put({"keyed.t", "a", std::string(9000, 'x') + "}2", 4});
        first.link().publish();
        CPPUNIT_ASSERT(runRouters([&] { return allHave(5); }));
        for (const auto &router : m_routers)
            CPPUNIT_ASSERT(router->feed.find("keyed.t", "a")->value->ends_with("}2"));
    }

    void nextRouterReadsWhenTheFirstOneStops()
    {
        startRouters();
        LinkedRouter &first = reader();
        first.link().stop();
        CPPUNIT_ASSERT(runRouters([&] {
            return std::any_of(m_routers.begin(), m_routers.end(), [&](const auto &router) {
                return router.get() != &first && router->link().readsStore();
            });
        }));
    }

    void routersLearnEachOthersRequests()
    {
        for (auto &requests : {1U, 2U, 4U})
            m_own.push_back({{7, requests}});
        startRouters();
        CPPUNIT_ASSERT(runRouters([&] {
            std::uint32_t own = 1;
            for (const auto &router : m_routers) {
                if (router->link().remoteRequests(now())[7] != 7 - own)
                    return false;
                own *= 2;
            }
            return true;
        }));
    }

    /// Bench: tsetseg-swarmline-grown scale-1. A router that follows another one probes the first
    /// again; what the first learned meanwhile was taken for known.
    void recordsThatComeWhileARouterIsOnlyProbedAreNotLost()
    {
        startRouters();
        reader().feed.put({"keyed.t", "a", "1", 0});
        reader().link().publish();
        CPPUNIT_ASSERT(runRouters([&] { return allHave(1); }));
        for (int round = 1; round < 6; ++round) {
            // The first router's reads fail, so the others leave it, and work again, so they probe
            // it.
            m_failing = &reader();
            CPPUNIT_ASSERT(runRouters([&] {
                return !m_routers[0]->link().isFresh(now()) || m_routers[0]->link().readsStore()
                    || m_routers[2]->link().readsStore();
            }));
            reader().feed.put(
                {"keyed.t", "a", std::to_string(round), static_cast<std::uint64_t>(round)});
            m_failing = nullptr;
            CPPUNIT_ASSERT(
                runRouters([&] { return allHave(static_cast<std::uint64_t>(round) + 1); }));
        }
    }

    /// Bench: tsetseg-swarmline-grown trouble-1. After a loss of power all routers read the store
    /// for good, since the seeds that they asked had not started yet.
    void routersThatStartBeforeTheirSeedsFindEachOtherLater()
    {
        m_isFirstStart = false;
        m_seedIsLate = true;
        startRouters();
    }

    void oneRouterReadsTheStoreForAllZones()
    {
        startZones();
        LinkedRouter &first = *m_routers.front();
        first.feed.put({"keyed.t", "a", "1", 0});
        first.link().publish();
        CPPUNIT_ASSERT(runRouters([&] { return allHave(1); }));
    }

    void anotherZoneReadsWhenTheReaderFails()
    {
        startZones();
        m_failing = m_routers.front().get();
        CPPUNIT_ASSERT(runRouters([&] {
            return std::all_of(m_routers.begin() + 2, m_routers.end(),
                               [](const auto &router) { return router->link().isFresh(now()); })
                && std::any_of(m_routers.begin() + 1, m_routers.end(),
                               [](const auto &router) { return router->link().readsStore(); });
        }));
    }

    /// Bench: tsetseg-swarmline-grown scale-2 --seed 194091286295. The store turned the first
    /// router away and served others; it changed between reading and following five times a second.
    void firstRouterThatTheStoreTurnsAwayFollowsAnotherSteadily()
    {
        startRouters();
        LinkedRouter &first = reader();
        m_failing = &first;
        CPPUNIT_ASSERT(runRouters([&] {
            return m_routers[0]->link().isFresh(now()) && m_routers[2]->link().isFresh(now())
                && !first.link().readsStore();
        }));
        int begun = 0;
        bool wasReading = false;
        bool wasStale = false;
        const TimePoint end = now() + milliseconds(3000);
        runRouters([&] {
            begun += first.link().readsStore() && !wasReading ? 1 : 0;
            wasReading = first.link().readsStore();
            wasStale = wasStale || !first.link().isFresh(now());
            return now() >= end;
        });
        CPPUNIT_ASSERT(begun >= 1); // It finds out when the store serves it again.
        CPPUNIT_ASSERT(begun <= 5);
        CPPUNIT_ASSERT(!wasStale);
        m_failing = nullptr;
        CPPUNIT_ASSERT(runRouters([&] {
            return first.link().readsStore() && !m_routers[0]->link().readsStore()
                && !m_routers[2]->link().readsStore();
        }));
    }

    /// Prompts with few requests are left out: one of a zone, three of all others.
    void onlyPromptsThatManyAskForAreTold()
    {
        for (std::uint32_t router = 0; router < 6; ++router) {
            m_own.push_back({{7, 1}});
            m_ownPrompts.push_back({{router, 1}, {50, 3}});
        }
        startZones();
        CPPUNIT_ASSERT(runRouters([&] {
            std::size_t followers = 0;
            bool allHeard = true;
            for (const auto &router : m_routers) {
                ServerRequests others = router->link().remotePrompts(now());
                followers += others == ServerRequests{{50, 15}} ? 1 : 0;
                allHeard = allHeard && others[50] == 15;
            }
            return allHeard && followers >= 3; // The first of a zone knows its neighbours' singly.
        }));
    }

    void requestsOfAllZonesAreCountedOnce()
    {
        for (std::uint32_t requests = 1; requests <= 32; requests *= 2)
            m_own.push_back({{7, requests}});
        startZones();
        const auto isRight = [&] {
            std::uint32_t own = 1;
            for (const auto &router : m_routers) {
                if (router->link().remoteRequests(now())[7] != 63 - own)
                    return false;
                own *= 2;
            }
            return true;
        };
        CPPUNIT_ASSERT(runRouters(isRight));
    }

    void crashThatAFollowerSawReachesAllZones()
    {
        startZones();
        LinkedRouter &last = *m_routers.back();
        last.feed.put({"~crashes", "request server", std::string(), 5});
        last.link().publish();
        CPPUNIT_ASSERT(runRouters([&] {
            return std::all_of(m_routers.begin(), m_routers.end(), [](const auto &router) {
                return router->feed.find("~crashes", "request server") != nullptr;
            });
        }));
    }

    /// Incident BUDGET: while nobody could read the store, no router heard of the others' crashes.
    void newsOfRoutersTravelWhileTheStoreIsDown()
    {
        startZones();
        m_isStoreDown = true;
        CPPUNIT_ASSERT(runRouters([&] { return isNobodyFresh(); }));
        checkNewsTravel();
    }

    void newsOfRoutersTravelThatBeginWhileTheStoreIsDown()
    {
        m_isStoreDown = true;
        addZones();
        CPPUNIT_ASSERT(runRouters([&] {
            return std::all_of(m_routers.begin(), m_routers.end(), [](const auto &router) {
                return router->link().directory().size() == 6;
            });
        }));
        checkNewsTravel();
    }

    /// Incident BUDGET: routers of two zones that read the store only exchanged requests.
    void crashReachesZonesThatReadTheStoreThemselves()
    {
        startZones();
        // Routers of the other zones can't follow one of the first zone.
        for (const std::size_t index : {0U, 1U})
            m_routers[index]->port.handler.deafToZones = {"z1", "z2"};
        LinkedRouter &second = *m_routers[2];
        CPPUNIT_ASSERT(runRouters([&] { return second.link().readsStore(); }));
        for (std::size_t index = 0; index < m_routers.size(); ++index) {
            m_routers[index]->feed.put(
                {"~crashes", "request server" + std::to_string(index), "", 5});
            m_routers[index]->link().publish();
        }
        const TimePoint end = now() + kKnownWithin;
        runRouters([&] { return missingCrashes().empty() || now() >= end; });
        CPPUNIT_ASSERT(second.link().readsStore());
        CPPUNIT_ASSERT_EQUAL(std::string(), missingCrashes());
    }

    void followersHearThatTheStoreIsInDoubt()
    {
        startRouters();
        CPPUNIT_ASSERT_EQUAL(0, m_routers[0]->heardInDoubt);
        reader().isInDoubt = true;
        CPPUNIT_ASSERT(runRouters(
            [&] { return m_routers[0]->heardInDoubt > 0 && m_routers[2]->heardInDoubt > 0; }));
    }

    /// A router that found another one up to date knows nothing of it before its first answer.
    void followerWithoutAnAnswerYetIsNotFreshForOthers()
    {
        startRouters();
        LinkedRouter late(m_loop, "late", 7, m_routers[0]->port.address, false);
        // All of them: a second router reads the store once the first is given up.
        for (const auto &router : m_routers)
            router->port.handler.isDeafToFollowers = true;
        bool toldFresh = false;
        const TimePoint end = now() + milliseconds(1500);
        runRouters([&] {
            late.link().tick(now());
            toldFresh = toldFresh || late.link().isFreshForFollowers(now());
            return now() >= end;
        });
        CPPUNIT_ASSERT(!toldFresh);
    }

    void crashThatWasToldWithALostAskIsToldAgain()
    {
        startRouters();
        // It could tell the reader as well.
        const std::unique_ptr<LinkedRouter> third = std::move(m_routers.back());
        m_routers.pop_back();
        third->link().stop();
        LinkedRouter &follower = *m_routers[0];
        reader().port.handler.isDeafToFollowers = true;
        follower.port.handler.servesFrom = kNever; // The reader is not to ask for it.
        follower.feed.put({"~crashes", "request server", std::string(), 5});
        CPPUNIT_ASSERT(runRouters([&] { return reader().port.handler.lostRecords > 0; }));
        CPPUNIT_ASSERT(!reader().feed.find("~crashes", "request server"));
        reader().port.handler.isDeafToFollowers = false;
        CPPUNIT_ASSERT(runRouters(
            [&] { return reader().feed.find("~crashes", "request server") != nullptr; }));
    }

private:
    /// Three routers that have found out who reads the store. Reads succeed at once.
    void startRouters()
    {
        for (int index = 0; index < 3; ++index) {
            const std::string seed =
                m_routers.empty() ? std::string() : m_routers.front()->port.address;
            m_routers.push_back(std::make_unique<LinkedRouter>(
                m_loop, "r" + std::to_string(index), index == 1 ? 0 : 1, seed, m_isFirstStart));
            if (!m_own.empty())
                m_routers.back()->own = m_own[static_cast<std::size_t>(index)];
            if (!m_ownPrompts.empty())
                m_routers.back()->ownByPrompt = m_ownPrompts[static_cast<std::size_t>(index)];
        }
        if (m_seedIsLate)
            m_routers.front()->port.handler.servesFrom = now() + milliseconds(700);
        CPPUNIT_ASSERT(runRouters([&] {
            return m_routers[1]->link().readsStore() && !m_routers[0]->link().readsStore()
                && !m_routers[2]->link().readsStore() && m_routers[0]->link().isFresh(now())
                && m_routers[2]->link().isFresh(now());
        }));
    }

    /// Two routers in each of three zones, the first of them strong; the very first one reads the
    /// store for all.
    void startZones()
    {
        addZones();
        CPPUNIT_ASSERT(runRouters([&] {
            return m_routers.front()->link().readsStore()
                && std::all_of(m_routers.begin() + 1, m_routers.end(), [](const auto &router) {
                       return !router->link().readsStore() && router->link().isFresh(now());
                   });
        }));
    }

    void addZones()
    {
        for (int index = 0; index < 6; ++index) {
            const std::string seed =
                m_routers.empty() ? std::string() : m_routers.front()->port.address;
            const int zone = index / 2;
            const auto standing = static_cast<std::uint8_t>(index % 2 == 0 ? zone : 9);
            m_routers.push_back(std::make_unique<LinkedRouter>(m_loop, "r" + std::to_string(index),
                                                               standing, seed, true,
                                                               "z" + std::to_string(zone)));
            if (!m_own.empty())
                m_routers.back()->own = m_own[static_cast<std::size_t>(index)];
            if (!m_ownPrompts.empty())
                m_routers.back()->ownByPrompt = m_ownPrompts[static_cast<std::size_t>(index)];
        }
    }

    bool isNobodyFresh() const
    {
        return std::all_of(m_routers.begin(), m_routers.end(), [](const auto &router) {
            return !router->link().isFresh(now()) && router->link().readsStore();
        });
    }

    /// Which routers lack which router's crash.
    std::string missingCrashes() const
    {
        std::string missing;
        for (std::size_t index = 0; index < m_routers.size(); ++index) {
            for (std::size_t other = 0; other < m_routers.size(); ++other) {
                if (!m_routers[index]->feed.find("~crashes",
                                                 "request server" + std::to_string(other)))
                    missing += std::to_string(index) + " lacks the crash of "
                        + std::to_string(other) + "; ";
            }
        }
        return missing;
    }

    /// What each router finds out and how many requests it has reach all others.
    void checkNewsTravel()
    {
        for (std::size_t index = 0; index < m_routers.size(); ++index) {
            LinkedRouter &router = *m_routers[index];
            router.own = {{7, 1U << index}};
            router.feed.put({"~crashes", "request server" + std::to_string(index), "", 5});
            router.link().publish();
        }
        const TimePoint end = now() + kKnownWithin;
        std::string missing;
        runRouters([&] {
            missing = missingCrashes();
            for (std::size_t index = 0; index < m_routers.size(); ++index) {
                const LinkedRouter &router = *m_routers[index];
                const ServerRequests others = router.port.link->remoteRequests(now());
                const auto told = others.find(7);
                const std::uint32_t count = told == others.end() ? 0 : told->second;
                if (count != 63 - (1U << index))
                    missing += std::to_string(index) + " counts " + std::to_string(count) + "; ";
            }
            return missing.empty() || now() >= end;
        });
        CPPUNIT_ASSERT_MESSAGE(missing, missing.empty());
    }

    bool runRouters(const std::function<bool()> &done)
    {
        TimePoint next = now();
        return runUntil(m_loop, [&] {
            if (now() >= next) {
                next = now() + milliseconds(20);
                for (const auto &router : m_routers) {
                    if (router->link().readsStore())
                        router->link().setStoreReadable(!m_isStoreDown
                                                        && router.get() != m_failing);
                    router->link().tick(now());
                }
            }
            return done();
        });
    }

    /// The strong one of them.
    LinkedRouter &reader() { return *m_routers[1]; }

    bool allHave(std::uint64_t nextOrder) const
    {
        return std::all_of(m_routers.begin(), m_routers.end(), [&](const auto &router) {
            return router->feed.nextOrder("keyed.t") == nextOrder;
        });
    }

    boost::asio::io_context m_loop{1};
    std::vector<std::unique_ptr<LinkedRouter>> m_routers;
    std::vector<ServerRequests> m_own;
    std::vector<ServerRequests> m_ownPrompts;
    bool m_isFirstStart = true;
    bool m_seedIsLate = false;
    bool m_isStoreDown = false;
    const LinkedRouter *m_failing = nullptr; ///< Its reads of the store fail.
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLinkTest);
