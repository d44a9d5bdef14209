// Tests which crashes are written to the platform's store, when, and what is recalled from it.
// Load: a day with 10 servers that crash by themselves, an outage of a zone, and requests that
// crash servers one after the other, at 3 to 300 routers.
#include <cppunit/extensions/HelperMacros.h>

#include "quarantine/crashrecords.h"

using namespace comfrey;

namespace {

constexpr std::uint64_t kWallTime = 1790000000000;

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(ms));
}

KeptCrash crashOf(std::uint64_t id, const std::string &server, const std::string &writer = "r1")
{
    KeptCrash crash;
    crash.id = id;
    crash.incarnation = server;
    crash.crashedAtMs = kWallTime;
    crash.writer = writer;
    return crash;
}

} // namespace

class CrashRecordsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashRecordsTest);
    CPPUNIT_TEST(repeatedCrashIsWrittenAtOnceAndOnlyOnce);
    CPPUNIT_TEST(firstCrashIsWrittenAfterDelayUnlessCleared);
    CPPUNIT_TEST(firstCrashesOfManyServersAreNotWritten);
    CPPUNIT_TEST(dueRecordsShareCallsOfBoundedSize);
    CPPUNIT_TEST(callsHaveLeastIntervalAndGrowingRetryDelay);
    CPPUNIT_TEST(failedCallIsRepeatedWithSameRecords);
    CPPUNIT_TEST(onlyRecordOfFailedCallIsRepeated);
    CPPUNIT_TEST(clearedRequestIsRemovedByItsWriter);
    CPPUNIT_TEST(crashAfterClearingStays);
    CPPUNIT_TEST(expiredRecordIsRemovedByItsWriterOnce);
    CPPUNIT_TEST(pendingRecordsAreBounded);
    CPPUNIT_TEST(recordsAreRecalledWithTheirAge);
    CPPUNIT_TEST(expiredForeignAndUnreadableRecordsAreNotRecalled);
    CPPUNIT_TEST(ageIsBoundedIfClocksDiffer);
    CPPUNIT_TEST(newestOfTooManyRecordsAreRecalled);
    CPPUNIT_TEST(recordsNobodyRemovesAreRemovedByRouterThatReadsTheStore);
    CPPUNIT_TEST(recalledRecordIsNotWrittenAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeatedCrashIsWrittenAtOnceAndOnlyOnce()
    {
        CrashRecords records("r1");
        records.onCrash(crashOf(1, "e1@1"), true, at(0));
        const auto batch = records.takeBatch(false, at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), batch.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r1 e1@1"), batch.front().key);
        CPPUNIT_ASSERT_EQUAL(std::string("1 1790000000000 0 0 r1"), *batch.front().value);
        records.onCrash(crashOf(1, "e1@1"), true, at(1));
        records.onWritten(CrashWrite::Written, at(5));
        records.onCrash(crashOf(1, "e1@1"), true, at(10));
        CPPUNIT_ASSERT(records.takeBatch(true, at(60000)).empty());
    }

    void firstCrashIsWrittenAfterDelayUnlessCleared()
    {
        CrashRecords records("r1");
        records.onCrash(crashOf(1, "e1@1"), false, at(0));
        records.onCrash(crashOf(2, "e1@1"), false, at(0));
        CPPUNIT_ASSERT(records.takeBatch(false, at(1999)).empty());
        records.onCleared(CrashSubject::Request, 2, kWallTime, at(1999));
        const auto batch = records.takeBatch(false, at(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), batch.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r1 e1@1"), batch.front().key);
    }

    void firstCrashesOfManyServersAreNotWritten()
    {
        CrashRecords records("r1");
        for (int server = 0; server < 5; ++server)
            records.onCrash(crashOf(10, 'e' + std::to_string(server)), server == 4, at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.takeBatch(false, at(0)).size());
        records.onWritten(CrashWrite::Written, at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), records.takeBatch(false, at(2000)).size());
        records.onWritten(CrashWrite::Written, at(2001));
        for (int server = 10; server < 15; ++server)
            records.onCrash(crashOf(11, 'e' + std::to_string(server)), false, at(4000));
        CPPUNIT_ASSERT(records.takeBatch(false, at(6000)).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), records.omittedCount());
    }

    void dueRecordsShareCallsOfBoundedSize()
    {
        CrashRecords records("r1");
        for (std::uint64_t request = 0; request < 40; ++request)
            records.onCrash(crashOf(request, "e1@1"), true, at(0));
        CPPUNIT_ASSERT_EQUAL(CrashRecords::kMaxBatch, records.takeBatch(false, at(0)).size());
        CPPUNIT_ASSERT(records.takeBatch(false, at(5000)).empty()); // The call is under way.
        records.onWritten(CrashWrite::Written, at(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), records.takeBatch(false, at(5000)).size());
    }

    void callsHaveLeastIntervalAndGrowingRetryDelay()
    {
        CrashRecords records("r1");
        records.onCrash(crashOf(1, "e1@1"), true, at(0));
        CPPUNIT_ASSERT(!records.takeBatch(false, at(0)).empty());
        records.onWritten(CrashWrite::Written, at(1));
        records.onCrash(crashOf(1, "e2@1"), true, at(2));
        CPPUNIT_ASSERT(records.takeBatch(false, at(999)).empty());
        std::int64_t now = 1000;
        std::size_t calls = 0;
        for (; now < 301000; now += 100) {
            if (records.takeBatch(false, at(now)).empty())
                continue;
            ++calls;
            records.onWritten(CrashWrite::Failed, at(now));
        }
        // After 1, 2, 4, 8, 16, then 30 s each.
        CPPUNIT_ASSERT_EQUAL(std::size_t(14), calls);
    }

    void failedCallIsRepeatedWithSameRecords()
    {
        CrashRecords records("r1");
        records.onCrash(crashOf(1, "e1@1"), true, at(0));
        const auto first = records.takeBatch(false, at(0));
        records.onWritten(CrashWrite::Failed, at(1500));
        records.onCrash(crashOf(1, "e2@1"), true, at(1500));
        const auto second = records.takeBatch(false, at(2500));
        CPPUNIT_ASSERT_EQUAL(first.size(), second.size());
        CPPUNIT_ASSERT_EQUAL(first.front().key, second.front().key);
        CPPUNIT_ASSERT_EQUAL(*first.front().value, *second.front().value);
    }

    void onlyRecordOfFailedCallIsRepeated()
    {
        CrashRecords records("r1");
        records.onCrash(crashOf(1, "e1@1"), true, at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.takeBatch(false, at(0)).size());
        records.onWritten(CrashWrite::Failed, at(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.takeBatch(false, at(2100)).size());
        records.onWritten(CrashWrite::Written, at(2200));
        // Nor is a removal lost.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.takeBatch(false, at(600000)).size());
        records.onWritten(CrashWrite::Failed, at(600100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.takeBatch(false, at(602100)).size());
    }

    void clearedRequestIsRemovedByItsWriter()
    {
        CrashRecords writer("r1");
        writer.onCrash(crashOf(1, "e1@1"), true, at(0));
        writer.takeBatch(false, at(0));
        writer.onCleared(CrashSubject::Request, 1, kWallTime,
                         at(1)); // While the call is under way.
        writer.onWritten(CrashWrite::Written, at(5));
        const auto removal = writer.takeBatch(false, at(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), removal.size());
        CPPUNIT_ASSERT(!removal.front().value);
        CrashRecords other("r2");
        other.onCleared(CrashSubject::Request, 1, kWallTime, at(0));
        CPPUNIT_ASSERT(other.takeBatch(false, at(0)).empty());
    }

    void crashAfterClearingStays()
    {
        CrashRecords records("r1");
        records.recall({encode(crashOf(1, "e1@1"))}, kWallTime + 1000, at(0));
        records.onCrash(crashOf(1, "e2@1"), true, at(0));
        records.onCleared(CrashSubject::Request, 1, kWallTime - 1, at(0));
        const auto batch = records.takeBatch(false, at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), batch.size());
        CPPUNIT_ASSERT(batch.front().value);
        records.onCleared(CrashSubject::Request, 1, kWallTime - 1, at(1)); // The call is under way.
        records.onWritten(CrashWrite::Written, at(2));
        CPPUNIT_ASSERT(records.takeBatch(false, at(5000)).empty());
        records.onCleared(CrashSubject::Request, 1, kWallTime, at(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), records.takeBatch(false, at(5000)).size());
    }

    void expiredRecordIsRemovedByItsWriterOnce()
    {
        CrashRecords records("r1");
        records.onCrash(crashOf(1, "e1@1"), true, at(0));
        records.takeBatch(false, at(0));
        records.onWritten(CrashWrite::Written, at(1));
        CPPUNIT_ASSERT(records.takeBatch(false, at(599999)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.takeBatch(false, at(600000)).size());
        records.onWritten(CrashWrite::Written, at(600001));
        CPPUNIT_ASSERT(records.takeBatch(true, at(9000000)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), records.keptCount());
    }

    void pendingRecordsAreBounded()
    {
        CrashRecords records("r1");
        for (std::uint64_t request = 0; request < 1000; ++request)
            records.onCrash(crashOf(request, "e1@1"), true, at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000 - CrashRecords::kMaxPending),
                             records.omittedCount());
    }

    void recordsAreRecalledWithTheirAge()
    {
        CrashRecords records("r2");
        KeptCrash part = crashOf(0xdead, "e2@1");
        part.subject = CrashSubject::PromptPart;
        part.sentMsBefore = 40;
        part.isFamiliar = true;
        part.crashedAtMs += 1000;
        const auto recall =
            records.recall({encode(part), encode(crashOf(1, "e1@1"))}, kWallTime + 20000, at(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), recall.crashes.size());
        CPPUNIT_ASSERT(recall.crashes[0].age == milliseconds(20000));
        const KeptCrash &read = recall.crashes[1].crash;
        CPPUNIT_ASSERT(read.subject == CrashSubject::PromptPart && read.isFamiliar);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0xdead), read.id);
        CPPUNIT_ASSERT_EQUAL(std::string("e2@1"), read.incarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(40), read.sentMsBefore);
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), read.writer);
    }

    void expiredForeignAndUnreadableRecordsAreNotRecalled()
    {
        CrashRecords records("r2");
        const auto recall = records.recall({encode(crashOf(1, "e1@1")),
                                            {"r1 e2@1", "2 1790000000000 0 0 r1"},
                                            {"r1", "1 1790000000000 0 0 r1"},
                                            {"x1 e2@1", "1 1790000000000 0 0 r1"},
                                            {"rzz e2@1", "1 1790000000000 0 0 r1"},
                                            {"r1 e3@1", ""},
                                            {"r1 e4@1", "1 -5 0 0"},
                                            {"r1 e5@1", std::nullopt}},
                                           kWallTime + 600000, at(0));
        CPPUNIT_ASSERT(recall.crashes.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), recall.expired);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), recall.unreadable);
    }

    void ageIsBoundedIfClocksDiffer()
    {
        CrashRecords records("r2");
        const auto record = encode(crashOf(1, "e1@1"));
        const auto ahead = records.recall({record}, kWallTime - 60000, at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ahead.crashes.size());
        CPPUNIT_ASSERT(ahead.crashes.front().age == milliseconds(0));
        for (const std::uint64_t wallTime : {kWallTime - 60001, std::uint64_t(0)}) {
            const auto recall = records.recall({record}, wallTime, at(0));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), recall.crashes.size());
            CPPUNIT_ASSERT(recall.crashes.front().age == milliseconds(0));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), recall.expired);
        }
    }

    void newestOfTooManyRecordsAreRecalled()
    {
        CrashRecords records("r2");
        std::vector<StoredCrash> stored;
        for (std::uint64_t request = 0; request < 2000; ++request) {
            KeptCrash crash = crashOf(request, "e1@1");
            crash.crashedAtMs += request;
            stored.push_back(encode(crash));
        }
        const auto recall = records.recall(stored, kWallTime + 5000, at(0));
        CPPUNIT_ASSERT_EQUAL(CrashRecords::kMaxRecalled, recall.crashes.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1999), recall.crashes.back().crash.id);
    }

    void recordsNobodyRemovesAreRemovedByRouterThatReadsTheStore()
    {
        CrashRecords reader("r2");
        CrashRecords follower("r3");
        for (CrashRecords *records : {&reader, &follower})
            records->recall({encode(crashOf(1, "e1@1")), {"odd", "x"}}, kWallTime + 700000, at(0));
        CPPUNIT_ASSERT(reader.takeBatch(true, at(599999)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), reader.takeBatch(true, at(600000)).size());
        CPPUNIT_ASSERT(follower.takeBatch(false, at(600000)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), follower.keptCount());
        KeptCrash part = crashOf(1, "e1@1");
        part.subject = CrashSubject::PromptPart;
        CrashRecords slow("r4");
        slow.recall({encode(part)}, kWallTime + 3600000, at(0));
        CPPUNIT_ASSERT(slow.takeBatch(true, at(3599999)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), slow.takeBatch(true, at(3600000)).size());
    }

    void recalledRecordIsNotWrittenAgain()
    {
        CrashRecords records("r1");
        records.recall({encode(crashOf(1, "e1@1"))}, kWallTime + 1000, at(0));
        records.onCrash(crashOf(1, "e1@1"), true, at(1));
        CPPUNIT_ASSERT(records.takeBatch(false, at(1)).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashRecordsTest);
