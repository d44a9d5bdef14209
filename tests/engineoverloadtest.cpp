// Plays loads at engines that have too little room, over scripted time: for six seconds 2 and 2.6
// times the usual, one organisation at 7.5 times its usual, and a quarter of the engines down.
#include <cppunit/extensions/HelperMacros.h>

#include "support/overloadsimulation.h"

using namespace comfrey;

namespace {

constexpr double kMaxWastedWork = 0.03;

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
    CPPUNIT_TEST(loadWithoutAdmissionMissesTheGoals);
    CPPUNIT_TEST(usualLoadIsSentAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineOverloadTest);
