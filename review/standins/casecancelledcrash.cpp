// A request that crashes each replica that begins to run it comes again and again. Its requester
// leaves before the replica has ended.
#include <iostream>

#include "crashingrequest.h"

using namespace comfrey;
using namespace comfrey::review;

namespace {

constexpr Duration kCrashTime = milliseconds(150); ///< Of a replica, from the start of the run.
constexpr Duration kLeaves = milliseconds(75);     ///< Half of the route's objective.
constexpr Duration kWaits = milliseconds(4000);    ///< Without the disruption.
constexpr Duration kPause = milliseconds(300);     ///< Between two sendings of the request.
constexpr int kSendings = 18;                      ///< Within the 5.5 s of give_up.

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount < 4) {
        std::cerr << "usage: casecancelledcrash ROUTER_PROGRAM RECORD_FOLDER TEMPORARY_FOLDER\n";
        return 2;
    }
    Fleet fleet(argumentCount, arguments, 3);
    CrashingRequest request(fleet, kCrashTime);
    fleet.publishConfig("non_idempotent", 2500);
    for (int count = 0; count < 18; ++count)
        request.startReplica();
    fleet.startRouters();
    fleet.run(milliseconds(4000), 0);
    fleet.run(milliseconds(3000), kPerSecond);
    if (!fleet.isServing()) {
        fleet.record().note("a router does not serve");
        return 2;
    }
    for (int sending = 0; sending < kSendings; ++sending) {
        request.send(Fleet::hasTrouble() ? kLeaves : kWaits);
        fleet.run(kPause, kPerSecond);
    }
    fleet.run(milliseconds(1000), kPerSecond);
    return request.isRuleBroken() ? 1 : 0;
}
