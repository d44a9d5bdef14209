// A replica leaves the list without a word, and the platform deletes the topic's records before the
// reading router's next read. The replica is the one that was listed last ("newest"), or another.
#include <iostream>

#include "drainjudge.h"

using namespace comfrey;
using namespace comfrey::review;

int main(int argumentCount, char **arguments)
{
    if (argumentCount < 5) {
        std::cerr << "usage: caselostremoval ROUTER_PROGRAM RECORD_FOLDER TEMPORARY_FOLDER "
                     "newest|older\n";
        return 2;
    }
    const bool isNewest = std::string(arguments[4]) == "newest";
    Fleet fleet(argumentCount, arguments, 3);
    Record &record = fleet.record();
    fleet.publishConfig("non_idempotent", 2500);
    for (const char *zone : {"zone-a", "zone-b", "zone-c", "zone-a"})
        fleet.startReplica(zone);
    fleet.startRouters();
    fleet.run(milliseconds(4000), 0);
    fleet.run(milliseconds(6000), kPerSecond);
    if (!fleet.isServing()) {
        record.note("a router does not serve");
        return 2;
    }

    // A release: new replicas start, then an old one leaves.
    fleet.startReplica("zone-b");
    fleet.run(milliseconds(450), kPerSecond);
    fleet.startReplica("zone-c");
    fleet.run(milliseconds(3), kPerSecond);
    Replica &last = fleet.startReplica("zone-a");
    fleet.run(milliseconds(15), kPerSecond);
    Replica &leaving = isNewest ? last : fleet.replica(1);
    const std::int64_t ackedAt = record.nowMs();
    fleet.removeEntry(leaving, milliseconds(12000));
    fleet.run(milliseconds(40), kPerSecond);
    const std::int64_t calmFrom = record.nowMs() + kStableWindowMs;
    if (Fleet::hasTrouble()) {
        fleet.store().compact();
        record.note("the platform deletes the records; the newest of each key is retained");
    }
    fleet.run(milliseconds(13500), kPerSecond);
    return judgeDrain(fleet, leaving, ackedAt, calmFrom) > 0 ? 1 : 0;
}
