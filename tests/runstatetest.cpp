// What a caller may be told after each way that an attempt can end.
#include <cppunit/extensions/HelperMacros.h>

#include "outcome/runstate.h"

using namespace comfrey;

class RunStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunStateTest);
    CPPUNIT_TEST(attemptNotConnectedIsNotRun);
    CPPUNIT_TEST(attemptRefusedUnstartedIsNotRun);
    CPPUNIT_TEST(attemptBrokenAfterFirstByteIsUnknown);
    CPPUNIT_TEST(requestWithOneUnknownAttemptIsUnknown);
    CPPUNIT_TEST(requestInFlightIsUnknown);
    CPPUNIT_TEST(requestDeliveredIsAnswered);
    CPPUNIT_TEST(statusThatPromisesNotRunIsToldOnlyIfItDidNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void attemptNotConnectedIsNotRun()
    {
        const RunState state = runStateAfter(AttemptEnd::NotConnected);
        CPPUNIT_ASSERT(outcomeOf(state, false) == Outcome::NotRun);
    }

    void attemptRefusedUnstartedIsNotRun()
    {
        const RunState state = runStateAfter(AttemptEnd::RefusedUnstarted);
        CPPUNIT_ASSERT(outcomeOf(state, false) == Outcome::NotRun);
    }

    void attemptBrokenAfterFirstByteIsUnknown()
    {
        for (const AttemptEnd how : {AttemptEnd::FailedByBackend, AttemptEnd::BrokenBeforeAnswer,
                                     AttemptEnd::BrokenInAnswer, AttemptEnd::TimedOut,
                                     AttemptEnd::ForeignAnswer, AttemptEnd::Cancelled}) {
            CPPUNIT_ASSERT(outcomeOf(runStateAfter(how), false) == Outcome::Unknown);
        }
    }

    void requestWithOneUnknownAttemptIsUnknown()
    {
        const RunState first = runStateAfter(AttemptEnd::BrokenInAnswer);
        const RunState second = runStateAfter(AttemptEnd::NotConnected);
        CPPUNIT_ASSERT(outcomeOf(combined(first, second), false) == Outcome::Unknown);
        CPPUNIT_ASSERT(outcomeOf(combined(second, first), false) == Outcome::Unknown);
    }

    void requestInFlightIsUnknown()
    {
        CPPUNIT_ASSERT(outcomeOf(RunState::InFlight, false) == Outcome::Unknown);
    }

    void requestDeliveredIsAnswered()
    {
        CPPUNIT_ASSERT(outcomeOf(RunState::Ran, true) == Outcome::Answered);
    }

    void statusThatPromisesNotRunIsToldOnlyIfItDidNotRun()
    {
        for (unsigned status = 200; status < 600; ++status) {
            const bool promises = status == 408 || status == 421 || status == 429 || status == 503;
            for (const RunState notRun : {RunState::NotSent, RunState::RefusedUnstarted})
                CPPUNIT_ASSERT(mayBeTold(status, notRun));
            for (const RunState unknown : {RunState::InFlight, RunState::MayHaveRun, RunState::Ran})
                CPPUNIT_ASSERT_EQUAL(!promises, mayBeTold(status, unknown));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunStateTest);
