// The life of a chat request: one answer each, retries, resumption, cancellation.
#include <cppunit/extensions/HelperMacros.h>

#include "support/chatbench.h"

using namespace comfrey;
using namespace comfrey::test;

class ChatPartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChatPartTest);
    CPPUNIT_TEST(unknownKeyIsRefusedNotRun);
    CPPUNIT_TEST(completedAttemptIsAnsweredOnce);
    CPPUNIT_TEST(brokenStreamResumesElsewhereAtDeliveredTokens);
    CPPUNIT_TEST(callerThatLeftHasItsAttemptCancelled);
    CPPUNIT_TEST(noEngineIsToldAtOnceWithRetryAfter);
    CPPUNIT_TEST(engineThatNeverConnectsEndsAsNotRun);
    CPPUNIT_TEST(differentChatsWithOneSystemPromptThatCrashesEnginesAreStopped);
    CPPUNIT_TEST(chatsWithSoundSystemPromptsBesideCrashingOnesAreServed);
    CPPUNIT_TEST_SUITE_END();

public:
    void unknownKeyIsRefusedNotRun()
    {
        ChatBench bench(2);
        bench.arrive("r1", "c1", "wrong key");
        CPPUNIT_ASSERT(bench.answers("r1").size() == 1);
        CPPUNIT_ASSERT(bench.answers("r1")[0].outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(bench.answers("r1")[0].error == CallerError::UnknownKey);
    }

    void completedAttemptIsAnsweredOnce()
    {
        ChatBench bench(2);
        bench.arrive("r1", "c1");
        const SendToBackend sent = bench.lastSent("r1");
        bench.end(sent, AttemptEnd::Completed, 5);
        bench.end(sent, AttemptEnd::Completed, 5);
        CPPUNIT_ASSERT(bench.answers("r1").size() == 1);
        CPPUNIT_ASSERT(bench.answers("r1")[0].outcome == Outcome::Answered);
        CPPUNIT_ASSERT(bench.answers("r1")[0].attempt == sent.attempt);
        CPPUNIT_ASSERT(bench.part.isIdle());
    }

    void brokenStreamResumesElsewhereAtDeliveredTokens()
    {
        ChatBench bench(3);
        bench.arrive("r1", "c1");
        const SendToBackend first = bench.lastSent("r1");
        bench.progress(first, 1);
        bench.end(first, AttemptEnd::BrokenInAnswer, 7);
        const SendToBackend second = bench.lastSent("r1");
        CPPUNIT_ASSERT(second.backend != first.backend);
        CPPUNIT_ASSERT_EQUAL(Tokens(7), second.resumeAt);
        bench.progress(second, 1);
        bench.end(second, AttemptEnd::BrokenInAnswer, 40);
        CPPUNIT_ASSERT_EQUAL(Tokens(47), bench.lastSent("r1").resumeAt);
    }

    void callerThatLeftHasItsAttemptCancelled()
    {
        ChatBench bench(2);
        bench.arrive("r1", "c1");
        bench.handle(CallerLeft{RequestId("r1")});
        CPPUNIT_ASSERT(bench.cancelled(bench.lastSent("r1").attempt));
        CPPUNIT_ASSERT(bench.answers("r1").empty());
        CPPUNIT_ASSERT(!bench.part.isIdle());
        bench.end(bench.lastSent("r1"), AttemptEnd::Cancelled, 0);
        CPPUNIT_ASSERT(bench.part.isIdle());
    }

    void noEngineIsToldAtOnceWithRetryAfter()
    {
        ChatBench bench(0);
        bench.arrive("r1", "c1");
        CPPUNIT_ASSERT(bench.answers("r1").size() == 1);
        CPPUNIT_ASSERT(bench.answers("r1")[0].error == CallerError::NoBackend);
        CPPUNIT_ASSERT(bench.answers("r1")[0].retryAfter.has_value());
    }

    void engineThatNeverConnectsEndsAsNotRun()
    {
        ChatBench bench(2);
        bench.arrive("r1", "c1");
        bench.end(bench.lastSent("r1"), AttemptEnd::NotConnected, 0);
        bench.end(bench.lastSent("r1"), AttemptEnd::NotConnected, 0);
        CPPUNIT_ASSERT(bench.answers("r1").size() == 1);
        CPPUNIT_ASSERT(bench.answers("r1")[0].outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(bench.answers("r1")[0].error == CallerError::BackendFailed);
    }

    void differentChatsWithOneSystemPromptThatCrashesEnginesAreStopped()
    {
        ChatBench bench(12);
        std::size_t sent = 0;
        for (int chat = 0; chat < 10; ++chat)
            sent += crashEngines(bench, chat, PrefixHash(13));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent) + " attempts crashed engines", sent <= 4);
        const auto last = bench.answers("crashing9");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), last.size());
        CPPUNIT_ASSERT(last[0].outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(last[0].error == CallerError::Quarantined);
        CPPUNIT_ASSERT(last[0].retryAfter && *last[0].retryAfter > Duration(0));
    }

    void chatsWithSoundSystemPromptsBesideCrashingOnesAreServed()
    {
        ChatBench bench(12);
        for (int chat = 0; chat < 10; ++chat) {
            crashEngines(bench, chat, PrefixHash(13));
            for (const std::uint64_t prefix : {0U, 14U}) {
                const std::string id =
                    "sound" + std::to_string(chat) + '-' + std::to_string(prefix);
                bench.arrive(id, id, "key0", 100, PrefixHash(prefix));
                CPPUNIT_ASSERT_MESSAGE(id, !bench.sent(id).empty());
                bench.progress(bench.lastSent(id), 1);
                bench.end(bench.lastSent(id), AttemptEnd::Completed, 5);
                CPPUNIT_ASSERT(bench.answers(id)[0].outcome == Outcome::Answered);
            }
        }
    }

private:
    /// Sends a chat that crashes each engine before its first token. Returns its attempts.
    static std::size_t crashEngines(ChatBench &bench, int chat, PrefixHash prefix)
    {
        const std::string id = "crashing" + std::to_string(chat);
        bench.arrive(id, id, "key0", 100, prefix);
        std::size_t ended = 0;
        while (ended < bench.sent(id).size()) {
            bench.advance(milliseconds(100));
            bench.end(bench.sent(id)[ended++], AttemptEnd::BrokenBeforeAnswer, 0);
        }
        bench.advance(milliseconds(100));
        return ended;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChatPartTest);
