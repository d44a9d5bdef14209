// The fakes themselves: a fault that a scenario asks for really happens, and a run is replayed.
#include <cppunit/extensions/HelperMacros.h>

#include "support/changes.h"
#include "support/fakefleet.h"

using namespace comfrey;
using namespace comfrey::test;

class FakesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FakesTest);
    CPPUNIT_TEST(logAppendWithLostAnswerIsReadBack);
    CPPUNIT_TEST(logAppendThatIsLateShowsLater);
    CPPUNIT_TEST(logOverItsRateRefuses);
    CPPUNIT_TEST(logOverRetentionForgetsOldest);
    CPPUNIT_TEST(logReadThatWaitsIsAnsweredByAppend);
    CPPUNIT_TEST(instanceListLagsBehindChange);
    CPPUNIT_TEST(netWithCutDropsBothWays);
    CPPUNIT_TEST(engineCrashBreaksAnswerAndRefusesConnections);
    CPPUNIT_TEST(engineThatChecksFencingRefusesOldOrder);
    CPPUNIT_TEST(serviceThatCrashesAfterRunCountsTheRun);
    CPPUNIT_TEST_SUITE_END();

public:
    class Sink : public AttemptSink
    {
    public:
        void started(const Arrival &arrival) override { (void)arrival; }
        void progressed(const AttemptKey &key, Tokens tokens, Tokens cached) override
        {
            (void)key;
            (void)cached;
            delivered = tokens;
        }
        void ended(const AttemptKey &key, const AttemptEnded &end) override
        {
            (void)key;
            last = end;
            ++ends;
        }
        Tokens delivered = 0;
        AttemptEnded last;
        int ends = 0;
    };

    static Arrival arrivalOf(const CallerRequest &detail, Tokens outputTokens)
    {
        Arrival arrival;
        arrival.key = {RouterId("r1"), 1, AttemptId(1)};
        arrival.request = RequestId("q1");
        arrival.submission.detail = detail;
        arrival.submission.outputTokens = outputTokens;
        return arrival;
    }

    void logAppendWithLostAnswerIsReadBack()
    {
        m_log.faults().loseAnswers = 1;
        AppendResult result = AppendResult::Accepted;
        m_log.append(m_stream, {1}, [&](AppendResult given, LogOffset) { result = given; });
        m_queue.runUntil(m_queue.now() + milliseconds(10));
        CPPUNIT_ASSERT(result == AppendResult::Lost);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_log.readNow(m_stream, LogOffset(1)).records.size());
    }

    void logAppendThatIsLateShowsLater()
    {
        m_log.faults().lateAppends = 1;
        m_log.append(m_stream, {1}, [](AppendResult, LogOffset) {});
        m_queue.runUntil(m_queue.now() + milliseconds(1000));
        CPPUNIT_ASSERT(m_log.readNow(m_stream, LogOffset(1)).records.empty());
        m_queue.runUntil(m_queue.now() + milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_log.readNow(m_stream, LogOffset(1)).records.size());
    }

    void logOverItsRateRefuses()
    {
        m_log.setAppendRate(2);
        int refused = 0;
        for (int i = 0; i < 3; ++i) {
            m_log.append(m_stream, {1}, [&refused](AppendResult result, LogOffset) {
                refused += result == AppendResult::Refused ? 1 : 0;
            });
        }
        m_queue.runUntil(m_queue.now() + milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(1, refused);
    }

    void logOverRetentionForgetsOldest()
    {
        m_log.setRetention(2);
        for (std::uint8_t i = 1; i <= 3; ++i)
            m_log.appendNow(m_stream, {i});
        const LogRead read = m_log.readNow(m_stream, LogOffset(1));
        CPPUNIT_ASSERT(read.firstOffset == LogOffset(2));
        CPPUNIT_ASSERT(read.endOffset == LogOffset(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), read.records.size());
    }

    void logReadThatWaitsIsAnsweredByAppend()
    {
        std::optional<LogRead> answer;
        m_log.read(m_stream, LogOffset(1), true,
                   [&answer](const std::optional<LogRead> &read) { answer = read; });
        m_queue.runUntil(m_queue.now() + milliseconds(100));
        CPPUNIT_ASSERT(!answer);
        m_log.appendNow(m_stream, {7});
        m_queue.runUntil(m_queue.now() + milliseconds(10));
        CPPUNIT_ASSERT(answer && answer->records.size() == 1);
    }

    void instanceListLagsBehindChange()
    {
        FakeInstances instances(m_queue);
        instances.setLag(milliseconds(1000));
        Instance instance;
        instance.id = "e1";
        instances.put(instance);
        m_queue.runUntil(m_queue.now() + milliseconds(2000));
        instances.remove("e1");
        m_queue.runUntil(m_queue.now() + milliseconds(999));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), instances.read()->size());
        m_queue.runUntil(m_queue.now() + milliseconds(1));
        CPPUNIT_ASSERT(instances.read()->empty());
    }

    void netWithCutDropsBothWays()
    {
        FakeNet net(m_queue, 1);
        net.cut({"a"}, {"b"});
        int delivered = 0;
        net.sendMessage("a", "b", 10, [&delivered] { ++delivered; });
        net.sendMessage("b", "a", 10, [&delivered] { ++delivered; });
        net.sendMessage("a", "c", 10, [&delivered] { ++delivered; });
        m_queue.runUntil(m_queue.now() + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(1, delivered);
    }

    void engineCrashBreaksAnswerAndRefusesConnections()
    {
        EngineOptions options;
        options.id = "e1";
        Sink sink;
        FakeEngine engine(m_queue, sink, options);
        engine.arrive(arrivalOf(chatRequest("c1", "chat1"), 50));
        m_queue.runUntil(m_queue.now() + milliseconds(200));
        CPPUNIT_ASSERT(sink.delivered > 0);
        engine.crash();
        CPPUNIT_ASSERT(sink.last.how == AttemptEnd::BrokenInAnswer);
        CPPUNIT_ASSERT(!engine.isUp());
        m_queue.runUntil(m_queue.now() + milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(1, sink.ends);
    }

    void engineThatChecksFencingRefusesOldOrder()
    {
        EngineOptions options;
        options.id = "e1";
        Sink sink;
        FakeEngine checks(m_queue, sink, options);
        options.checksFencing = false;
        FakeEngine ignores(m_queue, sink, options);
        GiveOrder order;
        order.kind = OrderKind::LoadModel;
        order.subject = "m2";
        order.fencing = FencingNumber(5);
        CPPUNIT_ASSERT(checks.order(order) == OrderResult::Done);
        CPPUNIT_ASSERT(ignores.order(order) == OrderResult::Done);
        order.fencing = FencingNumber(4);
        CPPUNIT_ASSERT(checks.order(order) == OrderResult::RefusedStale);
        CPPUNIT_ASSERT(ignores.order(order) == OrderResult::Done);
        CPPUNIT_ASSERT(ignores.report().newestOrder == FencingNumber(4));
    }

    void serviceThatCrashesAfterRunCountsTheRun()
    {
        ServiceOptions options;
        options.id = "s1";
        Sink sink;
        RunCounts runs;
        FakeService service(m_queue, sink, runs, options);
        service.faults().fault = ServiceFault::CrashAfterRun;
        const CallerRequest request = callRequest("c1", "k1");
        service.arrive(arrivalOf(request, 0));
        CPPUNIT_ASSERT(sink.last.how == AttemptEnd::BrokenBeforeAnswer);
        const std::uint32_t count = runs[{request.apiKey, request.idempotencyKey}];
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), count);
    }

private:
    EventQueue m_queue;
    FakeLog m_log{m_queue, 1};
    StreamId m_stream{"s"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakesTest);
