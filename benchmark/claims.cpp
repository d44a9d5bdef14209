// What at-most-once costs at the target size: appends, delays and bytes between routers for the
// calls that may not be repeated, over collection intervals and numbers of partitions.
// Usage: bench_claims [SEED] [ROUTERS] [CALLS_PER_SECOND] [SECONDS]
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "support/changes.h"
#include "support/fakefleet.h"

using namespace comfrey;
using namespace comfrey::test;

namespace {

struct Load
{
    std::uint64_t seed = 1;
    int routers = 410;
    int callsPerSecond = 660;
    int seconds = 20;
};

struct Case
{
    std::uint32_t partitions;
    std::uint32_t collectIntervalMs;
};

/// Sums over the streams "claims-N".
StreamCounts claimCounts(FakeFleet &fleet)
{
    StreamCounts sum;
    for (const auto &[stream, counts] : fleet.log().counts()) {
        if (stream.value().rfind("claims-", 0) != 0)
            continue;
        sum.appends += counts.appends;
        sum.appendedBytes += counts.appendedBytes;
        sum.readBytes += counts.readBytes;
    }
    return sum;
}

std::uint64_t sentBytes(FakeFleet &fleet)
{
    std::uint64_t sum = 0;
    for (const auto &[instance, counts] : fleet.net().traffic())
        sum += counts.sentBytes;
    return sum;
}

void setUp(FakeFleet &fleet, const Load &load, const Case &setting)
{
    Settings &settings = fleet.routerSettings();
    settings.outcome.partitions = setting.partitions;
    settings.outcome.collectIntervalMs = setting.collectIntervalMs;
    fleet.log().setAppendRate(2000);
    fleet.publish(change("start", {plan("c1", "gold")}, {entitlement("gold", {}, {"dispatch"})}));
    for (int at = 0; at < 20; ++at) {
        ServiceOptions options;
        options.id = "s" + std::to_string(at);
        options.slots = 10000;
        fleet.addService(options);
    }
    for (int at = 0; at < load.routers; ++at)
        fleet.addRouter("r" + std::to_string(at), "z" + std::to_string(at % 8));
    fleet.runFor(milliseconds(8000));
}

void submitCalls(FakeFleet &fleet, const Load &load)
{
    std::mt19937_64 random(load.seed);
    const auto start = std::chrono::duration_cast<std::chrono::milliseconds>(
        fleet.queue().now().time_since_epoch());
    const std::int64_t length = load.seconds * std::int64_t(1000000);
    std::uniform_int_distribution<std::int64_t> when(0, length);
    std::uniform_int_distribution<int> which(0, load.routers - 1);
    for (int at = 0; at < load.callsPerSecond * load.seconds; ++at) {
        const std::string router = "r" + std::to_string(which(random));
        const std::string key = std::to_string(start.count()) + "-" + std::to_string(at);
        fleet.queue().after(Duration(when(random)), [&fleet, router, key] {
            fleet.submit(router, callRequest("c1", key));
        });
    }
}

void run(const Load &load, const Case &setting)
{
    FakeFleet fleet(load.seed);
    setUp(fleet, load, setting);
    const StreamCounts before = claimCounts(fleet);
    const std::uint64_t bytesBefore = sentBytes(fleet);
    submitCalls(fleet, load);
    fleet.runFor(milliseconds(std::int64_t{1000} * load.seconds));
    const StreamCounts after = claimCounts(fleet);
    const std::uint64_t bytesAfter = sentBytes(fleet);
    fleet.runFor(milliseconds(3000));
    std::vector<double> delays;
    std::size_t answered = 0;
    for (const auto &[id, caller] : fleet.callers()) {
        const bool isAnswered = caller.answer && caller.answer->outcome == Outcome::Answered;
        answered += isAnswered ? 1 : 0;
        delays.push_back(
            std::chrono::duration<double, std::milli>(caller.endedAt - caller.submittedAt).count());
    }
    std::sort(delays.begin(), delays.end());
    const double seconds = load.seconds;
    const double nodes = load.routers;
    std::printf("%10u %11u %9.1f %9.2f %9.2f %9.2f %7.0f %7.0f %9zu/%zu %6u\n", setting.partitions,
                setting.collectIntervalMs, double(after.appends - before.appends) / seconds,
                double(after.appendedBytes - before.appendedBytes) / seconds / 1000,
                double(after.readBytes - before.readBytes) / seconds / nodes / 1000,
                double(bytesAfter - bytesBefore) / seconds / nodes / 1000,
                delays[delays.size() / 2], delays[delays.size() * 99 / 100], answered,
                delays.size(), fleet.repeatedRuns());
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    Load load;
    if (argc > 1)
        load.seed = std::strtoull(argv[1], nullptr, 10);
    if (argc > 2)
        load.routers = std::atoi(argv[2]); // NOLINT(cert-err34-c)
    if (argc > 3)
        load.callsPerSecond = std::atoi(argv[3]); // NOLINT(cert-err34-c)
    if (argc > 4)
        load.seconds = std::atoi(argv[4]); // NOLINT(cert-err34-c)
    std::printf("seed %llu, %d routers, %d calls/s, %d s; the service runs 30 ms\n",
                static_cast<unsigned long long>(load.seed), load.routers, load.callsPerSecond,
                load.seconds);
    std::printf("partitions interval_ms appends/s append_kB/s read_kB/s/node sent_kB/s/node p50_ms "
                "p99_ms answered repeated\n");
    for (const Case &setting : {Case{16, 50}, Case{32, 100}, Case{64, 200}, Case{64, 100}})
        run(load, setting);
    return 0;
}
