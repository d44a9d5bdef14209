// The fold of the two lists: bases, copies, rules and snapshots.
#include <cppunit/extensions/HelperMacros.h>

#include "config/changebetween.h"
#include "config/fold.h"
#include "config/logfollower.h"
#include "config/snapshot.h"
#include "support/lists.h"
#include "wire/envelope.h"

using namespace comfrey;
using namespace comfrey::test;

class ConfigFoldTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigFoldTest);
    CPPUNIT_TEST(changesOfDifferentEntriesBothSucceed);
    CPPUNIT_TEST(changesOfOneEntryOneConflictNamesTheWinner);
    CPPUNIT_TEST(secondCopyAfterLaterChangesIsDuplicate);
    CPPUNIT_TEST(copyOfForgottenChangeIsRefused);
    CPPUNIT_TEST(planWithoutEntitlementIsRefused);
    CPPUNIT_TEST(undecodableRecordIsSkipped);
    CPPUNIT_TEST(snapshotGivesEqualState);
    CPPUNIT_TEST(oldSnapshotChangesNothing);
    CPPUNIT_TEST(followerAfterRetentionTakesSnapshot);
    CPPUNIT_TEST(followerGivenOldAnswerStays);
    CPPUNIT_TEST_SUITE_END();

    ConfigState m_state;

    FoldResult fold(const record::ChangeT &change)
    {
        return foldPayload(m_state, m_state.foldedTo.next(), encodeRecord(recordOf(change))).at(0);
    }

    record::ChangeT shareChange(const std::string &id, const std::string &customer,
                                std::uint32_t share)
    {
        Lists wanted = m_state.lists;
        wanted.plans.at(CustomerId(customer)).share = share;
        return changeBetween(m_state, wanted, ChangeId(id), "ann").value();
    }

public:
    void setUp() override
    {
        m_state = ConfigState();
        fold(changeBetween(m_state, smallLists(), ChangeId("first"), "ann").value());
    }

    void changesOfDifferentEntriesBothSucceed()
    {
        const record::ChangeT one = shareChange("one", "c1", 5);
        const record::ChangeT two = shareChange("two", "c2", 6);
        CPPUNIT_ASSERT(fold(one).kind == FoldKind::Accepted);
        CPPUNIT_ASSERT(fold(two).kind == FoldKind::Accepted);
        CPPUNIT_ASSERT_EQUAL(5U, m_state.lists.plans.at(CustomerId("c1")).share);
        CPPUNIT_ASSERT_EQUAL(6U, m_state.lists.plans.at(CustomerId("c2")).share);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, m_state.lists.revision.value());
    }

    void changesOfOneEntryOneConflictNamesTheWinner()
    {
        const record::ChangeT one = shareChange("one", "c1", 5);
        const record::ChangeT two = shareChange("two", "c1", 6);
        fold(one);
        const Lists before = m_state.lists;
        const FoldResult lost = fold(two);
        CPPUNIT_ASSERT(lost.kind == FoldKind::Refused);
        CPPUNIT_ASSERT(lost.text.find("customer \"c1\"") != std::string::npos);
        CPPUNIT_ASSERT(lost.text.find("change \"one\" of \"ann\"") != std::string::npos);
        CPPUNIT_ASSERT(before == m_state.lists);
    }

    void secondCopyAfterLaterChangesIsDuplicate()
    {
        const record::ChangeT one = shareChange("one", "c1", 5);
        fold(one);
        fold(shareChange("two", "c1", 6));
        const FoldResult again = fold(one);
        CPPUNIT_ASSERT(again.kind == FoldKind::Duplicate);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, again.revision.value());
        CPPUNIT_ASSERT_EQUAL(6U, m_state.lists.plans.at(CustomerId("c1")).share);
    }

    void copyOfForgottenChangeIsRefused()
    {
        Lists wanted = m_state.lists;
        PlanEntry added = wanted.plans.at(CustomerId("c1"));
        added.customer = CustomerId("c9");
        added.keys.clear();
        wanted.plans.emplace(added.customer, added);
        const record::ChangeT adding =
            changeBetween(m_state, wanted, ChangeId("add"), "ann").value();
        CPPUNIT_ASSERT(fold(adding).kind == FoldKind::Accepted);
        wanted = m_state.lists;
        wanted.plans.erase(added.customer);
        fold(changeBetween(m_state, wanted, ChangeId("remove"), "ann").value());
        for (std::size_t i = 0; i < kSeenChangesKept; ++i)
            fold(shareChange("share-" + std::to_string(i), "c2", 2 + i % 2));
        CPPUNIT_ASSERT(m_state.find(ChangeId("add")) == nullptr);
        const Lists before = m_state.lists;
        CPPUNIT_ASSERT(fold(adding).kind == FoldKind::Refused);
        CPPUNIT_ASSERT(before == m_state.lists);
    }

    void planWithoutEntitlementIsRefused()
    {
        Lists wanted = m_state.lists;
        wanted.entitlements.clear();
        const FoldResult result =
            fold(changeBetween(m_state, wanted, ChangeId("bad"), "ann").value());
        CPPUNIT_ASSERT(result.kind == FoldKind::Refused);
        CPPUNIT_ASSERT(result.text.find("plan \"gold\"") != std::string::npos);
    }

    void undecodableRecordIsSkipped()
    {
        const Lists before = m_state.lists;
        const auto results = foldPayload(m_state, LogOffset(2), Bytes{1, 2, 3});
        CPPUNIT_ASSERT(results.at(0).kind == FoldKind::Skipped);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_state.foldedTo.value());
        CPPUNIT_ASSERT(before == m_state.lists);
    }

    void snapshotGivesEqualState()
    {
        fold(shareChange("one", "c1", 5));
        ConfigState taken;
        const record::RecordT snapshot = snapshotOf(m_state, "r1");
        CPPUNIT_ASSERT(adoptSnapshot(taken, *snapshotIn(snapshot)));
        CPPUNIT_ASSERT(taken == m_state);
    }

    void oldSnapshotChangesNothing()
    {
        const Bytes old = encodeRecord(snapshotOf(m_state, "r1"));
        fold(shareChange("one", "c1", 5));
        const Lists before = m_state.lists;
        CPPUNIT_ASSERT(!adoptSnapshot(m_state, *snapshotIn(*decodeRecord(old))));
        foldPayload(m_state, m_state.foldedTo.next(), old);
        CPPUNIT_ASSERT(before == m_state.lists);
    }

    void followerAfterRetentionTakesSnapshot()
    {
        const Bytes snapshot = encodeRecord(snapshotOf(m_state, "r1"));
        const Bytes later = encodeRecord(recordOf(shareChange("one", "c1", 5)));
        LogFollower follower;
        LogRead read{StreamId("config"), LogOffset(2), LogOffset(4), {}};
        read.records = {{LogOffset(2), later}, {LogOffset(3), snapshot}};
        follower.take(read);
        CPPUNIT_ASSERT(follower.hasReachedEnd());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, follower.state().lists.revision.value());
    }

    void followerGivenOldAnswerStays()
    {
        LogFollower follower;
        CPPUNIT_ASSERT(follower.takeSnapshot(encodeRecord(snapshotOf(m_state, "r1"))));
        const ConfigState before = follower.state();
        follower.take(LogRead{StreamId("config"), LogOffset(1), LogOffset(1), {}});
        CPPUNIT_ASSERT(before == follower.state());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, follower.next().value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigFoldTest);
