// Bytes a second that membership and configuration cost one router, over fleet sizes. Only routers
// run: every message between them is one of these two. Arguments: seed, then seconds measured.
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "support/changes.h"
#include "support/fakefleet.h"
#include "wire/envelope.h"

using namespace comfrey;
using namespace comfrey::test;

namespace {

constexpr Duration kWarmUp = milliseconds(20000);
constexpr std::int64_t kZones = 8;

struct Rates
{
    double sent = 0; ///< Bytes a second and router, like the next three.
    double received = 0;
    double mostSent = 0; ///< Of the router that sent most.
    double messages = 0; ///< Sent a second and router.
};

Rates ratesOver(FakeFleet &fleet, Duration span)
{
    const auto before = fleet.net().traffic();
    fleet.runFor(span);
    const double seconds = static_cast<double>(span.count()) / 1e6;
    Rates rates;
    double count = 0;
    for (const auto &[router, after] : fleet.net().traffic()) {
        const TrafficCounts &start = before.at(router);
        const double sent = static_cast<double>(after.sentBytes - start.sentBytes) / seconds;
        rates.sent += sent;
        rates.mostSent = std::max(rates.mostSent, sent);
        rates.received += static_cast<double>(after.receivedBytes - start.receivedBytes) / seconds;
        rates.messages += static_cast<double>(after.sent - start.sent) / seconds;
        ++count;
    }
    rates.sent /= count;
    rates.received /= count;
    rates.messages /= count;
    return rates;
}

void publishEach(FakeFleet &fleet, Duration interval, int count)
{
    for (int i = 0; i < count; ++i) {
        const std::string id = std::to_string(i);
        fleet.queue().after(interval * i, [&fleet, id] {
            fleet.publish(change("change-" + id, {plan("customer-" + id, "gold")}));
        });
    }
}

void print(int routers, const char *load, const Rates &rates)
{
    std::printf("%7d  %-34s %8.1f %10.0f %10.0f %10.0f %12.0f\n", routers, load, rates.messages,
                rates.sent, rates.received, rates.sent + rates.received, rates.mostSent);
}

void measure(int routers, std::uint64_t seed, Duration span)
{
    FakeFleet fleet(seed);
    for (int i = 0; i < routers; ++i)
        fleet.addRouter("router-" + std::to_string(i), "zone-" + std::to_string(i % kZones));
    fleet.publish(change("first", {}, {entitlement("gold", {"m1"})}));
    fleet.runFor(kWarmUp);
    print(routers, "quiet", ratesOver(fleet, span));
    const auto seconds = static_cast<int>(span / milliseconds(1000));
    publishEach(fleet, milliseconds(20000), seconds / 20);
    print(routers, "a change each 20 s (4,320 a day)", ratesOver(fleet, span));
    fleet.killRouter("router-1");
    print(routers, "one router died", ratesOver(fleet, span));
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::int64_t seconds = argc > 2 ? std::strtoll(argv[2], nullptr, 10) : 60;
    std::printf(
        "bytes a second and router, with %zu bytes of headers a message; seed %llu, %lld s\n",
        kPacketOverheadBytes, static_cast<unsigned long long>(seed),
        static_cast<long long>(seconds));
    std::printf("%7s  %-34s %8s %10s %10s %10s %12s\n", "routers", "load", "msgs/s", "sent",
                "received", "both", "most sent");
    for (const int routers : {7, 50, 400})
        measure(routers, seed, milliseconds(seconds * 1000));
}
