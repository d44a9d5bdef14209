// RefusalMemory: bounds of what it keeps and scans.
#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/refusalmemory.h"

using namespace comfrey;

namespace {

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(ms));
}

} // namespace

class RefusalMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RefusalMemoryTest);
    CPPUNIT_TEST(equalRequestsKeepTheNewestRefusals);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Many callers send one request: each arrival looks through all refusals of its fingerprint.
    void equalRequestsKeepTheNewestRefusals()
    {
        RefusalMemory memory;
        add(memory, 8, 0);
        for (std::int64_t index = 0; index < 1000; ++index)
            add(memory, 7, index * 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{17}, memory.size());
        // The oldest of the 16 is found, the one before is not.
        CPPUNIT_ASSERT(!memory.take(7, left(98300), at(100400)));
        CPPUNIT_ASSERT(memory.take(7, left(98400), at(100400)));
        CPPUNIT_ASSERT(memory.take(7, left(99900), at(100400)));
        CPPUNIT_ASSERT(memory.take(8, left(0), at(100400)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{14}, memory.size());
    }

private:
    static constexpr Duration kCallerTime = milliseconds(200000);

    static void add(RefusalMemory &memory, std::uint64_t fingerprint, std::int64_t refusedMs)
    {
        RefusedAttempt refusal;
        refusal.refusedAt = at(refusedMs);
        refusal.callerTime = kCallerTime;
        memory.add(fingerprint, refusal);
    }

    /// Time left at 100.4 s to the caller that was refused then.
    static Duration left(std::int64_t refusedMs)
    {
        return kCallerTime - (at(100400) - at(refusedMs));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalMemoryTest);
