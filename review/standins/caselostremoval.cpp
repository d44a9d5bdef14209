// Replicas are taken away (scale_in). The last of them leaves the list without a word, and the
// platform deletes the topic's records before the reading router's next read. It is the one whose
// entry is the newest of those that are left ("newest"), or an older one.
#include <iostream>

#include "drainjudge.h"

using namespace comfrey;
using namespace comfrey::review;

namespace {

constexpr std::size_t kReplicas = 16; ///< Four of them leave: the share 0.25 of scale_in.

} // namespace

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
    for (std::size_t count = 0; count < kReplicas; ++count)
        fleet.startReplica(std::string("zone-") + static_cast<char>('a' + count % 3));
    fleet.startRouters();
    fleet.run(milliseconds(4000), 0);
    fleet.run(milliseconds(6000), kPerSecond);
    if (!fleet.isServing()) {
        record.note("a router does not serve");
        return 2;
    }

    // The newest replicas are taken away first. Those of "older" say that they leave.
    const auto takeAway = [&](Replica &replica) {
        if (isNewest)
            fleet.removeEntry(replica, milliseconds(12000));
        else
            fleet.drain(replica, milliseconds(4000));
    };
    takeAway(fleet.replica(kReplicas - 1));
    fleet.run(milliseconds(450), kPerSecond);
    takeAway(fleet.replica(kReplicas - 2));
    fleet.run(milliseconds(3), kPerSecond);
    takeAway(fleet.replica(kReplicas - 3));
    fleet.run(milliseconds(15), kPerSecond);
    Replica &leaving = fleet.replica(isNewest ? kReplicas - 4 : 1);
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
