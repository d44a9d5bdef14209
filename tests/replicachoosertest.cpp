// Tests the choice of engines by cached prompts and load, and the choice of servers of plain
// services of which one is slow. Loads are simulated over scripted time; the simulated routers
// exchange request counts as late as they do in a fleet.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

#include "dispatch/replicachooser.h"

using namespace comfrey;

namespace {

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(ms));
}

std::vector<std::shared_ptr<Replica>> replicas(std::size_t count, std::uint32_t slots)
{
    std::vector<std::shared_ptr<Replica>> all;
    for (std::size_t index = 0; index < count; ++index) {
        auto replica = std::make_shared<Replica>();
        replica->record.id = BackendId("e" + std::to_string(index));
        replica->record.startedAtMs = 1;
        replica->incarnation = replica->record.id.value();
        replica->load.setSlots(slots);
        all.push_back(std::move(replica));
    }
    return all;
}

RequestFacts chat(std::uint64_t sharedPart, std::uint64_t own)
{
    RequestFacts request;
    request.prompt = {{1, 512}, {sharedPart, 10000}, {own, 1300}};
    return request;
}

} // namespace

class ReplicaChooserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaChooserTest);
    CPPUNIT_TEST(routersWithEqualListsChooseTheSameEngine);
    CPPUNIT_TEST(overloadedEngineIsReplacedByTheNextInRankAndServesAsPromptSource);
    CPPUNIT_TEST(newEngineCopiesPromptsFromThePreviousHolder);
    CPPUNIT_TEST(leavingEngineIsStillAPromptSource);
    CPPUNIT_TEST(boundCountsTheIdleEnginesOfAnEvacuatedZone);
    CPPUNIT_TEST(promptHasTwoEnginesWhileAZoneIsEvacuated);
    CPPUNIT_TEST(unreachableEngineIsNeitherChosenNorPromptSource);
    CPPUNIT_TEST(hotPromptStaysWithinTheFleetLoadBound);
    CPPUNIT_TEST(slowServerOfAPlainServiceGetsFewerRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void routersWithEqualListsChooseTheSameEngine()
    {
        ChoiceInput one{replicas(18, 32), {}, {}, 1};
        ChoiceInput other{replicas(18, 32), {}, {}, 2};
        std::set<std::string> used;
        for (std::uint64_t part = 100; part < 200; ++part) {
            const auto first = m_promptChooser.choose(chat(part, 1), one, at(0)).replica->record.id;
            CPPUNIT_ASSERT(
                first == m_promptChooser.choose(chat(part, 2), other, at(0)).replica->record.id);
            used.insert(first.value());
        }
        CPPUNIT_ASSERT(used.size() > 14);
    }

    void overloadedEngineIsReplacedByTheNextInRankAndServesAsPromptSource()
    {
        ChoiceInput input{replicas(6, 32), {}, {}, 1};
        input.alive = input.replicas;
        const auto usual = m_promptChooser.choose(chat(5, 1), input, at(0)).replica;
        usual->load.setRemoteInFlight(20, at(0));
        const Choice next = m_promptChooser.choose(chat(5, 1), input, at(0));
        CPPUNIT_ASSERT(next.replica != usual);
        CPPUNIT_ASSERT(next.promptSource == usual);
    }

    void newEngineCopiesPromptsFromThePreviousHolder()
    {
        ChoiceInput input{replicas(6, 32), {}, {}, 1};
        input.alive = input.replicas;
        for (std::uint64_t part = 0; part < 50; ++part) {
            const auto before = m_promptChooser.choose(chat(part, 1), input, at(0)).replica;
            ChoiceInput grown = input;
            auto added = replicas(1, 32).front();
            added->record.id = BackendId("new");
            added->record.startedAtMs = 2;
            grown.replicas.push_back(added);
            grown.alive = grown.replicas;
            const Choice after = m_promptChooser.choose(chat(part, 1), grown, at(0));
            CPPUNIT_ASSERT(after.replica == before || after.replica == added);
            if (after.replica == added)
                CPPUNIT_ASSERT(after.promptSource == before);
        }
    }

    void leavingEngineIsStillAPromptSource()
    {
        ChoiceInput input{replicas(6, 32), {}, {}, 1};
        input.alive = input.replicas;
        const auto leaving = m_promptChooser.choose(chat(5, 1), input, at(0)).replica;
        std::erase(input.replicas, leaving);
        const Choice next = m_promptChooser.choose(chat(5, 1), input, at(0));
        CPPUNIT_ASSERT(next.replica != leaving);
        CPPUNIT_ASSERT(next.promptSource == leaving);
    }

    /// Bench: tsetseg-swarmline-now-grown hunt-b6be-3, LIMIT. Six engines of nine accept new work
    /// and hold 10 requests each; the other three are idle. So the fleet's limit is 2 x 6.7 + 3
    /// requests, which a bound by the mean of the six engines would exceed.
    void boundCountsTheIdleEnginesOfAnEvacuatedZone()
    {
        ChoiceInput input{replicas(9, 48), {}, {}, 1};
        input.alive = input.replicas;
        input.replicas.resize(6);
        for (const auto &replica : input.replicas) {
            for (int request = 0; request < 10; ++request)
                replica->load.onRequestSent();
        }
        const auto first = m_promptChooser.choose(chat(5, 1), input, at(0)).replica;
        for (int request = 10; request < 16; ++request)
            first->load.onRequestSent();
        const Choice next = m_promptChooser.choose(chat(5, 1), input, at(0));
        CPPUNIT_ASSERT(next.replica != first);
        CPPUNIT_ASSERT(next.bound > 10);
    }

    /// Bench: tsetseg-swarmline-now-grown hunt-b6be-3. With one engine per prompt, requests that
    /// arrive together overload it while the engines of an evacuated zone are idle.
    void promptHasTwoEnginesWhileAZoneIsEvacuated()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, enginesForPrompt(true));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, enginesForPrompt(false));
    }

    void unreachableEngineIsNeitherChosenNorPromptSource()
    {
        ChoiceInput input{replicas(6, 32), {}, {}, 1};
        input.alive = input.replicas;
        const auto dead = m_promptChooser.choose(chat(5, 1), input, at(0)).replica;
        dead->health.onSent(at(0));
        dead->health.onUnreachable(at(0));
        const Choice next = m_promptChooser.choose(chat(5, 1), input, at(100));
        CPPUNIT_ASSERT(next.replica != dead);
        CPPUNIT_ASSERT(next.promptSource != dead);
    }

    /// Load: 9 routers, 18 engines and 60 chats a second of 2 s each, a third of them with one
    /// prompt. The routers exchange their request counts every 300 ms. Limit of the fleet: at most
    /// 3 in 100 requests reach an engine that holds more than twice the mean plus 3 requests.
    /// Without the exchange the same choices exceed it.
    void hotPromptStaysWithinTheFleetLoadBound()
    {
        CPPUNIT_ASSERT(overloadedShare(true) <= 0.03);
        CPPUNIT_ASSERT(overloadedShare(false) > 0.03);
    }

    /// Load: three servers, of which one answers four times as slowly as the others.
    void slowServerOfAPlainServiceGetsFewerRequests()
    {
        ChoiceInput input{replicas(3, 6), {}, {}, 1};
        const Duration waits[] = {milliseconds(30), milliseconds(120), milliseconds(30)};
        std::mt19937_64 random(3);
        std::map<std::string, int> counts;
        for (int call = 0; call < 600; ++call) {
            input.tieBreak = random();
            const auto chosen = m_waitChooser.choose({}, input, at(call)).replica;
            ++counts[chosen->record.id.value()];
            const auto index = static_cast<std::size_t>(chosen->record.id.value().back() - '0');
            chosen->health.onSent(at(call));
            chosen->health.onAnswer(waits[index], at(call));
        }
        CPPUNIT_ASSERT(counts["e1"] * 4 < counts["e0"]);
        CPPUNIT_ASSERT(counts["e0"] > 200 && counts["e2"] > 200);
    }

private:
    /// Number of engines to which 64 requests for one prompt go. Of nine engines with 48 slots, six
    /// hold 10 requests each and accept work; the other three accept none.
    std::size_t enginesForPrompt(bool isZoneEvacuated)
    {
        ChoiceInput input{replicas(9, 48), {}, {}, 1};
        input.alive = input.replicas;
        input.replicas.resize(6);
        input.isZoneEvacuated = isZoneEvacuated;
        for (const auto &replica : input.replicas) {
            for (int request = 0; request < 10; ++request)
                replica->load.onRequestSent();
        }
        std::set<std::string> used;
        for (input.tieBreak = 0; input.tieBreak < 64; ++input.tieBreak)
            used.insert(m_promptChooser.choose(chat(5, 1), input, at(0)).replica->incarnation);
        return used.size();
    }

    /// Share of the requests that reach an engine above the fleet's limit.
    double overloadedShare(bool countsAreShared) const
    {
        constexpr std::size_t routers = 9;
        constexpr std::size_t engines = 18;
        std::mt19937_64 random(11);
        std::vector<std::vector<std::shared_ptr<Replica>>> views;
        for (std::size_t router = 0; router < routers; ++router)
            views.push_back(replicas(engines, 32));
        struct Chat
        {
            std::int64_t end;
            std::size_t router;
            std::size_t engine;
        };
        std::vector<Chat> running;
        std::vector<std::uint32_t> inFlight(engines, 0);
        int over = 0;
        int sent = 0;
        for (std::int64_t ms = 0; ms < 30000; ++ms) {
            std::erase_if(running, [&](const Chat &ended) {
                if (ended.end > ms)
                    return false;
                --inFlight[ended.engine];
                views[ended.router][ended.engine]->load.onRequestEnded();
                return true;
            });
            if (countsAreShared && ms % 300 == 0)
                exchangeRequestCounts(views, ms);
            if (random() % 1000 >= 60)
                continue;
            const std::size_t router = random() % routers;
            const std::uint64_t part = random() % 3 == 0 ? 7 : 100 + random() % 79;
            ChoiceInput input{views[router], views[router], {}, random()};
            const auto chosen = m_promptChooser.choose(chat(part, random()), input, at(ms)).replica;
            const auto engine =
                static_cast<std::size_t>(std::stoi(chosen->record.id.value().substr(1)));
            const double mean = static_cast<double>(running.size()) / engines;
            if (ms > 3000) {
                ++sent;
                over += inFlight[engine] > 2 * mean + 3 ? 1 : 0;
            }
            chosen->load.onRequestSent();
            ++inFlight[engine];
            running.push_back({ms + 2000, router, engine});
        }
        return static_cast<double>(over) / sent;
    }

    static void
    exchangeRequestCounts(const std::vector<std::vector<std::shared_ptr<Replica>>> &views,
                          std::int64_t ms)
    {
        for (std::size_t engine = 0; engine < views.front().size(); ++engine) {
            std::uint32_t total = 0;
            for (const auto &view : views)
                total += view[engine]->load.localInFlight();
            for (const auto &view : views)
                view[engine]->load.setRemoteInFlight(total - view[engine]->load.localInFlight(),
                                                     at(ms));
        }
    }

    PromptChooser m_promptChooser;
    ShortestWaitChooser m_waitChooser;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaChooserTest);
