// Updates that routers exchange over the network: which router reads the store, the store's
// records, and the routers' request counts.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "syncedrouter.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

/// Time within which all routers must know of a crash: the shortest stable_window_ms of the
/// platform's sites.
constexpr Duration kCrashPropagationLimit = milliseconds(3000);

} // namespace

class FleetSyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetSyncTest);
    CPPUNIT_TEST(leaderReadsTheStoreAndFollowersReceiveItsRecords);
    CPPUNIT_TEST(keysThatAListLacksAreRemovedAtFollowers);
    CPPUNIT_TEST(nextRouterReadsTheStoreWhenTheLeaderStops);
    CPPUNIT_TEST(routersReceiveEachOthersRequestCounts);
    CPPUNIT_TEST(recordsThatArriveWhileTheLeaderIsOnlyCheckedAreNotLost);
    CPPUNIT_TEST(routersStartedBeforeTheirSeedsFindEachOther);
    CPPUNIT_TEST(fleetLeaderReadsTheStoreForAllZones);
    CPPUNIT_TEST(anotherZoneReadsTheStoreWhenTheFleetLeaderFails);
    CPPUNIT_TEST(leaderRejectedByTheStoreFollowsAnotherRouterStably);
    CPPUNIT_TEST(requestsOfAllZonesAreCountedOnce);
    CPPUNIT_TEST(onlyPromptsWithManyRequestsAreReported);
    CPPUNIT_TEST(crashSeenByAFollowerReachesAllZones);
    CPPUNIT_TEST(routerUpdatesReachAllRoutersWhileTheStoreIsDown);
    CPPUNIT_TEST(updatesOfRoutersStartedWhileTheStoreIsDownReachAllRouters);
    CPPUNIT_TEST(crashReachesZonesThatReadTheStoreThemselves);
    CPPUNIT_TEST(followersAreNotifiedThatTheStoreIsUnconfirmed);
    CPPUNIT_TEST(followerWithoutAPollAnswerIsNotFreshForOthers);
    CPPUNIT_TEST(crashReportedInALostPollIsReportedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void leaderReadsTheStoreAndFollowersReceiveItsRecords()
    {
        startRouters();
        SyncedRouter &leaderRouter = leader();
        for (const auto &router : m_routers)
            CPPUNIT_ASSERT_EQUAL(router.get() == &leaderRouter, router->sync().readsStore());
        leaderRouter.feed.put({"keyed.t", "a", std::string(9000, 'x') + "}1", 0});
        leaderRouter.sync().publish();
        CPPUNIT_ASSERT(runRouters([&] { return allRoutersHave(1); }));
        leaderRouter.feed.put({"keyed.t", "a", std::string(9000, 'x') + "}2", 4});
        leaderRouter.sync().publish();
        CPPUNIT_ASSERT(runRouters([&] { return allRoutersHave(5); }));
        for (const auto &router : m_routers)
            CPPUNIT_ASSERT(router->feed.find("keyed.t", "a")->value->ends_with("}2"));
    }

    /// The leader's list lacks a key, and the followers said that they know more than its newest
    /// record (review case 4); one has a key that the leader never had (review case 3).
    void keysThatAListLacksAreRemovedAtFollowers()
    {
        startRouters();
        RecordFeed &feed = leader().feed;
        feed.put({"keyed.t", "a", "1", 0});
        feed.put({"keyed.t", "b", "1", 1});
        feed.applyList({"keyed.t", {"a", "b"}, 2, 0, 2, now()});
        feed.raiseKnown("keyed.t", 2);
        leader().sync().publish();
        CPPUNIT_ASSERT(runRouters([&] { return allRoutersHave(2); }));
        m_routers[0]->feed.put({"keyed.t", "c", "1", 2});
        feed.applyList({"keyed.t", {"b"}, 2, 0, 4, now()});
        feed.raiseKnown("keyed.t", 4);
        leader().sync().publish();
        CPPUNIT_ASSERT(runRouters([&] {
            return std::all_of(m_routers.begin(), m_routers.end(), [](const auto &router) {
                const FeedRecord *c = router->feed.find("keyed.t", "c");
                return !router->feed.find("keyed.t", "a")->value
                    && router->feed.find("keyed.t", "b")->value && (!c || !c->value);
            });
        }));
    }

    void nextRouterReadsTheStoreWhenTheLeaderStops()
    {
        startRouters();
        SyncedRouter &leaderRouter = leader();
        leaderRouter.sync().stop();
        CPPUNIT_ASSERT(runRouters([&] {
            return std::any_of(m_routers.begin(), m_routers.end(), [&](const auto &router) {
                return router.get() != &leaderRouter && router->sync().readsStore();
            });
        }));
    }

    void routersReceiveEachOthersRequestCounts()
    {
        for (auto &requests : {1U, 2U, 4U})
            m_requestsByRouter.push_back({{7, requests}});
        startRouters();
        CPPUNIT_ASSERT(runRouters([&] {
            std::uint32_t reportedRequests = 1;
            for (const auto &router : m_routers) {
                if (router->sync().remoteRequests(now())[7] != 7 - reportedRequests)
                    return false;
                reportedRequests *= 2;
            }
            return true;
        }));
    }

    /// Guards against lost records: a router that follows another one checks the leader again, and
    /// took the records that the leader had received meanwhile for known (bench
    /// tsetseg-swarmline-grown scale-1).
    void recordsThatArriveWhileTheLeaderIsOnlyCheckedAreNotLost()
    {
        startRouters();
        leader().feed.put({"keyed.t", "a", "1", 0});
        leader().sync().publish();
        CPPUNIT_ASSERT(runRouters([&] { return allRoutersHave(1); }));
        for (int round = 1; round < 6; ++round) {
            // The leader's reads of the store fail, so the others stop following it. Once they
            // succeed again, the others check it.
            m_failingReader = &leader();
            CPPUNIT_ASSERT(runRouters([&] {
                return !m_routers[0]->sync().isFresh(now()) || m_routers[0]->sync().readsStore()
                    || m_routers[2]->sync().readsStore();
            }));
            leader().feed.put(
                {"keyed.t", "a", std::to_string(round), static_cast<std::uint64_t>(round)});
            m_failingReader = nullptr;
            CPPUNIT_ASSERT(
                runRouters([&] { return allRoutersHave(static_cast<std::uint64_t>(round) + 1); }));
        }
    }

    /// Guards against routers that all keep reading the store after a loss of power, since the
    /// seeds that they polled had not started yet (bench tsetseg-swarmline-grown trouble-1).
    void routersStartedBeforeTheirSeedsFindEachOther()
    {
        m_isFirstStart = false;
        m_isSeedLate = true;
        startRouters();
    }

    void fleetLeaderReadsTheStoreForAllZones()
    {
        startZones();
        SyncedRouter &leaderRouter = *m_routers.front();
        leaderRouter.feed.put({"keyed.t", "a", "1", 0});
        leaderRouter.sync().publish();
        CPPUNIT_ASSERT(runRouters([&] { return allRoutersHave(1); }));
    }

    void anotherZoneReadsTheStoreWhenTheFleetLeaderFails()
    {
        startZones();
        m_failingReader = m_routers.front().get();
        CPPUNIT_ASSERT(runRouters([&] {
            return std::all_of(m_routers.begin() + 2, m_routers.end(),
                               [](const auto &router) { return router->sync().isFresh(now()); })
                && std::any_of(m_routers.begin() + 1, m_routers.end(),
                               [](const auto &router) { return router->sync().readsStore(); });
        }));
    }

    /// Guards against a leader that changes between reading and following five times a second while
    /// the store rejects it and serves others (bench tsetseg-swarmline-grown scale-2 --seed
    /// 194091286295).
    void leaderRejectedByTheStoreFollowsAnotherRouterStably()
    {
        startRouters();
        SyncedRouter &leaderRouter = leader();
        m_failingReader = &leaderRouter;
        CPPUNIT_ASSERT(runRouters([&] {
            return m_routers[0]->sync().isFresh(now()) && m_routers[2]->sync().isFresh(now())
                && !leaderRouter.sync().readsStore();
        }));
        int timesReadingBegan = 0;
        bool wasReading = false;
        bool wasStale = false;
        const TimePoint end = now() + milliseconds(3000);
        runRouters([&] {
            timesReadingBegan += leaderRouter.sync().readsStore() && !wasReading ? 1 : 0;
            wasReading = leaderRouter.sync().readsStore();
            wasStale = wasStale || !leaderRouter.sync().isFresh(now());
            return now() >= end;
        });
        CPPUNIT_ASSERT(timesReadingBegan >= 1); // It tries whether the store serves it again.
        CPPUNIT_ASSERT(timesReadingBegan <= 5);
        CPPUNIT_ASSERT(!wasStale);
        m_failingReader = nullptr;
        CPPUNIT_ASSERT(runRouters([&] {
            return leaderRouter.sync().readsStore() && !m_routers[0]->sync().readsStore()
                && !m_routers[2]->sync().readsStore();
        }));
    }

    /// Prompts with few requests are not reported: one request within a zone, three from all other
    /// zones.
    void onlyPromptsWithManyRequestsAreReported()
    {
        for (std::uint32_t router = 0; router < 6; ++router) {
            m_requestsByRouter.push_back({{7, 1}});
            m_promptRequestsByRouter.push_back({{router, 1}, {50, 3}});
        }
        startZones();
        CPPUNIT_ASSERT(runRouters([&] {
            std::size_t followers = 0;
            bool allReceived = true;
            for (const auto &router : m_routers) {
                ServerRequests remoteRequests = router->sync().remotePrompts(now());
                followers += remoteRequests == ServerRequests{{50, 15}} ? 1 : 0;
                allReceived = allReceived && remoteRequests[50] == 15;
            }
            return allReceived
                && followers >= 3; // The leader of a zone receives its neighbours' prompts singly.
        }));
    }

    void requestsOfAllZonesAreCountedOnce()
    {
        for (std::uint32_t requests = 1; requests <= 32; requests *= 2)
            m_requestsByRouter.push_back({{7, requests}});
        startZones();
        const auto isRight = [&] {
            std::uint32_t reportedRequests = 1;
            for (const auto &router : m_routers) {
                if (router->sync().remoteRequests(now())[7] != 63 - reportedRequests)
                    return false;
                reportedRequests *= 2;
            }
            return true;
        };
        CPPUNIT_ASSERT(runRouters(isRight));
    }

    void crashSeenByAFollowerReachesAllZones()
    {
        startZones();
        SyncedRouter &lastRouter = *m_routers.back();
        lastRouter.feed.put({"~crashes", "request server", std::string(), 5});
        lastRouter.sync().publish();
        CPPUNIT_ASSERT(runRouters([&] {
            return std::all_of(m_routers.begin(), m_routers.end(), [](const auto &router) {
                return router->feed.find("~crashes", "request server") != nullptr;
            });
        }));
    }

    /// Guards against crashes that stay unknown to other routers while no router can read the store
    /// (incident BUDGET).
    void routerUpdatesReachAllRoutersWhileTheStoreIsDown()
    {
        startZones();
        m_isStoreDown = true;
        CPPUNIT_ASSERT(runRouters([&] { return isNoRouterFresh(); }));
        checkUpdatesReachAllRouters();
    }

    void updatesOfRoutersStartedWhileTheStoreIsDownReachAllRouters()
    {
        m_isStoreDown = true;
        addZones();
        CPPUNIT_ASSERT(runRouters([&] {
            return std::all_of(m_routers.begin(), m_routers.end(), [](const auto &router) {
                return router->sync().directory().size() == 6;
            });
        }));
        checkUpdatesReachAllRouters();
    }

    /// Guards against routers of two zones that both read the store and exchange only request
    /// counts, not crashes (incident BUDGET).
    void crashReachesZonesThatReadTheStoreThemselves()
    {
        startZones();
        // Routers of the other zones can't follow a router of the first zone.
        for (const std::size_t index : {0U, 1U})
            m_routers[index]->port.handler.ignoredZones = {"z1", "z2"};
        SyncedRouter &secondZoneRouter = *m_routers[2];
        CPPUNIT_ASSERT(runRouters([&] { return secondZoneRouter.sync().readsStore(); }));
        for (std::size_t index = 0; index < m_routers.size(); ++index) {
            m_routers[index]->feed.put(
                {"~crashes", "request server" + std::to_string(index), "", 5});
            m_routers[index]->sync().publish();
        }
        const TimePoint end = now() + kCrashPropagationLimit;
        runRouters([&] { return missingCrashes().empty() || now() >= end; });
        CPPUNIT_ASSERT(secondZoneRouter.sync().readsStore());
        CPPUNIT_ASSERT_EQUAL(std::string(), missingCrashes());
    }

    void followersAreNotifiedThatTheStoreIsUnconfirmed()
    {
        startRouters();
        CPPUNIT_ASSERT_EQUAL(0, m_routers[0]->unconfirmedNotices);
        leader().storeIsUnconfirmed = true;
        CPPUNIT_ASSERT(runRouters([&] {
            return m_routers[0]->unconfirmedNotices > 0 && m_routers[2]->unconfirmedNotices > 0;
        }));
    }

    /// A router that begins to follow an up-to-date router has no records before the first answer.
    void followerWithoutAPollAnswerIsNotFreshForOthers()
    {
        startRouters();
        SyncedRouter lateRouter(m_loop, "late", 7, m_routers[0]->port.address, false);
        // All routers ignore long polls, since another one reads the store once the leader is given
        // up.
        for (const auto &router : m_routers)
            router->port.handler.ignoresLongPolls = true;
        bool reportedFresh = false;
        const TimePoint end = now() + milliseconds(1500);
        runRouters([&] {
            lateRouter.sync().tick(now());
            reportedFresh = reportedFresh || lateRouter.sync().isFreshForFollowers(now());
            return now() >= end;
        });
        CPPUNIT_ASSERT(!reportedFresh);
    }

    void crashReportedInALostPollIsReportedAgain()
    {
        startRouters();
        // The third router could report the crash to the leader as well.
        const std::unique_ptr<SyncedRouter> third = std::move(m_routers.back());
        m_routers.pop_back();
        third->sync().stop();
        SyncedRouter &follower = *m_routers[0];
        leader().port.handler.ignoresLongPolls = true;
        follower.port.handler.acceptsFrom = kNever; // The leader must not poll for the crash.
        follower.feed.put({"~crashes", "request server", std::string(), 5});
        CPPUNIT_ASSERT(runRouters([&] { return leader().port.handler.ignoredRecords > 0; }));
        CPPUNIT_ASSERT(!leader().feed.find("~crashes", "request server"));
        leader().port.handler.ignoresLongPolls = false;
        CPPUNIT_ASSERT(runRouters(
            [&] { return leader().feed.find("~crashes", "request server") != nullptr; }));
    }

private:
    /// Starts three routers and waits until they agree on which one reads the store. Reads succeed
    /// at once.
    void startRouters()
    {
        for (int index = 0; index < 3; ++index) {
            const std::string seed =
                m_routers.empty() ? std::string() : m_routers.front()->port.address;
            m_routers.push_back(std::make_unique<SyncedRouter>(
                m_loop, "r" + std::to_string(index), index == 1 ? 0 : 1, seed, m_isFirstStart));
            if (!m_requestsByRouter.empty())
                m_routers.back()->reportedRequests =
                    m_requestsByRouter[static_cast<std::size_t>(index)];
            if (!m_promptRequestsByRouter.empty())
                m_routers.back()->reportedPromptRequests =
                    m_promptRequestsByRouter[static_cast<std::size_t>(index)];
        }
        if (m_isSeedLate)
            m_routers.front()->port.handler.acceptsFrom = now() + milliseconds(700);
        CPPUNIT_ASSERT(runRouters([&] {
            return m_routers[1]->sync().readsStore() && !m_routers[0]->sync().readsStore()
                && !m_routers[2]->sync().readsStore() && m_routers[0]->sync().isFresh(now())
                && m_routers[2]->sync().isFresh(now());
        }));
    }

    /// Starts two routers in each of three zones, the first of each zone with a lower capacity
    /// tier, and waits until the first router reads the store for all of them.
    void startZones()
    {
        addZones();
        CPPUNIT_ASSERT(runRouters([&] {
            return m_routers.front()->sync().readsStore()
                && std::all_of(m_routers.begin() + 1, m_routers.end(), [](const auto &router) {
                       return !router->sync().readsStore() && router->sync().isFresh(now());
                   });
        }));
    }

    /// Adds the routers of startZones() without waiting for them.
    void addZones()
    {
        for (int index = 0; index < 6; ++index) {
            const std::string seed =
                m_routers.empty() ? std::string() : m_routers.front()->port.address;
            const int zone = index / 2;
            const auto capacityTier = static_cast<std::uint8_t>(index % 2 == 0 ? zone : 9);
            m_routers.push_back(std::make_unique<SyncedRouter>(m_loop, "r" + std::to_string(index),
                                                               capacityTier, seed, true,
                                                               "z" + std::to_string(zone)));
            if (!m_requestsByRouter.empty())
                m_routers.back()->reportedRequests =
                    m_requestsByRouter[static_cast<std::size_t>(index)];
            if (!m_promptRequestsByRouter.empty())
                m_routers.back()->reportedPromptRequests =
                    m_promptRequestsByRouter[static_cast<std::size_t>(index)];
        }
    }

    /// True if all routers try to read the store and none is up to date.
    bool isNoRouterFresh() const
    {
        return std::all_of(m_routers.begin(), m_routers.end(), [](const auto &router) {
            return !router->sync().isFresh(now()) && router->sync().readsStore();
        });
    }

    /// Describes which routers lack the crash of which other router; empty if none does.
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

    /// Checks that each router's crash and request count reach all other routers.
    void checkUpdatesReachAllRouters()
    {
        for (std::size_t index = 0; index < m_routers.size(); ++index) {
            SyncedRouter &router = *m_routers[index];
            router.reportedRequests = {{7, 1U << index}};
            router.feed.put({"~crashes", "request server" + std::to_string(index), "", 5});
            router.sync().publish();
        }
        const TimePoint end = now() + kCrashPropagationLimit;
        std::string missing;
        runRouters([&] {
            missing = missingCrashes();
            for (std::size_t index = 0; index < m_routers.size(); ++index) {
                const SyncedRouter &router = *m_routers[index];
                const ServerRequests remoteRequests = router.port.sync->remoteRequests(now());
                const auto counted = remoteRequests.find(7);
                const std::uint32_t count = counted == remoteRequests.end() ? 0 : counted->second;
                if (count != 63 - (1U << index))
                    missing += std::to_string(index) + " counts " + std::to_string(count) + "; ";
            }
            return missing.empty() || now() >= end;
        });
        CPPUNIT_ASSERT_MESSAGE(missing, missing.empty());
    }

    /// Runs the event loop and the routers' ticks until `done` returns true. False after a timeout.
    bool runRouters(const std::function<bool()> &done)
    {
        TimePoint next = now();
        return runUntil(m_loop, [&] {
            if (now() >= next) {
                next = now() + milliseconds(20);
                for (const auto &router : m_routers) {
                    if (router->sync().readsStore()) {
                        const bool readable = !m_isStoreDown && router.get() != m_failingReader;
                        router->sync().setStoreReadable(readable);
                        if (readable)
                            router->sync().setStoreConfirmed(now());
                    }
                    router->sync().tick(now());
                }
            }
            return done();
        });
    }

    /// The router with the lowest capacity tier among those of startRouters().
    SyncedRouter &leader() { return *m_routers[1]; }

    bool allRoutersHave(std::uint64_t nextOrder) const
    {
        return std::all_of(m_routers.begin(), m_routers.end(), [&](const auto &router) {
            return router->feed.nextOrder("keyed.t") == nextOrder;
        });
    }

    boost::asio::io_context m_loop{1};
    std::vector<std::unique_ptr<SyncedRouter>> m_routers;
    std::vector<ServerRequests> m_requestsByRouter;       ///< In the order of m_routers.
    std::vector<ServerRequests> m_promptRequestsByRouter; ///< In the order of m_routers.
    bool m_isFirstStart = true;
    bool m_isSeedLate = false; ///< The first router accepts connections later than the others.
    bool m_isStoreDown = false;
    const SyncedRouter *m_failingReader =
        nullptr; ///< The router whose reads of the store fail; null for none.
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetSyncTest);
