// When a router reports the platform's store as lost, recovered or unconfirmed.
#include <cppunit/extensions/HelperMacros.h>

#include "routers/storewatch.h"

using namespace comfrey;

namespace {

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(ms));
}

} // namespace

class StoreWatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreWatchTest);
    CPPUNIT_TEST(storeIsLostAfterReadsFailForTheDelay);
    CPPUNIT_TEST(staleUpdatesWithoutFailedReadsAreNoStoreLoss);
    CPPUNIT_TEST(lossReportedByAnotherRouterCountsUntilItExpires);
    CPPUNIT_TEST(storeStaysUnconfirmedForAWhileAfterRecovery);
    CPPUNIT_TEST_SUITE_END();

public:
    void storeIsLostAfterReadsFailForTheDelay()
    {
        CPPUNIT_ASSERT(m_watch.update(false, true, at(0)) == StoreWatch::Change::None);
        CPPUNIT_ASSERT(m_watch.update(false, true, at(900)) == StoreWatch::Change::None);
        CPPUNIT_ASSERT(m_watch.update(false, true, at(1000)) == StoreWatch::Change::Lost);
        CPPUNIT_ASSERT(m_watch.update(false, true, at(1100)) == StoreWatch::Change::None);
        CPPUNIT_ASSERT(m_watch.update(true, false, at(1200)) == StoreWatch::Change::Recovered);
        CPPUNIT_ASSERT(!m_watch.isLost());
    }

    /// Guards against taking stale updates for a lost store. When the preferred routers stopped one
    /// after another, a server that left meanwhile was treated as one whose record had expired.
    /// Found by the bench tsetseg-swarmline-grown scale-1.
    void staleUpdatesWithoutFailedReadsAreNoStoreLoss()
    {
        for (std::int64_t ms = 0; ms < 3000; ms += 100)
            CPPUNIT_ASSERT(m_watch.update(false, false, at(ms)) == StoreWatch::Change::None);
        CPPUNIT_ASSERT(m_watch.update(true, false, at(3000)) == StoreWatch::Change::None);
    }

    void lossReportedByAnotherRouterCountsUntilItExpires()
    {
        m_watch.update(false, false, at(0));
        m_watch.onLossReported(at(500));
        CPPUNIT_ASSERT(m_watch.update(false, false, at(1000)) == StoreWatch::Change::Lost);
        StoreWatch late;
        late.update(false, false, at(0));
        late.onLossReported(at(500));
        CPPUNIT_ASSERT(late.update(false, false, at(2100)) == StoreWatch::Change::None);
    }

    void storeStaysUnconfirmedForAWhileAfterRecovery()
    {
        CPPUNIT_ASSERT(!m_watch.isUnconfirmed(at(0)));
        m_watch.update(false, true, at(0));
        m_watch.update(false, true, at(1000));
        CPPUNIT_ASSERT(m_watch.isUnconfirmed(at(1000)));
        m_watch.update(true, false, at(1500));
        CPPUNIT_ASSERT(m_watch.isUnconfirmed(at(3400)));
        CPPUNIT_ASSERT(!m_watch.isUnconfirmed(at(3600)));
    }

private:
    StoreWatch m_watch;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWatchTest);
