// Plays loads at engines that have too little room, over scripted time: for six seconds 2 and 2.6
// times the usual, one organisation at 7.5 times its usual, and a quarter of the engines down.
#include <cppunit/extensions/HelperMacros.h>

#include "support/overloadsimulation.h"

using namespace comfrey;

namespace {

constexpr double kMinUrgentOnTime = 0.95;
constexpr double kMaxWastedWork = 0.03;
constexpr double kMinOrganisationShare = 0.25;
constexpr Duration kMaxRefusalTime = milliseconds(100);
constexpr double kWorkThatFits = 0.9; ///< Of the slots, by the most urgent kind alone.
constexpr std::uint64_t kSeeds = 3;

void setTimes(OverloadLoad &load)
{
    load.placement.hotFromOffset = milliseconds(4000);
    load.placement.hotUntilOffset = milliseconds(10000);
    load.placement.duration = milliseconds(11000);
    load.placement.pollsAfterLoad = milliseconds(5000);
}

/// 142 routers before 112 engines of 16 slots: short questions first, long summaries, tags.
OverloadLoad summaries(double factor)
{
    OverloadLoad load;
    load.placement.routers = 142;
    load.placement.zones = 3;
    load.placement.engines = 112;
    load.placement.slots = 16;
    load.placement.zonePollTime = milliseconds(330);
    load.placement.kinds = {{173, 260, 699, 130, 288, milliseconds(500)},
                            {146, 220, 10512, 1300, 378, milliseconds(800)},
                            {263, 390, 2041, 360, 27, milliseconds(500)}};
    load.placement.hotFactor = factor;
    setTimes(load);
    load.callers = {{0, milliseconds(10000)}, {1, milliseconds(12000)}, {2, milliseconds(3000)}};
    return load;
}

/// 295 routers before 192 engines of 12 slots; the most urgent kind needs the most work.
OverloadLoad drawings(double factor)
{
    OverloadLoad load;
    load.placement.hotFactor = factor;
    setTimes(load);
    load.readTokensPerMs = 157;
    load.callers = {{0, milliseconds(10000)}, {1, milliseconds(10000)}, {2, milliseconds(2500)}};
    return load;
}

OverloadResult play(OverloadLoad load, std::uint64_t seed)
{
    load.placement.seed = seed;
    const PromptChooser chooser;
    return OverloadSimulation(load, chooser).runOverload();
}

} // namespace

class EngineOverloadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineOverloadTest);
    CPPUNIT_TEST(twiceTheUsualServesTheUrgentOnTime);
    CPPUNIT_TEST(manyTimesTheUsualServesTheUrgentOnTime);
    CPPUNIT_TEST(urgentLongWorkIsServedBeforeTheRest);
    CPPUNIT_TEST(loadWithoutAdmissionMissesTheGoals);
    CPPUNIT_TEST(usualLoadIsSentAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void twiceTheUsualServesTheUrgentOnTime() { checkGoals(summaries(2)); }
    void manyTimesTheUsualServesTheUrgentOnTime() { checkGoals(summaries(2.6)); }
    void urgentLongWorkIsServedBeforeTheRest() { checkGoals(drawings(2)); }

    /// Shows that the load is hard enough: as long as every request is sent on at once.
    void loadWithoutAdmissionMissesTheGoals()
    {
        OverloadLoad load = summaries(2.6);
        load.hasAdmission = false;
        const OverloadResult result = play(load, 1);
        CPPUNIT_ASSERT_MESSAGE(result.summary(), result.wastedWorkShare > 2 * kMaxWastedWork);
    }

    void usualLoadIsSentAtOnce()
    {
        OverloadLoad load = summaries(1);
        load.downShare = 0;
        load.hotOrganisationFactor = 1;
        const OverloadResult result = play(load, 1);
        CPPUNIT_ASSERT_MESSAGE(result.summary(),
                               result.all().refused == 0 && result.longestRefusal == Duration(0));
    }

private:
    static void checkGoals(const OverloadLoad &load)
    {
        std::string failures;
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            const OverloadResult result = play(load, seed);
            const OverloadCounts &urgent = result.kinds.front();
            std::string missed;
            if (result.urgentWorkShare <= kWorkThatFits && urgent.onTimeShare() < kMinUrgentOnTime)
                missed += " urgent late,";
            for (std::size_t kind = 1; kind < result.kinds.size(); ++kind) {
                if (result.kinds[kind].servedShare() > result.kinds[kind - 1].servedShare() + 0.05)
                    missed += " served worse than the less urgent,";
            }
            if (result.longestRefusal > kMaxRefusalTime)
                missed += " refused late,";
            if (result.worstOrganisation() < kMinOrganisationShare)
                missed += " an organisation starved,";
            if (result.wastedWorkShare >= kMaxWastedWork)
                missed += " work for nobody,";
            if (result.refusedWithRoom > 0 || result.calmRefused > 0)
                missed += " refused with room,";
            if (!missed.empty())
                failures +=
                    "seed " + std::to_string(seed) + ":" + missed + " " + result.summary() + "\n";
        }
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineOverloadTest);
