// How long after its append a change is in force on every router, in scripted time. Arguments:
// seed.
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include <nlohmann/json.hpp>

#include "support/changes.h"
#include "support/fakefleet.h"

using namespace comfrey;
using namespace comfrey::test;

namespace {

constexpr Duration kWarmUp = milliseconds(10000);
constexpr Duration kStep = milliseconds(1);
constexpr Duration kGiveUp = milliseconds(20000);
constexpr int kZones = 8;
constexpr int kTrials = 10;
constexpr int kBurst = 100;

std::uint64_t revisionOf(const FakeFleet &fleet, const std::string &router)
{
    return nlohmann::json::parse(fleet.dump(router))["config"]["revision"].get<std::uint64_t>();
}

void build(FakeFleet &fleet, int routers)
{
    fleet.log().faults().delay = milliseconds(5);
    fleet.net().faults().sameZone = milliseconds(1);
    fleet.net().faults().otherZone = milliseconds(1);
    fleet.net().faults().jitter = Duration(0);
    for (int i = 0; i < routers; ++i)
        fleet.addRouter("router-" + std::to_string(i), "zone-" + std::to_string(i % kZones));
    fleet.publish(change("first", {plan("customer", "gold")}, {entitlement("gold", {"m1"})}));
    fleet.runFor(kWarmUp);
}

/// Time until the share of the routers has put one more revision in force.
Duration untilInForce(FakeFleet &fleet, std::uint64_t before, std::uint64_t wanted)
{
    const TimePoint start = fleet.queue().now();
    while (fleet.logLines().at("config-in-force") < before + wanted
           && fleet.queue().now() < start + kGiveUp)
        fleet.runFor(kStep);
    return fleet.queue().now() - start;
}

double inMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

void measureSingle(FakeFleet &fleet, std::uint64_t routers)
{
    Duration worstHalf{};
    Duration worstMost{};
    Duration worstAll{};
    Duration sumAll{};
    for (int trial = 0; trial < kTrials; ++trial) {
        fleet.runFor(milliseconds(500 + 37 * trial));
        const std::uint64_t before = fleet.logLines().at("config-in-force");
        fleet.publish(change("single-" + std::to_string(trial),
                             {plan("single-" + std::to_string(trial), "gold")}));
        Duration taken = untilInForce(fleet, before, routers / 2);
        worstHalf = std::max(worstHalf, taken);
        taken += untilInForce(fleet, before, routers * 99 / 100);
        worstMost = std::max(worstMost, taken);
        taken += untilInForce(fleet, before, routers);
        worstAll = std::max(worstAll, taken);
        sumAll += taken;
    }
    std::printf("%7llu  one change, worst of %d: half %.0f ms, 99%% %.0f ms, all %.0f ms; mean of "
                "all %.0f ms\n",
                static_cast<unsigned long long>(routers), kTrials, inMilliseconds(worstHalf),
                inMilliseconds(worstMost), inMilliseconds(worstAll),
                inMilliseconds(sumAll) / kTrials);
}

/// Half of the burst touches one entry that all were based on, so all but one of those lose.
void publishBurst(FakeFleet &fleet)
{
    for (int i = 0; i < kBurst; ++i) {
        const std::string id = "burst-" + std::to_string(i);
        record::ChangeT racing = change(id, {plan("customer", "gold", 2 + i)});
        basePlanOn(racing, "customer", 1);
        fleet.publish(i % 2 == 0 ? racing : change(id, {plan(id, "gold")}));
    }
}

void measureBurst(FakeFleet &fleet)
{
    const auto traffic = fleet.net().traffic();
    const std::uint64_t before = revisionOf(fleet, "router-0");
    const std::uint64_t wanted = before + kBurst / 2 + 1;
    publishBurst(fleet);
    const TimePoint start = fleet.queue().now();
    std::vector<std::string> behind = fleet.routerIds();
    while (!behind.empty() && fleet.queue().now() < start + kGiveUp) {
        fleet.runFor(milliseconds(10));
        std::erase_if(behind, [&fleet, wanted](const std::string &router) {
            return revisionOf(fleet, router) == wanted;
        });
    }
    std::uint64_t most = 0;
    for (const auto &[router, count] : fleet.net().traffic())
        most = std::max(most, count.sentBytes - traffic.at(router).sentBytes);
    std::printf("%7zu  burst of %d racing changes: %d accepted, in force on all after %.0f ms, %zu "
                "routers behind; most sent by one router %llu bytes\n",
                fleet.routerIds().size(), kBurst, kBurst / 2 + 1,
                inMilliseconds(fleet.queue().now() - start), behind.size(),
                static_cast<unsigned long long>(most));
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("log answers in 5 ms, network 1 ms one way; seed %llu\n",
                static_cast<unsigned long long>(seed));
    for (const int routers : {7, 50, 410}) {
        FakeFleet fleet(seed);
        build(fleet, routers);
        measureSingle(fleet, static_cast<std::uint64_t>(routers));
        measureBurst(fleet);
    }
}
