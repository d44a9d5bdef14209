// State that routers exchange: newest records and their deltas, request counts, and the choice of
// the router to poll.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "routers/loaddigest.h"
#include "routers/recordexchange.h"
#include "routers/recordfeed.h"
#include "routers/routerdirectory.h"
#include "routers/topicreader.h"
#include "routers/valuedelta.h"

using namespace comfrey;

namespace {

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(ms));
}

std::string configText(std::mt19937_64 &random, std::size_t routes)
{
    std::string text = R"({"version":1,"routes":[)";
    for (std::size_t index = 0; index < routes; ++index)
        text += R"({"name":"r-)" + std::to_string(random() % 1000) + R"(","timeout_ms":1200},)";
    return text + "]}";
}

} // namespace

class RouterUpdatesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterUpdatesTest);
    CPPUNIT_TEST(recordWithAnOlderOrderIsIgnored);
    CPPUNIT_TEST(keyMissingFromAListIsRemovedUnlessNewer);
    CPPUNIT_TEST(newestKeyMissingAfterAGapIsRemovedWithinTheStableWindow);
    CPPUNIT_TEST(keyMissingAfterAGapIsRemovedAtFollowersThatKnowMore);
    CPPUNIT_TEST(removalBeforeTheUpstreamsFirstListReachesFollowers);
    CPPUNIT_TEST(removalInDoubtIsRevokedByALaterList);
    CPPUNIT_TEST(removalInDoubtIsStatedInItsRecord);
    CPPUNIT_TEST(frequentGapsDoNotPostponeRemovals);
    CPPUNIT_TEST(readerThatStopsDuringTheLastListListsAgain);
    CPPUNIT_TEST(certainListConfirmsUpToItsStart);
    CPPUNIT_TEST(logReadConfirmsUpToTheEndOfItsHold);
    CPPUNIT_TEST(logReadWithRecordsConfirmsUpToItsStart);
    CPPUNIT_TEST(logReadThatShowsNotAllRecordsConfirmsNothing);
    CPPUNIT_TEST(holdsBecomeShorterWithTheAgeOfTheConfirmation);
    CPPUNIT_TEST(recordBelowWhatIsKnownIsRefused);
    CPPUNIT_TEST(listIsSentOnceToAFollower);
    CPPUNIT_TEST(changesSinceANumberAreListedOnceInOrder);
    CPPUNIT_TEST(deltaIsSentOnlyToAFollowerWithItsBase);
    CPPUNIT_TEST(deltaToABaseOfOrderZeroIsMarked);
    CPPUNIT_TEST(followerOfANewUpstreamGetsOnlyMissingRecords);
    CPPUNIT_TEST(deltaOfRandomEditsRestoresTheTarget);
    CPPUNIT_TEST(deltaForAnotherBaseOrCutShortIsRejected);
    CPPUNIT_TEST(zoneLeaderIsTheSameForAllRoutersAndOfTheBestTier);
    CPPUNIT_TEST(failedRouterIsSkippedUntilItsRetryDelayEnds);
    CPPUNIT_TEST(reportsNotRenewedExpire);
    CPPUNIT_TEST(totalForARouterExcludesItsOwnReport);
    CPPUNIT_TEST(peerZoneReportIsNotForwardedToPeers);
    CPPUNIT_TEST(totalForAZoneExcludesItsOwnReport);
    CPPUNIT_TEST(preferredRemoteLeaderIsTheSameForAllZones);
    CPPUNIT_TEST(staleRouterIsRetriedSooner);
    CPPUNIT_TEST_SUITE_END();

public:
    void recordWithAnOlderOrderIsIgnored()
    {
        RecordFeed feed;
        CPPUNIT_ASSERT(feed.put({"t", "k", "new", 5}));
        CPPUNIT_ASSERT(!feed.put({"t", "k", "old", 4}));
        CPPUNIT_ASSERT(!feed.put({"t", "k", "again", 5}));
        CPPUNIT_ASSERT_EQUAL(std::string("new"), *feed.find("t", "k")->value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), feed.nextOrder("t"));
    }

    void keyMissingFromAListIsRemovedUnlessNewer()
    {
        RecordFeed feed;
        feed.put({"t", "listed", "1", 3});
        feed.put({"t", "gone", "2", 4});
        feed.put({"t", "newer", "3", 9});
        feed.applyList({"t", {"listed"}, 8, 0, 8, TimePoint()});
        CPPUNIT_ASSERT(feed.find("t", "listed")->value);
        CPPUNIT_ASSERT(!feed.find("t", "gone")->value);
        CPPUNIT_ASSERT(feed.find("t", "newer")->value);
    }

    /// Review case 2: the records are deleted while the newest entry of the list is removed.
    void newestKeyMissingAfterAGapIsRemovedWithinTheStableWindow()
    {
        RecordFeed feed;
        TopicReader reader("t", feed);
        readAll(reader, {{"t", "a", "1", 0}, {"t", "b", "1", 1}}, 2, at(0));
        reader.onDropped(3, at(1000)); // Offset 2 was the removal of b.
        reader.addPage({{"t", "a", "1", 0}}, false, at(1100));
        CPPUNIT_ASSERT(feed.find("t", "b")->value); // The list may lag.
        CPPUNIT_ASSERT(reader.nextStep(at(1900)) == TopicReader::Step::Log);
        CPPUNIT_ASSERT(reader.nextStep(at(2000)) == TopicReader::Step::List);
        reader.addPage({{"t", "a", "1", 0}}, false, at(2100));
        CPPUNIT_ASSERT(!feed.find("t", "b")->value);
        CPPUNIT_ASSERT(feed.find("t", "a")->value);
    }

    /// Review case 4: as case 2 with an older entry; the followers know more than the list tells.
    void keyMissingAfterAGapIsRemovedAtFollowersThatKnowMore()
    {
        RecordFeed feed;
        TopicReader reader("t", feed);
        readAll(reader, {{"t", "a", "1", 0}, {"t", "b", "1", 1}}, 2, at(0));
        RecordFeed follower;
        RecordPosition position;
        follow(follower, position, feed, 7);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), follower.knownUntil("t"));
        reader.onDropped(3, at(1000)); // Offset 2 was the removal of a.
        reader.addPage({{"t", "b", "1", 1}}, false, at(1100));
        follow(follower, position, feed, 7);
        CPPUNIT_ASSERT(!follower.find("t", "a")->value);
        CPPUNIT_ASSERT(follower.find("t", "b")->value);
    }

    /// Review case 3: the upstream router lists after the removal and has no record of the key.
    void removalBeforeTheUpstreamsFirstListReachesFollowers()
    {
        RecordFeed follower;
        follower.put({"t", "a", "1", 0});
        follower.put({"t", "b", "1", 1});
        follower.raiseKnown("t", 2);
        RecordFeed feed;
        TopicReader reader("t", feed);
        readAll(reader, {{"t", "b", "1", 1}, {"t", "c", "1", 3}}, 4, at(0));
        RecordPosition position;
        follow(follower, position, feed, 7);
        CPPUNIT_ASSERT(!follower.find("t", "a")->value);
        CPPUNIT_ASSERT(follower.find("t", "b")->value && follower.find("t", "c")->value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), follower.knownUntil("t"));
    }

    void removalInDoubtIsRevokedByALaterList()
    {
        RecordFeed feed;
        TopicReader reader("t", feed);
        readAll(reader, {{"t", "a", "1", 0}, {"t", "b", "1", 1}}, 2, at(0));
        RecordFeed follower;
        RecordPosition position;
        follow(follower, position, feed, 7);
        reader.onDropped(3, at(1000));                 // Offset 2 was of a key that is gone.
        for (const std::int64_t time : {1100, 2100}) { // These lists lag.
            reader.addPage({{"t", "a", "1", 0}}, false, at(time));
            reader.nextStep(at(time + 1000));
        }
        follow(follower, position, feed, 7);
        CPPUNIT_ASSERT(!feed.find("t", "b")->value && !follower.find("t", "b")->value);
        reader.addPage({{"t", "a", "1", 0}, {"t", "b", "1", 1}}, false, at(4000));
        CPPUNIT_ASSERT(feed.find("t", "b")->value);
        CPPUNIT_ASSERT(reader.nextStep(at(12000)) == TopicReader::Step::List);
        reader.addPage({{"t", "a", "1", 0}, {"t", "b", "1", 1}}, false, at(12000));
        follow(follower, position, feed, 7); // The follower learns that more is known.
        follow(follower, position, feed, 7);
        CPPUNIT_ASSERT(follower.find("t", "b")->value);
    }

    void removalInDoubtIsStatedInItsRecord()
    {
        RecordFeed feed;
        TopicReader reader("t", feed);
        readAll(reader, {{"t", "a", "1", 0}, {"t", "b", "1", 1}}, 2, at(0));
        reader.onDropped(3, at(1000));
        for (const std::int64_t time : {1100, 2100}) { // These lists lag.
            reader.addPage({{"t", "a", "1", 0}}, false, at(time));
            reader.nextStep(at(time + 1000));
        }
        CPPUNIT_ASSERT(!feed.find("t", "b")->value && feed.find("t", "b")->isInDoubt);
        RecordFeed revoked = feed;
        revoked.put({"t", "b", "1", 1}, {true});
        CPPUNIT_ASSERT(revoked.find("t", "b")->value && !revoked.find("t", "b")->isInDoubt);
        const std::uint64_t number = feed.number();
        feed.settleDoubts("t", 3);
        CPPUNIT_ASSERT(!feed.find("t", "b")->isInDoubt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), feed.changesSince(number).size());
    }

    void frequentGapsDoNotPostponeRemovals()
    {
        RecordFeed feed;
        TopicReader reader("t", feed);
        readAll(reader, {{"t", "a", "1", 0}, {"t", "b", "1", 1}}, 2, at(0));
        // Offset 2 was the removal of b, later ones were of keys that are gone.
        for (int gap = 0; gap < 5; ++gap) {
            reader.onDropped(3 + gap, at(1000 + gap * 500));
            reader.addPage({{"t", "a", "1", 0}}, false, at(1010 + gap * 500));
        }
        CPPUNIT_ASSERT(!feed.find("t", "b")->value);
    }

    void readerThatStopsDuringTheLastListListsAgain()
    {
        RecordFeed feed;
        TopicReader reader("t", feed);
        readAll(reader, {{"t", "a", "1", 0}, {"t", "b", "1", 1}}, 2, at(0));
        reader.onDropped(3, at(1000)); // Offset 2 was the removal of b.
        reader.addPage({{"t", "a", "1", 0}, {"t", "b", "1", 1}}, false, at(1100));
        CPPUNIT_ASSERT(reader.nextStep(at(12000)) == TopicReader::Step::List);
        // Another router reads for a while.
        CPPUNIT_ASSERT(reader.activate(at(13000)) == TopicReader::Step::Log);
        reader.addLog(3, 3, {}, at(13000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), feed.knownUntil("t"));
        CPPUNIT_ASSERT(reader.nextStep(at(14000)) == TopicReader::Step::List);
        reader.addPage({{"t", "a", "1", 0}}, false, at(14000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), feed.knownUntil("t"));
        CPPUNIT_ASSERT(!feed.find("t", "b")->value && !reader.isRechecking());
    }

    void certainListConfirmsUpToItsStart()
    {
        RecordFeed feed;
        TopicReader reader("t", feed);
        CPPUNIT_ASSERT(reader.confirmedAt() == TimePoint::min());
        reader.activate(at(100));
        reader.addPage({{"t", "a", "1", 0}}, true, at(200));
        CPPUNIT_ASSERT(reader.confirmedAt() == TimePoint::min());
        reader.addPage({{"t", "b", "1", 1}}, false, at(300));
        CPPUNIT_ASSERT(reader.confirmedAt() == at(100));
        reader.onDropped(9, at(400)); // Lists may lag behind the log from now on.
        reader.addPage({{"t", "a", "1", 0}}, false, at(500));
        CPPUNIT_ASSERT(reader.confirmedAt() == at(100));
    }

    /// The answer arrives later than the hold ended, and may have been under way since then.
    void logReadConfirmsUpToTheEndOfItsHold()
    {
        RecordFeed feed;
        TopicReader reader("t", feed);
        readAll(reader, {{"t", "a", "1", 0}}, 1, at(0));
        reader.startLog(milliseconds(700), at(100));
        reader.addLog(1, 0, {}, at(1300));
        CPPUNIT_ASSERT(reader.confirmedAt() == at(800));
        // The store answered before the end of the hold without a reason.
        reader.startLog(milliseconds(700), at(1300));
        reader.addLog(1, 0, {}, at(1500));
        CPPUNIT_ASSERT(reader.confirmedAt() == at(1300));
    }

    void logReadWithRecordsConfirmsUpToItsStart()
    {
        RecordFeed feed;
        TopicReader reader("t", feed);
        readAll(reader, {{"t", "a", "1", 0}}, 1, at(0));
        reader.startLog(milliseconds(700), at(100));
        reader.addLog(2, 0, {{"t", "b", "1", 1}}, at(900));
        CPPUNIT_ASSERT(reader.confirmedAt() == at(100));
    }

    void logReadThatShowsNotAllRecordsConfirmsNothing()
    {
        RecordFeed feed;
        TopicReader reader("t", feed);
        readAll(reader, {{"t", "a", "1", 0}}, 1, at(0));
        CPPUNIT_ASSERT(reader.confirmedAt() == at(0));
        reader.startLog(milliseconds(700), at(100));
        reader.addLog(3, 0, {{"t", "b", "1", 1}}, at(200));
        CPPUNIT_ASSERT(reader.confirmedAt() == at(0));
    }

    void holdsBecomeShorterWithTheAgeOfTheConfirmation()
    {
        RecordFeed feed;
        TopicReader reader("t", feed);
        CPPUNIT_ASSERT(reader.logHold(milliseconds(700), at(0)) == Duration(0));
        readAll(reader, {{"t", "a", "1", 0}}, 1, at(0));
        reader.startLog(Duration(0), at(100));
        reader.addLog(1, 0, {}, at(110));
        CPPUNIT_ASSERT(reader.logHold(milliseconds(700), at(300)) == milliseconds(500));
        CPPUNIT_ASSERT(reader.logHold(milliseconds(700), at(900)) == Duration(0));
    }

    void recordBelowWhatIsKnownIsRefused()
    {
        RecordFeed feed;
        feed.raiseKnown("t", 5);
        CPPUNIT_ASSERT(!feed.put({"t", "removed", "1", 4}));
        CPPUNIT_ASSERT(feed.put({"t", "new", "1", 5}));
    }

    void listIsSentOnceToAFollower()
    {
        RecordFeed feed;
        feed.applyList({"t", {}, 5, 0, 5, at(0)});
        feed.raiseKnown("t", 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), feed.listsSince(0, {{"t", 4}}).size());
        CPPUNIT_ASSERT(feed.listsSince(0, {{"t", 5}}).empty());
        CPPUNIT_ASSERT(feed.listsSince(feed.number(), {{"t", 4}}).empty());
    }

    void changesSinceANumberAreListedOnceInOrder()
    {
        RecordFeed feed;
        feed.put({"t", "a", "1", 1});
        feed.put({"t", "b", "1", 2});
        feed.put({"t", "a", "2", 3});
        const auto all = feed.changesSince(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), all.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), all[0].record->key);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), *all[1].record->value);
        CPPUNIT_ASSERT(feed.changesSince(feed.number()).empty());
    }

    void deltaIsSentOnlyToAFollowerWithItsBase()
    {
        std::mt19937_64 random(1);
        RecordFeed feed;
        feed.put({"t", "config", configText(random, 300), 4});
        const std::uint64_t known = feed.number();
        const std::string next = feed.find("t", "config")->value->substr(0, 6000) + "{\"x\":1}]}";
        feed.put({"t", "config", next, 8});
        CPPUNIT_ASSERT(!feed.deltasSince(0).front().delta);
        const FeedChange change = feed.deltasSince(known).front();
        CPPUNIT_ASSERT(change.delta);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), change.baseOrder);
        CPPUNIT_ASSERT(change.delta->size() < next.size() / 10);
    }

    /// Guards against a delta to the first record of a topic, which has order 0, being taken for a
    /// whole value. Found by the bench tsetseg-swarmline-grown trouble-1.
    void deltaToABaseOfOrderZeroIsMarked()
    {
        std::mt19937_64 random(1);
        RecordFeed feed;
        feed.put({"t", "config", configText(random, 300), 0});
        feed.put({"t", "config", configText(random, 300), 3});
        const FeedChange change = feed.deltasSince(1).front();
        CPPUNIT_ASSERT(change.delta);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), change.baseOrder);
    }

    /// A new upstream router doesn't know what the previous one sent. Without the orders that the
    /// follower knows it would send all 3,000 servers again.
    void followerOfANewUpstreamGetsOnlyMissingRecords()
    {
        RecordFeed leader;
        for (std::uint64_t order = 0; order < 3000; ++order)
            leader.put({"servers", "e" + std::to_string(order), "x", order});
        const std::string before(9000, 'a');
        leader.put({"op", "config", before + "1", 7});
        leader.put({"op", "config", before + "2", 9});
        leader.put({"~routers", "r1", "x", 1});
        const auto sent = leader.deltasSince(0, {{"servers", 2998}, {"op", 8}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), sent.size());
        const auto config = std::find_if(sent.begin(), sent.end(), [](const FeedChange &change) {
            return change.record->key == "config";
        });
        CPPUNIT_ASSERT(config != sent.end() && config->delta && config->baseOrder == 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3002), leader.deltasSince(0).size());
        // A follower without the previous version gets the whole value.
        for (const FeedChange &change : leader.deltasSince(0, {{"op", 7}}))
            CPPUNIT_ASSERT(!change.delta);
    }

    void deltaOfRandomEditsRestoresTheTarget()
    {
        std::mt19937_64 random(2);
        for (int round = 0; round < 200; ++round) {
            const std::string base = configText(random, random() % 40);
            std::string target = base;
            for (std::size_t edit = 0; edit < random() % 5; ++edit)
                target.insert(random() % (target.size() + 1), configText(random, random() % 3));
            if (random() % 4 == 0)
                target = target.substr(random() % target.size());
            const auto made = applyDelta(base, makeDelta(base, target));
            CPPUNIT_ASSERT(made);
            CPPUNIT_ASSERT_EQUAL(target, *made);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), *applyDelta("", makeDelta("", "")));
    }

    void deltaForAnotherBaseOrCutShortIsRejected()
    {
        const std::string delta = makeDelta("{a}{b}", "{a}{c}");
        CPPUNIT_ASSERT(!applyDelta("{a}{x}", delta));
        for (std::size_t length = 0; length < delta.size(); ++length)
            CPPUNIT_ASSERT(!applyDelta("{a}{b}", std::string_view(delta).substr(0, length)));
    }

    void zoneLeaderIsTheSameForAllRoutersAndOfTheBestTier()
    {
        std::set<std::string> leaders;
        for (const std::string self : {"r1", "r2", "r3", "r4"}) {
            RouterDirectory directory(router(self));
            for (const std::string other : {"r1", "r2", "r3", "r4"})
                directory.add(router(other));
            leaders.insert(directory.zoneLeader(ZoneId("z"), false, at(0))->name);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), leaders.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r4"), *leaders.begin());
    }

    void failedRouterIsSkippedUntilItsRetryDelayEnds()
    {
        RouterDirectory directory(router("r1"));
        directory.add(router("r4"));
        directory.onFailed("r4", at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("r1"),
                             directory.zoneLeader(ZoneId("z"), false, at(100))->name);
        CPPUNIT_ASSERT(!directory.zoneLeader(ZoneId("z"), true, at(100)));
        CPPUNIT_ASSERT_EQUAL(std::string("r4"),
                             directory.zoneLeader(ZoneId("z"), false, at(1000))->name);
    }

    void reportsNotRenewedExpire()
    {
        LoadDigest digest;
        digest.setRouter("r1", {{7, 3}}, at(0));
        digest.setZone(ZoneId("other"), ZoneSource::Peer, {{7, 4}}, at(1000));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(7), digest.remoteTotal(at(1200))[7]);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(4), digest.remoteTotal(at(2000))[7]);
        CPPUNIT_ASSERT(digest.remoteTotal(at(9000)).empty());
    }

    void totalForARouterExcludesItsOwnReport()
    {
        LoadDigest digest;
        digest.setRouter("r1", {{7, 3}}, at(0));
        digest.setRouter("r2", {{7, 5}}, at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(6), digest.totalExceptRouter("r1", {{7, 1}}, at(0))[7]);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(9), digest.zoneTotal({{7, 1}}, at(0))[7]);
    }

    void peerZoneReportIsNotForwardedToPeers()
    {
        LoadDigest digest;
        digest.setZone(ZoneId("follower"), ZoneSource::Follower, {{7, 2}}, at(0));
        digest.setZone(ZoneId("peer"), ZoneSource::Peer, {{7, 4}}, at(0));
        // The sum for another peer, which polls or is polled by the first peer itself.
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), digest.subtreeTotal({{7, 1}}, at(0))[7]);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(7), digest.totalExceptRouter("r1", {{7, 1}}, at(0))[7]);
        CPPUNIT_ASSERT(digest.isFollowerZone(ZoneId("follower"), at(0)));
        CPPUNIT_ASSERT(!digest.isFollowerZone(ZoneId("peer"), at(0)));
    }

    void totalForAZoneExcludesItsOwnReport()
    {
        LoadDigest digest;
        digest.setRouter("r1", {{7, 8}}, at(0));
        digest.setZone(ZoneId("asking"), ZoneSource::Follower, {{7, 2}}, at(0));
        digest.setZone(ZoneId("other"), ZoneSource::Follower, {{7, 4}}, at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(13),
                             digest.totalOutsideZone(ZoneId("asking"), {{7, 1}}, at(0))[7]);
        // The total of the other zones replaces the reports of peer zones.
        LoadDigest follower;
        follower.setZone(ZoneId("peer"), ZoneSource::Peer, {{7, 100}}, at(0));
        follower.setOtherZonesTotal({{7, 13}}, at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(13), follower.remoteTotal(at(0))[7]);
    }

    void preferredRemoteLeaderIsTheSameForAllZones()
    {
        const std::vector<RouterInfo> routers = {
            routerInZone("a1", "a", 1), routerInZone("a2", "a", 2), routerInZone("b1", "b", 0),
            routerInZone("b2", "b", 2), routerInZone("c1", "c", 2)};
        for (const RouterInfo &self : routers) {
            RouterDirectory directory(self);
            for (const RouterInfo &router : routers)
                directory.add(router);
            const auto remoteLeader = directory.preferredRemoteLeader(at(0));
            if (self.zone == ZoneId("b") && self.capacityTier == 0)
                CPPUNIT_ASSERT(!remoteLeader);
            if (self.name == "a1" || self.name == "c1")
                CPPUNIT_ASSERT_EQUAL(std::string("b1"), remoteLeader->name);
        }
        RouterDirectory directory(routers.back());
        for (const RouterInfo &router : routers)
            directory.add(router);
        directory.onFailed("b1", at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), directory.preferredRemoteLeader(at(100))->name);
    }

    void staleRouterIsRetriedSooner()
    {
        RouterDirectory directory(router("r1"));
        directory.add(router("r4"));
        directory.onStale("r4", at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("r1"),
                             directory.zoneLeader(ZoneId("z"), false, at(100))->name);
        CPPUNIT_ASSERT_EQUAL(std::string("r4"),
                             directory.zoneLeader(ZoneId("z"), false, at(200))->name);
        for (int times = 0; times < 20; ++times)
            directory.onStale("r4", at(1000));
        CPPUNIT_ASSERT_EQUAL(std::string("r4"),
                             directory.zoneLeader(ZoneId("z"), false, at(3100))->name);
    }

private:
    /// Reads the whole list, and the log up to `end`.
    static void readAll(TopicReader &reader, std::vector<FeedRecord> records, std::uint64_t end,
                        TimePoint now)
    {
        reader.activate(now);
        reader.addPage(std::move(records), false, now);
        reader.addLog(end, 0, {}, now);
    }

    /// Takes over the records of a router with this start id.
    static void follow(RecordFeed &follower, RecordPosition &position, RecordFeed &upstream,
                       std::uint64_t startId)
    {
        const RecordPoll poll = position.poll(follower);
        const RecordAnswer answer = answerRecordPoll(upstream, poll, startId);
        ReceivedRecords received{startId, upstream.number(), upstream.knownOrders(),
                                 {},      answer.lists,      true};
        for (const FeedChange &change : answer.changes)
            received.records.push_back(*change.record);
        position.apply(follower, poll, std::move(received));
    }

    static RouterInfo routerInZone(const std::string &name, const std::string &zone,
                                   std::uint8_t capacityTier)
    {
        return {name, ZoneId(zone), "10.0.0.1:" + std::to_string(name.back()), capacityTier};
    }

    /// Only r4 is on an instance of the best capacity tier.
    static RouterInfo router(const std::string &name)
    {
        return {name, ZoneId("z"), "10.0.0." + name.substr(1) + ":1",
                static_cast<std::uint8_t>(name == "r4" ? 0 : 2)};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterUpdatesTest);
