// Several hundred facades in one process that exchange their real encoded messages through memory:
// bytes and messages a router and second, appends, processor time and memory, at growing sizes.
//
// bench_fleet [SEED [ROUTERS...]]. Bytes and counts are exact under the seed; processor time and
// memory are this machine's.
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "support/changes.h"
#include "support/fakefleet.h"

using namespace comfrey;
using namespace comfrey::test;

namespace {

constexpr int kWarmUpSeconds = 3;
constexpr int kMeasuredSeconds = 3;
constexpr int kZones = 8;
constexpr int kChatsPerRouterSecond = 16;

std::string zoneOf(int i)
{
    return "z" + std::to_string(i % kZones);
}

void build(FakeFleet &fleet, int routers)
{
    fleet.publish(change("first", {plan("c1", "gold"), plan("c2", "gold")},
                         {entitlement("gold", {"m1"}, {"dispatch"})}));
    for (int i = 0; i < 2 * routers; ++i) {
        EngineOptions options;
        options.id = "e" + std::to_string(i);
        options.zone = zoneOf(i);
        options.slots = 16;
        fleet.addEngine(options);
    }
    for (int i = 0; i < 4; ++i) {
        ServiceOptions options;
        options.id = "s" + std::to_string(i);
        options.zone = zoneOf(i);
        fleet.addService(options);
    }
    for (int i = 0; i < routers; ++i)
        fleet.addRouter("r" + std::to_string(i), zoneOf(i));
    fleet.forgetEndedRequests();
}

void scheduleLoad(FakeFleet &fleet, int routers)
{
    const Duration interval = milliseconds(1000) / kChatsPerRouterSecond;
    const int perRouter = (kWarmUpSeconds + kMeasuredSeconds) * kChatsPerRouterSecond;
    for (int router = 0; router < routers; ++router) {
        for (int i = 0; i < perRouter; ++i) {
            const TimePoint due = fleet.queue().now() + interval * i + interval * router / routers;
            fleet.queue().at(due, [&fleet, router, i] {
                const std::string chat = std::to_string(router) + "-" + std::to_string(i);
                fleet.submit("r" + std::to_string(router), chatRequest("c1", chat));
            });
        }
    }
}

struct Sums
{
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t mostSent = 0;
    std::uint64_t mostReceived = 0;
    std::uint64_t appends = 0;
    std::uint64_t events = 0;
    double processorSeconds = 0;
    std::map<std::string, std::uint64_t> bytesByKind;
};

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Highest of a router's bytes since `before`.
template<typename Field>
std::uint64_t mostSince(const FakeNet &net, const std::map<std::string, TrafficCounts> &before,
                        Field field)
{
    std::uint64_t most = 0;
    for (const auto &[id, count] : net.traffic()) {
        const auto earlier = before.find(id);
        const std::uint64_t start = earlier == before.end() ? 0 : earlier->second.*field;
        most = std::max(most, count.*field - start);
    }
    return most;
}

Sums totals(FakeFleet &fleet)
{
    Sums sums;
    for (const auto &[id, count] : fleet.net().traffic()) {
        sums.sentMessages += count.sent;
        sums.sentBytes += count.sentBytes;
    }
    for (const auto &[stream, count] : fleet.log().counts())
        sums.appends += count.appends;
    sums.events = fleet.eventsHandled();
    sums.processorSeconds = processorSeconds();
    for (const std::string &id : fleet.routerIds()) {
        const nlohmann::json dump = nlohmann::json::parse(fleet.dump(id));
        const nlohmann::json kinds = dump["messages"].value("kinds", nlohmann::json::object());
        for (const auto &[kind, count] : kinds.items())
            sums.bytesByKind[kind] += count["sentBytes"].get<std::uint64_t>();
    }
    return sums;
}

void measure(std::uint64_t seed, int routers)
{
    FakeFleet fleet(seed);
    build(fleet, routers);
    scheduleLoad(fleet, routers);
    fleet.runFor(milliseconds(1000) * kWarmUpSeconds);
    const Sums before = totals(fleet);
    const auto trafficBefore = fleet.net().traffic();
    const double start = processorSeconds();
    fleet.runFor(milliseconds(1000) * kMeasuredSeconds);
    const double spent = processorSeconds() - start;
    const Sums after = totals(fleet);
    const double share = 1.0 / routers / kMeasuredSeconds;
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::printf(
        "| %d | %.1f | %.0f | %.0f | %.0f | %.0f | %.2f | %.1f | %.2f |\n", routers,
        static_cast<double>(after.sentMessages - before.sentMessages) * share,
        static_cast<double>(after.sentBytes - before.sentBytes) * share,
        static_cast<double>(mostSince(fleet.net(), trafficBefore, &TrafficCounts::sentBytes))
            / kMeasuredSeconds,
        static_cast<double>(mostSince(fleet.net(), trafficBefore, &TrafficCounts::receivedBytes))
            / kMeasuredSeconds,
        static_cast<double>(after.events - before.events) * share,
        static_cast<double>(after.appends - before.appends) / kMeasuredSeconds, 100 * spent * share,
        static_cast<double>(usage.ru_maxrss) / 1024 / routers);
    for (const auto &[kind, bytes] : after.bytesByKind) {
        const auto earlier = before.bytesByKind.find(kind);
        const std::uint64_t old = earlier == before.bytesByKind.end() ? 0 : earlier->second;
        if (bytes > old)
            std::printf("  %d routers, %s: %.0f bytes/s a router without overhead\n", routers,
                        kind.c_str(), static_cast<double>(bytes - old) * share);
    }
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::vector<int> sizes;
    for (int i = 2; i < argc; ++i)
        sizes.push_back(static_cast<int>(std::strtol(argv[i], nullptr, 10)));
    if (sizes.empty())
        sizes = {7, 50, 200, 410};
    std::printf("seed %llu; %d chats/s a router, 2 engines a router, %d zones; %d s measured after "
                "%d s\n",
                static_cast<unsigned long long>(seed), kChatsPerRouterSecond, kZones,
                kMeasuredSeconds, kWarmUpSeconds);
    std::printf("| routers | messages/s sent a router | bytes/s sent a router with %zu a message | "
                "most sent by one | most received by one | events/s a router | appends/s, all | "
                "%% of a core a router, fakes included | MB of the process a router |\n"
                "|---|---|---|---|---|---|---|---|---|\n",
                kPacketOverheadBytes);
    for (const int routers : sizes)
        measure(seed, routers);
    return 0;
}
