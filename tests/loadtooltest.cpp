// The load tool: it must see every answer that does not belong whole to its caller, and plan the
// same load from the same seed.
#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "comfrey-load/answercheck.h"
#include "comfrey-load/centralqueue.h"
#include "comfrey-load/schedule.h"
#include "common/prompt.h"

namespace comfrey::load {

namespace {

constexpr std::uint64_t kPrompt = 17;
constexpr std::uint64_t kOtherPrompt = 18;

std::string event(const std::string &id, std::uint64_t prompt, Tokens position)
{
    return "data: {\"id\":\"" + id + R"(","choices":[{"index":0,"delta":{"content":")"
        + standin::tokenText(prompt, position) + "\"}}],\"position\":" + std::to_string(position)
        + "}\n\n";
}

const std::string kEnd = "data: {\"id\":\"r\",\"choices\":[{\"index\":0,\"delta\":{},"
                         "\"finish_reason\":\"stop\"}],\"usage\":{\"cached_tokens\":5}}\n\n"
                         "data: [DONE]\n\n";

AnswerCheck checkOf(const std::string &stream)
{
    AnswerCheck check(kPrompt, 2);
    check.expectId("r");
    for (const char byte : stream) // one by one: events may be split anywhere
        check.take({&byte, 1}, SteadyTime());
    return check;
}

Workload workloadOf(double rate, std::uint32_t engines)
{
    Workload workload;
    workload.seconds = 20;
    workload.engines = engines;
    Organisation organisation;
    organisation.name = "tuv";
    organisation.rate = rate;
    workload.organisations.push_back(organisation);
    return workload;
}

double servedShare(const Workload &workload)
{
    const std::vector<PlannedRequest> requests = planRequests(workload, 1);
    const std::vector<bool> served = serveCentrally(workload, requests);
    const auto count = std::count(served.begin(), served.end(), true);
    return static_cast<double>(count) / static_cast<double>(requests.size());
}

} // namespace

class LoadToolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadToolTest);
    CPPUNIT_TEST(completeStreamIsWhole);
    CPPUNIT_TEST(streamWithAnotherPromptsTokenIsForeign);
    CPPUNIT_TEST(streamWithAnotherIdIsForeign);
    CPPUNIT_TEST(streamWithoutOneTokenIsWrong);
    CPPUNIT_TEST(streamWithRepeatedTokenIsWrong);
    CPPUNIT_TEST(streamThatEndsEarlyIsNotWhole);
    CPPUNIT_TEST(wholeAnswerOfAnotherPromptIsForeign);
    CPPUNIT_TEST(scheduleOfOneSeedIsAlwaysTheSame);
    CPPUNIT_TEST(scheduleOfAnotherSeedDiffers);
    CPPUNIT_TEST(scheduleInABurstHasMoreArrivals);
    CPPUNIT_TEST(returningChatCouldHaveItsEarlierPromptCached);
    CPPUNIT_TEST(centralQueueUnderLittleLoadServesAll);
    CPPUNIT_TEST(centralQueueOverloadedServesAPart);
    CPPUNIT_TEST(listsOfWorkloadHoldHashedKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    void completeStreamIsWhole()
    {
        const AnswerCheck check = checkOf(event("r", kPrompt, 0) + event("r", kPrompt, 1) + kEnd);
        CPPUNIT_ASSERT(check.isWhole());
        CPPUNIT_ASSERT_EQUAL(Tokens(5), check.cachedTokens());
    }

    void streamWithAnotherPromptsTokenIsForeign()
    {
        const AnswerCheck check =
            checkOf(event("r", kPrompt, 0) + event("r", kOtherPrompt, 1) + kEnd);
        CPPUNIT_ASSERT(check.fault() == AnswerFault::Foreign);
        CPPUNIT_ASSERT(!check.isWhole());
    }

    void streamWithAnotherIdIsForeign()
    {
        const AnswerCheck check = checkOf(event("r", kPrompt, 0) + event("q", kPrompt, 1) + kEnd);
        CPPUNIT_ASSERT(check.fault() == AnswerFault::Foreign);
    }

    void streamWithoutOneTokenIsWrong()
    {
        const AnswerCheck check = checkOf(event("r", kPrompt, 1) + kEnd);
        CPPUNIT_ASSERT(check.fault() == AnswerFault::Wrong);
    }

    void streamWithRepeatedTokenIsWrong()
    {
        const AnswerCheck check = checkOf(event("r", kPrompt, 0) + event("r", kPrompt, 0) + kEnd);
        CPPUNIT_ASSERT(check.fault() == AnswerFault::Wrong);
    }

    void streamThatEndsEarlyIsNotWhole()
    {
        CPPUNIT_ASSERT(!checkOf(event("r", kPrompt, 0) + kEnd).isWhole());
        CPPUNIT_ASSERT(!checkOf(event("r", kPrompt, 0) + event("r", kPrompt, 1)).isWhole());
    }

    void wholeAnswerOfAnotherPromptIsForeign()
    {
        AnswerCheck check(kPrompt, 2);
        check.expectId("r");
        check.takeWhole(R"({"id":"r","choices":[{"message":{"content":")"
                            + standin::answerText(kOtherPrompt, 2) + "\"}}]}",
                        SteadyTime());
        CPPUNIT_ASSERT(check.fault() == AnswerFault::Foreign);
    }

    void scheduleOfOneSeedIsAlwaysTheSame()
    {
        const auto first = planRequests(workloadOf(5, 1), 3);
        const auto second = planRequests(workloadOf(5, 1), 3);
        CPPUNIT_ASSERT_EQUAL(first.size(), second.size());
        for (std::size_t i = 0; i < first.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(first[i].body, second[i].body);
            CPPUNIT_ASSERT_EQUAL(first[i].at, second[i].at);
        }
    }

    void scheduleOfAnotherSeedDiffers()
    {
        const auto first = planRequests(workloadOf(5, 1), 3);
        const auto second = planRequests(workloadOf(5, 1), 4);
        CPPUNIT_ASSERT(first.front().at != second.front().at);
    }

    void scheduleInABurstHasMoreArrivals()
    {
        Workload workload = workloadOf(20, 1);
        workload.bursts.push_back({5, 5, 3, {}});
        std::size_t before = 0;
        std::size_t inside = 0;
        for (const PlannedRequest &request : planRequests(workload, 1)) {
            before += request.at < 5 ? 1 : 0;
            inside += request.at >= 5 && request.at < 10 ? 1 : 0;
        }
        CPPUNIT_ASSERT(inside > 2 * before);
    }

    void returningChatCouldHaveItsEarlierPromptCached()
    {
        const auto requests = planRequests(workloadOf(5, 1), 1);
        CPPUNIT_ASSERT_EQUAL(Tokens(0), requests.front().possibleCached);
        bool hasReturned = false;
        for (const PlannedRequest &request : requests) {
            CPPUNIT_ASSERT(request.possibleCached < request.promptTokens);
            hasReturned = hasReturned || request.possibleCached > 300;
        }
        CPPUNIT_ASSERT(hasReturned);
    }

    void centralQueueUnderLittleLoadServesAll()
    {
        CPPUNIT_ASSERT_EQUAL(1.0, servedShare(workloadOf(5, 4)));
    }

    void centralQueueOverloadedServesAPart()
    {
        const double share = servedShare(workloadOf(40, 1));
        CPPUNIT_ASSERT(share > 0.05);
        CPPUNIT_ASSERT(share < 0.5);
    }

    void listsOfWorkloadHoldHashedKeys()
    {
        const Lists lists = listsOf(workloadOf(5, 1), 0.5);
        const PlanEntry &entry = lists.plans.at(CustomerId("tuv"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(64), entry.keys.front().value().size());
        CPPUNIT_ASSERT(entry.contract.firstToken == milliseconds(160));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadToolTest);

} // namespace comfrey::load
