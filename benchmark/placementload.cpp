// Measures the placement of chats on engines by many routers. For each named load it prints the
// mean load of an engine, the share of chats that reach overloaded engines in the worst five
// seconds, the shares with the first token on time, and the share whose prompt is read.
//
// Usage: bench_placementload [SEEDS]
#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include "support/placementsimulation.h"

using namespace comfrey;

namespace {

std::vector<std::pair<std::string, PlacementLoad>> loads()
{
    const PlacementLoad usual;
    PlacementLoad hotPrompt;
    hotPrompt.hotPromptShare = 0.28;
    PlacementLoad hotOrganisation;
    hotOrganisation.hotFactor = 1.6;
    hotOrganisation.hotPrompts = 20;
    PlacementLoad crowd;
    crowd.hotFactor = 2.2;
    PlacementLoad small = hotPrompt;
    small.routers = 6;
    small.zones = 3;
    small.engines = 18;
    small.slots = 64;
    small.zonePollTime = milliseconds(150);
    small.kinds = {
        {27.8, 80, 10512, 1300, 385, milliseconds(600)},
        {76.6, 120, 699, 130, 294, milliseconds(300)},
        {50.2, 120, 2041, 360, 21, milliseconds(400)},
    };
    return {{"usual", usual},
            {"hot prompt", hotPrompt},
            {"hot organisation", hotOrganisation},
            {"more than the slots", crowd},
            {"6 routers, hot prompt", small}};
}

} // namespace

int main(int count, char **arguments)
{
    const std::uint64_t seeds = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 5;
    std::printf("%-22s %6s %10s %8s %8s %8s\n", "load", "mean", "over limit", "on time", "hot",
                "read");
    for (auto &[name, load] : loads()) {
        PlacementResult sum;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            load.seed = seed;
            const PromptChooser chooser;
            const PlacementResult result = PlacementSimulation(load, chooser).run();
            sum.worstOverloadedShare =
                std::max(sum.worstOverloadedShare, result.worstOverloadedShare);
            sum.onTimeShare += result.onTimeShare / static_cast<double>(seeds);
            sum.hotOnTimeShare += result.hotOnTimeShare / static_cast<double>(seeds);
            sum.promptReadShare += result.promptReadShare / static_cast<double>(seeds);
            sum.meanEngineLoad += result.meanEngineLoad / static_cast<double>(seeds);
        }
        std::printf("%-22s %6.1f %10.4f %8.3f %8.3f %8.3f\n", name.c_str(), sum.meanEngineLoad,
                    sum.worstOverloadedShare, sum.onTimeShare, sum.hotOnTimeShare,
                    sum.promptReadShare);
    }
    return 0;
}
