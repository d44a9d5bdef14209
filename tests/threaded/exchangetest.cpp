// The exchange between attempts, the router's decision and the caller.
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

#include "daemon/exchange.h"

using namespace comfrey;

namespace {

class RecordingListener : public ExchangeListener
{
public:
    void onToken(const std::string &text) override { tokens.push_back(text); }
    void onEnd(const AnswerCaller &answer) override { ends.push_back(answer); }

    std::vector<std::string> tokens;
    std::vector<AnswerCaller> ends;
};

} // namespace

class ExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExchangeTest);
    CPPUNIT_TEST(racingAttemptsGiveOneWholeStream);
    CPPUNIT_TEST(secondEndIsIgnored);
    CPPUNIT_TEST(tokenAfterEndIsDropped);
    CPPUNIT_TEST(shortAnswerIsNotFinished);
    CPPUNIT_TEST(backloggedExchangeResumesOnceThereIsRoom);
    CPPUNIT_TEST_SUITE_END();

public:
    void racingAttemptsGiveOneWholeStream()
    {
        for (unsigned seed = 0; seed < 50; ++seed) {
            RecordingListener listener;
            Exchange exchange(m_request, {}, {});
            exchange.listen(&listener);
            std::mt19937 random(seed);
            Tokens next[2] = {0, 0};
            bool stopped[2] = {false, false};
            while (listener.ends.empty()) {
                const std::size_t index = random() % 2;
                if (stopped[index])
                    continue;
                const AttemptId attempt(index + 1);
                const Tokens position = next[index]++;
                stopped[index] =
                    exchange.deliver(attempt, m_request, position, std::to_string(position))
                    == RelayVerdict::Superseded;
                if (position + 1 == kTokens)
                    finish(exchange, attempt);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{kTokens}, listener.tokens.size());
            for (Tokens position = 0; position < kTokens; ++position)
                CPPUNIT_ASSERT_EQUAL(std::to_string(position), listener.tokens[position]);
        }
    }

    void secondEndIsIgnored()
    {
        RecordingListener listener;
        Exchange exchange(m_request, {}, {});
        exchange.listen(&listener);
        AnswerCaller first;
        first.outcome = Outcome::Unknown;
        exchange.end(first);
        exchange.end(AnswerCaller{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listener.ends.size());
        CPPUNIT_ASSERT(listener.ends[0].outcome == Outcome::Unknown);
    }

    void tokenAfterEndIsDropped()
    {
        RecordingListener listener;
        Exchange exchange(m_request, {}, {});
        exchange.listen(&listener);
        exchange.end(AnswerCaller{});
        CPPUNIT_ASSERT(exchange.deliver(AttemptId(1), m_request, 0, "0")
                       == RelayVerdict::Superseded);
        CPPUNIT_ASSERT(listener.tokens.empty());
    }

    void shortAnswerIsNotFinished()
    {
        Exchange exchange(m_request, {}, {});
        exchange.deliver(AttemptId(1), m_request, 0, "0");
        AttemptSummary summary;
        summary.completionTokens = 2;
        CPPUNIT_ASSERT(!exchange.finish(AttemptId(1), summary));
    }

    void backloggedExchangeResumesOnceThereIsRoom()
    {
        Exchange exchange(m_request, {}, {});
        int resumed = 0;
        exchange.setBacklogged(true);
        exchange.whenRoom([&resumed] { ++resumed; });
        CPPUNIT_ASSERT_EQUAL(0, resumed);
        exchange.setBacklogged(false);
        exchange.setBacklogged(false);
        CPPUNIT_ASSERT_EQUAL(1, resumed);
    }

private:
    static constexpr Tokens kTokens = 500;

    static void finish(Exchange &exchange, AttemptId attempt)
    {
        AttemptSummary summary;
        summary.completionTokens = kTokens;
        if (!exchange.finish(attempt, summary))
            return;
        AnswerCaller end;
        end.outcome = Outcome::Answered;
        end.attempt = attempt;
        exchange.end(end);
    }

    const RequestId m_request{"r-1"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExchangeTest);
