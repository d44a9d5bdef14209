// What requests are expected to need of an engine, learnt from the answers of their route.
#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/workestimate.h"

using namespace comfrey;

class WorkEstimateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkEstimateTest);
    CPPUNIT_TEST(unknownRouteIsEstimatedByItsMemoryAlone);
    CPPUNIT_TEST(longPromptIsExpectedToBeReadLonger);
    CPPUNIT_TEST(shortAnswersOfARouteShortenItsSlotTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void unknownRouteIsEstimatedByItsMemoryAlone()
    {
        const WorkEstimate work = m_estimator.estimate("new", request(1000, 200));
        CPPUNIT_ASSERT_EQUAL(Tokens(1200), work.memoryTokens);
        CPPUNIT_ASSERT(work.firstToken == Duration(0) && work.slotTime == Duration(0));
    }

    void longPromptIsExpectedToBeReadLonger()
    {
        for (int count = 0; count < 50; ++count)
            answer("a", request(1000, 200), 100, 1100);
        CPPUNIT_ASSERT(m_estimator.estimate("a", request(2000, 200)).firstToken
                       == milliseconds(200));
        CPPUNIT_ASSERT(m_estimator.estimate("a", request(1000, 400)).slotTime
                       == milliseconds(2100));
    }

    /// Callers allow 200 tokens; the answers of the route become shorter.
    void shortAnswersOfARouteShortenItsSlotTime()
    {
        for (int count = 0; count < 50; ++count)
            answer("a", request(1000, 200), 100, 2000);
        for (int count = 0; count < 100; ++count)
            answer("a", request(1000, 200), 100, 400);
        CPPUNIT_ASSERT(m_estimator.estimate("a", request(1000, 200)).slotTime < milliseconds(450));
    }

private:
    static RequestFacts request(Tokens prompt, Tokens output)
    {
        RequestFacts facts;
        facts.promptTokens = prompt;
        facts.maxOutputTokens = output;
        return facts;
    }

    void answer(const std::string &route, const RequestFacts &facts, int firstToken, int end)
    {
        m_estimator.onFirstToken(route, facts, milliseconds(firstToken));
        m_estimator.onAnswerEnded(route, facts, milliseconds(end));
    }

    WorkEstimator m_estimator;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkEstimateTest);
