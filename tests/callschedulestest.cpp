// Random schedules of calls that may not be repeated, with faults of every kind.
#include <chrono>
#include <cstdlib>
#include <iostream>

#include <cppunit/extensions/HelperMacros.h>

#include "support/callschedule.h"

using namespace comfrey::test;

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t kSchedules = 2000; ///< Sanitizers cost several times the time.
#else
constexpr std::uint64_t kSchedules = 10000;
#endif

} // namespace

class CallSchedulesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallSchedulesTest);
    CPPUNIT_TEST(randomSchedulesKeepEveryPromise);
    CPPUNIT_TEST_SUITE_END();

public:
    void randomSchedulesKeepEveryPromise()
    {
        ScheduleReport total;
        for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
            const ScheduleReport report = runCallSchedule(seed);
            if (!report.broken.empty())
                CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + report.broken.front());
            total.runs += report.runs;
            total.answered += report.answered;
            total.notRun += report.notRun;
            total.unknown += report.unknown;
        }
        // A schedule in which nothing runs or fails proves nothing.
        CPPUNIT_ASSERT(total.runs > kSchedules);
        CPPUNIT_ASSERT(total.notRun > kSchedules / 20);
        CPPUNIT_ASSERT(total.unknown > kSchedules / 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallSchedulesTest);
