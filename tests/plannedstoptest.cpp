// Which requests a process takes after it was told to stop.
#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/plannedstop.h"

using namespace comfrey;

namespace {

TimePoint at(std::int64_t time)
{
    return TimePoint(milliseconds(time));
}

} // namespace

class PlannedStopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlannedStopTest);
    CPPUNIT_TEST(everyRequestIsTakenBeforeTheStop);
    CPPUNIT_TEST(everyRequestIsTakenUntilCallersCanKnow);
    CPPUNIT_TEST(laterOnlyRequestsThatEndInTimeAreTaken);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyRequestIsTakenBeforeTheStop()
    {
        CPPUNIT_ASSERT(!PlannedStop().hasBegun());
        CPPUNIT_ASSERT(PlannedStop().takes(at(5000), at(99000)));
    }

    void everyRequestIsTakenUntilCallersCanKnow()
    {
        const PlannedStop stop = begun();
        CPPUNIT_ASSERT(stop.hasBegun());
        CPPUNIT_ASSERT(stop.takes(at(1000), at(13000)));
        CPPUNIT_ASSERT(stop.takes(at(3599), at(13000)));
    }

    void laterOnlyRequestsThatEndInTimeAreTaken()
    {
        const PlannedStop stop = begun();
        CPPUNIT_ASSERT(!stop.takes(at(3600), at(8301)));
        CPPUNIT_ASSERT(stop.takes(at(3600), at(8300)));
        CPPUNIT_ASSERT(!stop.takes(at(8300), at(8301)));
    }

private:
    static PlannedStop begun()
    {
        PlannedStop stop;
        stop.begin(at(3600), at(8300));
        return stop;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);
