// Attribution of server crashes to prompt parts, and the refusal and probes of these parts.
#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/crashguard.h"
#include "quarantine/crashattribution.h"

using namespace comfrey;

namespace {

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(1000000 + ms));
}

const PromptPartId kFirst(1);
const PromptPartId kSecond(2);
const PromptPartId kDeadly(13);
const PromptPartId kFollowing(14);

} // namespace

class CrashAttributionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashAttributionTest);
    CPPUNIT_TEST(partOfDifferentRequestsIsRefusedAfterTwoCrashes);
    CPPUNIT_TEST(simultaneousCrashesCountOnce);
    CPPUNIT_TEST(reportsOfSeveralRoutersAboutOneCrashCountOnce);
    CPPUNIT_TEST(familiarPartIsRefusedAfterThreeCrashes);
    CPPUNIT_TEST(mostSpecificOfEquallyFrequentPartsIsRefused);
    CPPUNIT_TEST(wronglyRefusedPartIsAcceptedOnceAnotherPartExplainsItsCrashes);
    CPPUNIT_TEST(soundAnswerForgivesEarlierCrashesAtAllRouters);
    CPPUNIT_TEST(answerBegunBeforeTheCrashForgivesNothing);
    CPPUNIT_TEST(twoPartsThatCrashServersAreBothRefused);
    CPPUNIT_TEST(repeatedRequestIsNotBlamedOnItsParts);
    CPPUNIT_TEST(wholeRequestIsMoreSpecificThanAnyOfItsParts);
    CPPUNIT_TEST(onlyTheReporterOfTheLastCrashProbesARefusedPart);
    CPPUNIT_TEST(refusalGrowsWithTheTimeOverWhichThePartCrashedServers);
    CPPUNIT_TEST(requestWithTwoRefusedPartsIsNoProbe);
    CPPUNIT_TEST(crashesOfARefusedPartDoNotCountAgainstOtherRequests);
    CPPUNIT_TEST(evidenceOfPartsThatNeverRepeatIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void partOfDifferentRequestsIsRefusedAfterTwoCrashes()
    {
        crash("e1", 100, {kDeadly});
        CPPUNIT_ASSERT(!isRefused(kDeadly, 101));
        crash("e2", 300, {kDeadly});
        CPPUNIT_ASSERT(isRefused(kDeadly, 301));
        CPPUNIT_ASSERT(!isRefused(kFirst, 301));
    }

    void simultaneousCrashesCountOnce()
    {
        for (int server = 0; server < 20; ++server)
            crash("e" + std::to_string(server), 100 + server, {kDeadly}, "r1", 90);
        CPPUNIT_ASSERT(!isRefused(kDeadly, 200));
    }

    void reportsOfSeveralRoutersAboutOneCrashCountOnce()
    {
        crash("e1", 100, {kDeadly}, "r1");
        crash("e1", 105, {kDeadly}, "r2", 102);
        CPPUNIT_ASSERT(!isRefused(kDeadly, 200));
    }

    void familiarPartIsRefusedAfterThreeCrashes()
    {
        m_attribution.onSoundAnswer({kFirst}, at(0));
        crash("e1", 100, {kFirst});
        crash("e2", 300, {kFirst});
        CPPUNIT_ASSERT(!isRefused(kFirst, 301));
        crash("e3", 500, {kFirst});
        CPPUNIT_ASSERT(isRefused(kFirst, 501));
    }

    void mostSpecificOfEquallyFrequentPartsIsRefused()
    {
        crash("e1", 100, {kFirst, kSecond, kDeadly});
        crash("e2", 300, {kFirst, kSecond, kDeadly});
        CPPUNIT_ASSERT(isRefused(kDeadly, 301));
        CPPUNIT_ASSERT(!isRefused(kFirst, 301));
        CPPUNIT_ASSERT(!isRefused(kSecond, 301));
    }

    void wronglyRefusedPartIsAcceptedOnceAnotherPartExplainsItsCrashes()
    {
        crash("e1", 100, {kFirst, kDeadly, kFollowing});
        crash("e2", 300, {kFirst, kDeadly, kFollowing});
        CPPUNIT_ASSERT(isRefused(kFollowing, 301));
        m_attribution.onSoundAnswer({kFirst}, at(350));
        crash("e3", 500, {kFirst, kDeadly});
        CPPUNIT_ASSERT(isRefused(kDeadly, 501));
        CPPUNIT_ASSERT(!isRefused(kFollowing, 501));
        CPPUNIT_ASSERT(!isRefused(kFirst, 501));
    }

    void soundAnswerForgivesEarlierCrashesAtAllRouters()
    {
        CrashAttribution other("r2");
        for (CrashAttribution *router : {&m_attribution, &other}) {
            router->recordCrash(report("e1", 100, {kFirst}, "r1", 90));
            router->recordCrash(report("e2", 300, {kFirst}, "r1", 200));
            router->update(at(301));
            CPPUNIT_ASSERT(router->remainingRefusal({kFirst}, at(301)) > Duration(0));
        }
        m_attribution.onSoundAnswer({kFirst}, at(310));
        const auto answers = m_attribution.takeSoundAnswers();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        other.onRemoteSoundAnswer(answers.front());
        for (CrashAttribution *router : {&m_attribution, &other}) {
            const auto changes = router->update(at(700));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.size());
            CPPUNIT_ASSERT(!changes.front().isRefused);
            CPPUNIT_ASSERT(router->remainingRefusal({kFirst}, at(700)) == Duration(0));
        }
    }

    void answerBegunBeforeTheCrashForgivesNothing()
    {
        crash("e1", 100, {kDeadly});
        m_attribution.onSoundAnswer({kDeadly}, at(50));
        CPPUNIT_ASSERT(m_attribution.takeSoundAnswers().empty());
    }

    void twoPartsThatCrashServersAreBothRefused()
    {
        crash("e1", 100, {kFirst, kDeadly});
        crash("e2", 200, {kFirst, kFollowing});
        crash("e3", 300, {kFirst, kDeadly});
        m_attribution.onSoundAnswer({kFirst}, at(310));
        crash("e4", 400, {kFirst, kFollowing});
        CPPUNIT_ASSERT(isRefused(kDeadly, 401));
        CPPUNIT_ASSERT(isRefused(kFollowing, 401));
        CPPUNIT_ASSERT(!isRefused(kFirst, 401));
    }

    void repeatedRequestIsNotBlamedOnItsParts()
    {
        const Fingerprint request(77);
        for (int index = 0; index < 4; ++index) {
            const TimePoint crashedAt = at(100 + std::int64_t(200) * index);
            CrashCandidate candidate{request, {{kSecond, false}}, crashedAt - milliseconds(50)};
            m_attribution.recordCrash(
                {"e" + std::to_string(index), "r1", crashedAt, {std::move(candidate)}});
            m_attribution.update(crashedAt);
        }
        CPPUNIT_ASSERT(!isRefused(kSecond, 1000));
    }

    /// At any position and with any id of the parts.
    void wholeRequestIsMoreSpecificThanAnyOfItsParts()
    {
        const Fingerprint request(77);
        const PromptPartId lowId(2);
        const PromptPartId highId(1000);
        for (std::int64_t index = 0; index < 3; ++index) {
            const TimePoint crashedAt = at(100 + 200 * index);
            CrashCandidate candidate{request,
                                     {{highId, false}, {lowId, false}, {kDeadly, false}},
                                     crashedAt - milliseconds(50)};
            m_attribution.recordCrash(
                {"e" + std::to_string(index), "r1", crashedAt, {std::move(candidate)}});
            CPPUNIT_ASSERT(m_attribution.update(crashedAt).empty());
        }
        for (const PromptPartId part : {lowId, highId, kDeadly})
            CPPUNIT_ASSERT(!isRefused(part, 1000));
        // Else the request itself would no longer count as a suspect.
        CPPUNIT_ASSERT(m_attribution.explainedCrashes().empty());
    }

    void onlyTheReporterOfTheLastCrashProbesARefusedPart()
    {
        CrashAttribution other("r2");
        for (CrashAttribution *router : {&m_attribution, &other}) {
            router->recordCrash(report("e1", 100, {kDeadly}, "r2", 90));
            router->recordCrash(report("e2", 300, {kDeadly}, "r1", 200));
            router->update(at(301));
        }
        const TimePoint due = at(300) + CrashAttribution::kMinRefusal;
        CPPUNIT_ASSERT(!m_attribution.tryProbe({kDeadly}, due - milliseconds(1)));
        CPPUNIT_ASSERT(!other.tryProbe({kDeadly}, due));
        CPPUNIT_ASSERT(m_attribution.tryProbe({kDeadly}, due));
        CPPUNIT_ASSERT(!m_attribution.tryProbe({kDeadly}, due + milliseconds(1)));
        CPPUNIT_ASSERT(m_attribution.remainingRefusal({kDeadly}, due) > Duration(0));
        CPPUNIT_ASSERT(
            m_attribution.tryProbe({kDeadly}, due + CrashAttribution::kMinProbeInterval));
    }

    void refusalGrowsWithTheTimeOverWhichThePartCrashedServers()
    {
        crash("e1", 100, {kDeadly});
        crash("e2", 300, {kDeadly});
        crash("e3", 60000, {kDeadly});
        const Duration refusal = m_attribution.remainingRefusal({kDeadly}, at(60000));
        CPPUNIT_ASSERT_EQUAL(Duration(milliseconds(59900) * 3).count(), refusal.count());
    }

    void requestWithTwoRefusedPartsIsNoProbe()
    {
        crash("e1", 100, {kDeadly});
        crash("e2", 200, {kDeadly});
        crash("e3", 300, {kFollowing});
        crash("e4", 400, {kFollowing});
        const TimePoint due = at(400) + CrashAttribution::kMinRefusal;
        CPPUNIT_ASSERT(!m_attribution.tryProbe({kDeadly, kFollowing}, due));
        CPPUNIT_ASSERT(m_attribution.tryProbe({kDeadly}, due));
    }

    void crashesOfARefusedPartDoNotCountAgainstOtherRequests()
    {
        const Fingerprint beside(5);
        CrashGuard guard;
        crash("e1", 100, {kDeadly});
        crash("e2", 300, {kDeadly});
        guard.recordCrash(beside, "e1", at(100));
        guard.recordCrash(beside, "e2", at(300));
        CPPUNIT_ASSERT(guard.remainingRefusal(beside, at(301)) > Duration(0));
        guard.setExplainedCrashes(m_attribution.explainedCrashes());
        CPPUNIT_ASSERT(guard.remainingRefusal(beside, at(301)) == Duration(0));
        guard.recordCrash(beside, "e1", at(302));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), guard.crashCount(beside));
    }

    void evidenceOfPartsThatNeverRepeatIsBounded()
    {
        std::uint64_t next = 1000;
        for (int index = 0; index < 400; ++index) {
            CrashReport crash{"e" + std::to_string(index), "r1", at(std::int64_t(index) * 10), {}};
            for (int request = 0; request < 100; ++request) {
                CrashCandidate candidate{Fingerprint(++next), {}, at(index * 10 - 1)};
                for (int part = 0; part < 20; ++part)
                    candidate.parts.push_back({PromptPartId(++next), false});
                crash.candidates.push_back(std::move(candidate));
            }
            m_attribution.recordCrash(crash);
        }
        CPPUNIT_ASSERT(m_attribution.crashCount() < 40);
        crash("f1", 5000, {kDeadly});
        crash("f2", 5200, {kDeadly});
        CPPUNIT_ASSERT(isRefused(kDeadly, 5201));
    }

private:
    /// A report of one request, unlike all earlier ones; sent 50 ms before the crash by default.
    CrashReport report(const std::string &server, std::int64_t crashedAtMs,
                       const std::vector<PromptPartId> &parts, const std::string &reporter,
                       std::int64_t sentAtMs)
    {
        CrashCandidate candidate{Fingerprint(++m_lastRequest), {}, at(sentAtMs)};
        for (const PromptPartId part : parts)
            candidate.parts.push_back({part, m_attribution.isFamiliar(part)});
        return {server, reporter, at(crashedAtMs), {std::move(candidate)}};
    }

    void crash(const std::string &server, std::int64_t crashedAtMs,
               const std::vector<PromptPartId> &parts, const std::string &reporter = "r1",
               std::optional<std::int64_t> sentAtMs = std::nullopt)
    {
        m_attribution.recordCrash(
            report(server, crashedAtMs, parts, reporter, sentAtMs.value_or(crashedAtMs - 50)));
        m_attribution.update(at(crashedAtMs));
    }

    bool isRefused(PromptPartId part, std::int64_t ms) const
    {
        return m_attribution.remainingRefusal({part}, at(ms)) > Duration(0);
    }

    CrashAttribution m_attribution{"r1"};
    std::uint64_t m_lastRequest = 100;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashAttributionTest);
