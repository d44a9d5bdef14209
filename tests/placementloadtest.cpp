// Simulates loads on engines at the size of the users' large deployment over scripted time: 295
// routers that learn of each other's requests about a second late. The limit is the users' rule: of
// the requests of any five seconds, at most 3 in 100 reach an engine that holds more than twice the
// mean plus 3 requests.
#include <cppunit/extensions/HelperMacros.h>

#include "support/placementsimulation.h"

using namespace comfrey;

namespace {

constexpr double kMaxOverloadedShare = 0.03;

PlacementResult simulate(const PlacementLoad &load)
{
    const PromptChooser chooser;
    return PlacementSimulation(load, chooser).run();
}

} // namespace

class PlacementLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementLoadTest);
    CPPUNIT_TEST(hotPromptAtManyRoutersStaysWithinTheLoadBound);
    CPPUNIT_TEST(hotPromptWithoutSharedCountsExceedsTheLoadBound);
    CPPUNIT_TEST(loadAboveAllSlotsStaysWithinTheLoadBound);
    CPPUNIT_TEST(hotPromptChatsGetTheirFirstTokenOnTime);
    CPPUNIT_TEST(fewRoutersStayWithinTheLoadBound);
    CPPUNIT_TEST(evacuatedZoneStaysWithinTheLoadBound);
    CPPUNIT_TEST_SUITE_END();

public:
    /// For eight seconds, 28 in 100 of the chats with the longest prompts share one prompt.
    void hotPromptAtManyRoutersStaysWithinTheLoadBound()
    {
        CPPUNIT_ASSERT(simulate(hotPrompt()).worstOverloadedShare <= kMaxOverloadedShare);
    }

    /// Shows that the load is hard enough: if routers do not exchange the request counts of
    /// prompts, the same choices exceed the limit.
    void hotPromptWithoutSharedCountsExceedsTheLoadBound()
    {
        PlacementLoad load = hotPrompt();
        load.promptCountsAreShared = false;
        CPPUNIT_ASSERT(simulate(load).worstOverloadedShare > kMaxOverloadedShare);
    }

    /// Bench: large, mix --seed 978993459717. A busy organisation sends more requests than the
    /// engines have slots. All routers sent theirs to the few engines that seemed to have free
    /// slots.
    void loadAboveAllSlotsStaysWithinTheLoadBound()
    {
        PlacementLoad load;
        load.hotFactor = 2.8;
        CPPUNIT_ASSERT(simulate(load).worstOverloadedShare <= kMaxOverloadedShare);
    }

    void hotPromptChatsGetTheirFirstTokenOnTime()
    {
        CPPUNIT_ASSERT(simulate(hotPrompt()).hotOnTimeShare >= 0.95);
    }

    void fewRoutersStayWithinTheLoadBound()
    {
        PlacementLoad load = hotPrompt();
        load.routers = 9;
        load.zones = 3;
        load.engines = 18;
        load.slots = 32;
        load.zonePollTime = milliseconds(150);
        for (ChatKind &kind : load.kinds) {
            kind.perSecond /= 10;
            kind.prompts = 1 + kind.prompts / 10;
        }
        CPPUNIT_ASSERT(simulate(load).worstOverloadedShare <= kMaxOverloadedShare);
    }

    /// Bench: tsetseg-swarmline-now-grown hunt-b6be-3. One of three zones is evacuated, and its
    /// idle engines lower the mean that defines the limit.
    void evacuatedZoneStaysWithinTheLoadBound()
    {
        PlacementLoad load;
        load.routers = 78;
        load.zones = 3;
        load.engines = 60;
        load.slots = 48;
        load.zonePollTime = milliseconds(260);
        load.kinds = {{127, 190, 10512, 1300, 378, milliseconds(500)},
                      {148, 220, 699, 130, 288, milliseconds(250)},
                      {206, 310, 2041, 360, 27, milliseconds(300)}};
        load.evacuatedShare = 1.0 / 3;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            load.seed = seed;
            const double over = simulate(load).worstOverloadedShare;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(over), over <= kMaxOverloadedShare);
        }
    }

private:
    static PlacementLoad hotPrompt()
    {
        PlacementLoad load;
        load.hotPromptShare = 0.28;
        return load;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementLoadTest);
