// The router that reads the store is stopped and started again, as planned. Meanwhile the other
// router is partitioned from the store, and two replicas are
// replaced (release), one of which leaves the list without a word.
#include <signal.h>

#include <iostream>

#include "drainjudge.h"

using namespace comfrey;
using namespace comfrey::review;

namespace {

constexpr Duration kCut = milliseconds(5500);       ///< Of core_cut in the site file.
constexpr Duration kServesOn = milliseconds(15000); ///< "At times many seconds".

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount < 4) {
        std::cerr << "usage: caserestartedreader ROUTER_PROGRAM RECORD_FOLDER TEMPORARY_FOLDER\n";
        return 2;
    }
    Fleet fleet(argumentCount, arguments, 2);
    Record &record = fleet.record();
    fleet.publishConfig("non_idempotent", 2500);
    for (const char *zone : {"zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"})
        fleet.startReplica(zone);
    fleet.startRouters();
    fleet.run(milliseconds(4000), 0);
    const std::size_t follower =
        fleet.member(0).router->logLines("router-followed").empty() ? 1 : 0;
    Member &reading = fleet.member(1 - follower);
    Member &following = fleet.member(follower);
    if (following.router->logLines("router-followed").empty()) {
        record.note("no router follows the other");
        return 2;
    }
    fleet.run(milliseconds(6000), kPerSecond);
    if (!fleet.isServing()) {
        record.note("a router does not serve");
        return 2;
    }

    std::int64_t calmFrom = record.nowMs();
    if (Fleet::hasTrouble()) {
        following.storePath->setFault(soak::PathFault::Silent);
        record.note(following.router->name() + " is partitioned from the store");
        fleet.later(kCut, [&] {
            following.storePath->setFault(soak::PathFault::None);
            calmFrom = record.nowMs() + kStableWindowMs;
            record.note(following.router->name() + " reaches the store again");
        });
    }
    fleet.run(milliseconds(500), kPerSecond);
    reading.router->signal(SIGTERM);
    reading.takesRequests = false;
    record.note(reading.router->name() + " gets SIGTERM");
    // A release: each new replica starts before the old one leaves, one a second.
    fleet.run(milliseconds(300), kPerSecond);
    fleet.startReplica("zone-b");
    fleet.run(milliseconds(300), kPerSecond);
    Replica &leaving = fleet.replica(1);
    const std::int64_t ackedAt = record.nowMs();
    fleet.removeEntry(leaving, kServesOn);
    fleet.run(milliseconds(700), kPerSecond);
    fleet.startReplica("zone-c");
    fleet.run(milliseconds(300), kPerSecond);
    fleet.drain(fleet.replica(2), milliseconds(4000));
    for (int step = 0; step < 80 && !reading.router->hasEnded(); ++step)
        fleet.run(milliseconds(100), kPerSecond);
    if (!reading.router->hasEnded()) {
        record.note("the stopped router did not end");
        return 2;
    }
    reading.router->start(false);
    record.note(reading.router->name() + " starts again");
    fleet.run(milliseconds(1000), kPerSecond);
    reading.takesRequests = true;
    fleet.run(milliseconds(14000), kPerSecond);
    return judgeDrain(fleet, leaving, ackedAt, calmFrom) > 0 ? 1 : 0;
}
