// One stream out of several attempts: no token lost, repeated, foreign or out of order.
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

#include "relay/ssereader.h"
#include "relay/streamrelay.h"

using namespace comfrey;

class StreamRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamRelayTest);
    CPPUNIT_TEST(tokenOfOtherRequestIsForeign);
    CPPUNIT_TEST(secondAttemptWhileFirstRunsIsSuperseded);
    CPPUNIT_TEST(secondAttemptAfterReleaseContinues);
    CPPUNIT_TEST(tokenAfterMissingOneIsGap);
    CPPUNIT_TEST(foreignTokenDoesNotTakeStream);
    CPPUNIT_TEST(randomAttemptsGiveEachTokenOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void tokenOfOtherRequestIsForeign()
    {
        StreamRelay relay(m_own);
        CPPUNIT_ASSERT(relay.judge(AttemptId(1), RequestId("other"), 0) == RelayVerdict::Foreign);
        CPPUNIT_ASSERT_EQUAL(Tokens{0}, relay.delivered());
    }

    void secondAttemptWhileFirstRunsIsSuperseded()
    {
        StreamRelay relay(m_own);
        CPPUNIT_ASSERT(relay.judge(AttemptId(1), m_own, 0) == RelayVerdict::Deliver);
        CPPUNIT_ASSERT(relay.judge(AttemptId(2), m_own, 0) == RelayVerdict::Superseded);
        CPPUNIT_ASSERT(relay.judge(AttemptId(2), m_own, 1) == RelayVerdict::Superseded);
        CPPUNIT_ASSERT(relay.judge(AttemptId(1), m_own, 1) == RelayVerdict::Deliver);
    }

    void secondAttemptAfterReleaseContinues()
    {
        StreamRelay relay(m_own);
        relay.judge(AttemptId(1), m_own, 0);
        relay.judge(AttemptId(1), m_own, 1);
        relay.release(AttemptId(1));
        CPPUNIT_ASSERT(relay.judge(AttemptId(2), m_own, 1) == RelayVerdict::Repeated);
        CPPUNIT_ASSERT(relay.judge(AttemptId(2), m_own, 2) == RelayVerdict::Deliver);
        CPPUNIT_ASSERT(relay.isWholeAt(3));
    }

    void tokenAfterMissingOneIsGap()
    {
        StreamRelay relay(m_own);
        relay.judge(AttemptId(1), m_own, 0);
        CPPUNIT_ASSERT(relay.judge(AttemptId(1), m_own, 2) == RelayVerdict::Gap);
        CPPUNIT_ASSERT(!relay.isWholeAt(3));
    }

    void foreignTokenDoesNotTakeStream()
    {
        StreamRelay relay(m_own);
        relay.judge(AttemptId(1), RequestId("other"), 0);
        CPPUNIT_ASSERT(relay.judge(AttemptId(2), m_own, 0) == RelayVerdict::Deliver);
    }

    void randomAttemptsGiveEachTokenOnce()
    {
        constexpr Tokens total = 20;
        for (std::uint64_t seed = 1; seed <= 500; ++seed) {
            std::mt19937_64 random(seed);
            StreamRelay relay(m_own);
            std::vector<Tokens> given;
            std::vector<Tokens> next(3, 0);
            for (int step = 0; step < 1000 && !relay.isWholeAt(total); ++step) {
                const std::size_t which = random() % next.size();
                const AttemptId attempt(which);
                if (random() % 10 == 0) {
                    relay.release(attempt);
                    next[which] = relay.delivered() - std::min<Tokens>(relay.delivered(), 2);
                    continue;
                }
                const RequestId id = random() % 20 == 0 ? RequestId("other") : m_own;
                const Tokens position = next[which] + (random() % 15 == 0 ? 1 : 0);
                if (position >= total)
                    continue;
                if (relay.judge(attempt, id, position) == RelayVerdict::Deliver)
                    given.push_back(position);
                if (id == m_own && position == next[which])
                    ++next[which];
            }
            for (Tokens position = 0; position < given.size(); ++position)
                CPPUNIT_ASSERT_EQUAL(position, given[position]);
            CPPUNIT_ASSERT_EQUAL(static_cast<Tokens>(given.size()), relay.delivered());
        }
    }

private:
    const RequestId m_own{"own"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamRelayTest);

class SseReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SseReaderTest);
    CPPUNIT_TEST(eventsCutAnywhereAreWhole);
    CPPUNIT_TEST(lineOverLimitIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void eventsCutAnywhereAreWhole()
    {
        const std::string text = "data: one\r\n\r\n: comment\ndata:two\n\ndata: [DONE]\n\n";
        const std::vector<std::string> expected{"one", "two", "[DONE]"};
        for (std::size_t cut = 0; cut <= text.size(); ++cut) {
            SseReader reader(64);
            std::vector<std::string> events;
            const auto take = [&events](std::string_view data) {
                events.emplace_back(data);
                return true;
            };
            CPPUNIT_ASSERT(reader.feed(std::string_view(text).substr(0, cut), take));
            CPPUNIT_ASSERT(reader.feed(std::string_view(text).substr(cut), take));
            CPPUNIT_ASSERT(events == expected);
        }
    }

    void lineOverLimitIsRefused()
    {
        SseReader reader(8);
        const auto take = [](std::string_view) { return true; };
        CPPUNIT_ASSERT(!reader.feed("data: a line without an end", take));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SseReaderTest);
