// The exchange between the caller's thread, the attempts' threads and the control thread.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>
#include <vector>

#include "daemon/exchange.h"

using namespace comfrey;

class ExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExchangeTest);
    CPPUNIT_TEST(racingAttemptsGiveOneWholeStream);
    CPPUNIT_TEST(secondEndIsIgnored);
    CPPUNIT_TEST(shortAnswerIsNotFinished);
    CPPUNIT_TEST_SUITE_END();

public:
    void racingAttemptsGiveOneWholeStream()
    {
        Exchange exchange(m_request, {}, {});
        std::vector<std::thread> attempts;
        for (std::uint64_t id = 1; id <= 2; ++id)
            attempts.emplace_back([&exchange, id, this] { runAttempt(exchange, AttemptId(id)); });
        std::vector<std::string> got;
        while (true) {
            const CallerPiece piece = exchange.next(std::chrono::milliseconds(50));
            got.insert(got.end(), piece.tokens.begin(), piece.tokens.end());
            if (piece.end)
                break;
        }
        for (std::thread &attempt : attempts)
            attempt.join();
        CPPUNIT_ASSERT_EQUAL(std::size_t{kTokens}, got.size());
        for (Tokens position = 0; position < kTokens; ++position)
            CPPUNIT_ASSERT_EQUAL(std::to_string(position), got[position]);
    }

    void secondEndIsIgnored()
    {
        Exchange exchange(m_request, {}, {});
        AnswerCaller first;
        first.outcome = Outcome::Unknown;
        exchange.end(first);
        exchange.end(AnswerCaller{});
        const CallerPiece piece = exchange.next(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(piece.end->outcome == Outcome::Unknown);
    }

    void shortAnswerIsNotFinished()
    {
        Exchange exchange(m_request, {}, {});
        exchange.deliver(AttemptId(1), m_request, 0, "0");
        AttemptSummary summary;
        summary.completionTokens = 2;
        CPPUNIT_ASSERT(!exchange.finish(AttemptId(1), summary));
    }

private:
    static constexpr Tokens kTokens = 500;

    void runAttempt(Exchange &exchange, AttemptId attempt) const
    {
        for (Tokens position = 0; position < kTokens; ++position) {
            const RelayVerdict verdict =
                exchange.deliver(attempt, m_request, position, std::to_string(position));
            if (verdict == RelayVerdict::Superseded)
                return;
        }
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
