// Tests the table of backend servers: delayed and repeated reports, restarts, evacuated zones, and
// records that expire while the platform's store is unavailable.
#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/replicatable.h"

using namespace comfrey;

namespace {

constexpr Duration kRelistTimeout = milliseconds(1700);

ReplicaRecord record(std::uint64_t sequence, bool isDraining = false, std::uint64_t startedAtMs = 1)
{
    ReplicaRecord result;
    result.id = BackendId("e1");
    result.service = ServiceName("llm");
    result.address = Endpoint("10.0.0.1:1");
    result.slots = 8;
    result.sequence = sequence;
    result.isDraining = isDraining;
    result.startedAtMs = startedAtMs;
    return result;
}

TimePoint at(int ms)
{
    return TimePoint(milliseconds(ms));
}

} // namespace

class ReplicaTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaTableTest);
    CPPUNIT_TEST(delayedReportDoesNotUndoDraining);
    CPPUNIT_TEST(drainingServerGetsNoWorkEvenIfItReportsReadyAgain);
    CPPUNIT_TEST(restartUnderTheSameIdIsANewIncarnation);
    CPPUNIT_TEST(delayedReportDoesNotBringBackRemovedServer);
    CPPUNIT_TEST(sameRecordBringsBackServerRemovedInDoubt);
    CPPUNIT_TEST(sameRecordBringsBackServerThatExpiredInDoubt);
    CPPUNIT_TEST(confirmedRemovalInDoubtIsAnUnannouncedEnd);
    CPPUNIT_TEST(removalInDoubtThatMayHaveExpiredIsNoEnd);
    CPPUNIT_TEST(restartAfterRemovalInDoubtIsAnUnannouncedEnd);
    CPPUNIT_TEST(removalTakesEffectAtOnceWhileTheStoreIsReachable);
    CPPUNIT_TEST(expiredRecordIsUnconfirmedUntilItIsListedAgain);
    CPPUNIT_TEST(expiredRecordThatIsNotListedAgainIsRemovedWithinTheDrainLimit);
    CPPUNIT_TEST(removalReceivedLateCountsFromTheTimeOfItsRead);
    CPPUNIT_TEST(serversOfAnEvacuatedZoneGetNoWorkUntilItIsRestored);
    CPPUNIT_TEST_SUITE_END();

public:
    void delayedReportDoesNotUndoDraining()
    {
        m_table.put(record(5, true), at(0));
        CPPUNIT_ASSERT(!m_table.put(record(4), at(10)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), serving());
    }

    void drainingServerGetsNoWorkEvenIfItReportsReadyAgain()
    {
        m_table.put(record(5, true), at(0));
        m_table.put(record(6), at(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), serving());
    }

    /// Bench: tsetseg-swarmline-grown scale-2 --seed 194091286295, DRAIN. The store rejected single
    /// routers. One of them received a removal 1.4 s late, counted the relist timeout from then,
    /// and so sent requests to the server for too long.
    void removalReceivedLateCountsFromTheTimeOfItsRead()
    {
        m_table.put(record(1), at(0));
        m_table.onStoreLost(at(1000));
        m_table.remove(BackendId("e1"), at(600), at(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), serving());
        m_table.tick(at(2300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), serving());
        m_table.put(record(2, false, 2), at(2400));
        m_table.remove(BackendId("e1"), at(2500), at(4200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), serving());
    }

    void serversOfAnEvacuatedZoneGetNoWorkUntilItIsRestored()
    {
        ReplicaRecord before = record(1);
        before.zone = ZoneId("z1");
        m_table.put(before, at(0));
        CPPUNIT_ASSERT(m_table.setEvacuated(ZoneId("z1"), true));
        CPPUNIT_ASSERT(!m_table.setEvacuated(ZoneId("z1"), true));
        ReplicaRecord later = before;
        later.id = BackendId("e2");
        m_table.put(later, at(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), serving());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_table.alive(ServiceName("llm")).size());
        later.zone = ZoneId("z2");
        later.sequence = 2;
        m_table.put(later, at(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), serving());
        CPPUNIT_ASSERT(m_table.setEvacuated(ZoneId("z1"), false));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), serving());
    }

    void restartUnderTheSameIdIsANewIncarnation()
    {
        m_table.put(record(50), at(0));
        const auto before = m_table.find(BackendId("e1"));
        before->load.onRequestSent();
        CPPUNIT_ASSERT(m_table.put(record(1, false, 2), at(10)));
        const auto after = m_table.find(BackendId("e1"));
        CPPUNIT_ASSERT(before->incarnation != after->incarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), after->load.localInFlight());
        CPPUNIT_ASSERT(!m_table.put(record(51), at(20)));
    }

    void delayedReportDoesNotBringBackRemovedServer()
    {
        m_table.put(record(5), at(0));
        m_table.remove(BackendId("e1"), at(10), at(10));
        CPPUNIT_ASSERT(!m_table.put(record(4), at(20)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), serving());
    }

    /// A list that lagged after a gap lacked the server, and the next one has it unchanged.
    void sameRecordBringsBackServerRemovedInDoubt()
    {
        m_table.put(record(5), at(0));
        m_table.remove(BackendId("e1"), at(10), at(10), true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), serving());
        CPPUNIT_ASSERT(!m_table.put(record(4), at(20)));
        CPPUNIT_ASSERT(m_table.put(record(5), at(20)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), serving());
        CPPUNIT_ASSERT(m_table.takeUnannouncedEnds().empty());
        m_table.remove(BackendId("e1"), at(30), at(30));
        CPPUNIT_ASSERT(!m_table.put(record(5), at(40)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), serving());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_table.takeUnannouncedEnds().size());
    }

    void sameRecordBringsBackServerThatExpiredInDoubt()
    {
        m_table.put(record(5), at(0));
        m_table.onStoreLost(at(1000));
        m_table.onStoreRestored(at(5000));
        m_table.remove(BackendId("e1"), at(5100), at(5100), true);
        m_table.tick(at(9000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), serving());
        CPPUNIT_ASSERT(m_table.put(record(5), at(9010)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), serving());
        CPPUNIT_ASSERT(m_table.takeUnannouncedEnds().empty());
    }

    void confirmedRemovalInDoubtIsAnUnannouncedEnd()
    {
        m_table.put(record(5), at(0));
        m_table.remove(BackendId("e1"), at(10), at(10), true);
        CPPUNIT_ASSERT(m_table.takeUnannouncedEnds().empty());
        m_table.remove(BackendId("e1"), at(20), at(20));
        m_table.remove(BackendId("e1"), at(30), at(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_table.takeUnannouncedEnds().size());
        CPPUNIT_ASSERT(!m_table.put(record(5), at(40)));
    }

    void removalInDoubtThatMayHaveExpiredIsNoEnd()
    {
        m_table.put(record(5), at(0));
        m_table.remove(BackendId("e1"), at(10), at(10), true);
        m_table.onStoreLost(at(1000));
        m_table.onStoreRestored(at(5000));
        m_table.remove(BackendId("e1"), at(5100), at(5100));
        CPPUNIT_ASSERT(m_table.takeUnannouncedEnds().empty());
    }

    void restartAfterRemovalInDoubtIsAnUnannouncedEnd()
    {
        m_table.put(record(5), at(0));
        m_table.remove(BackendId("e1"), at(10), at(10), true);
        m_table.put(record(1, false, 2), at(20));
        const auto ends = m_table.takeUnannouncedEnds();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ends.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e1@1"), ends.front().incarnation);
    }

    void removalTakesEffectAtOnceWhileTheStoreIsReachable()
    {
        m_table.put(record(5), at(0));
        m_table.remove(BackendId("e1"), at(10), at(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), serving());
    }

    void expiredRecordIsUnconfirmedUntilItIsListedAgain()
    {
        m_table.put(record(5), at(0));
        m_table.onStoreLost(at(1000));
        m_table.onStoreRestored(at(5000));
        m_table.remove(BackendId("e1"), at(5100), at(5100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), serving());
        m_table.put(record(6), at(6000));
        m_table.tick(at(9000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), serving());
    }

    /// Bench: kynd-ryhm fresh-e99c. Only this router's connection to the store was cut, and the
    /// server really left.
    void expiredRecordThatIsNotListedAgainIsRemovedWithinTheDrainLimit()
    {
        m_table.put(record(5), at(0));
        m_table.onStoreLost(at(1000));
        m_table.remove(BackendId("e1"), at(4900), at(4900));
        m_table.onStoreRestored(at(5000));
        m_table.tick(at(4900) + kRelistTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), serving());
    }

private:
    std::size_t serving() const { return m_table.serving(ServiceName("llm")).size(); }

    ReplicaTable m_table{kRelistTimeout};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaTableTest);
