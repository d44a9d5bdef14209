// A request that crashes each replica that begins to run it comes again and again. All routers are
// killed at the same moment, three times.
#include <signal.h>

#include <iostream>

#include "crashingrequest.h"

using namespace comfrey;
using namespace comfrey::review;

namespace {

constexpr Duration kRestart = milliseconds(500);
constexpr Duration kPause = milliseconds(3500); ///< Between two sendings of the request.

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount < 4) {
        std::cerr << "usage: casecrashingrequest ROUTER_PROGRAM RECORD_FOLDER TEMPORARY_FOLDER\n";
        return 2;
    }
    Fleet fleet(argumentCount, arguments, 3);
    Record &record = fleet.record();
    CrashingRequest request(fleet, milliseconds(0));
    fleet.publishConfig("non_idempotent", 2500);
    for (int count = 0; count < 6; ++count)
        request.startReplica();
    fleet.startRouters();
    fleet.run(milliseconds(4000), 0);
    fleet.run(milliseconds(3000), kPerSecond);
    if (!fleet.isServing()) {
        record.note("a router does not serve");
        return 2;
    }
    for (int round = 0; round < 4; ++round) {
        for (int sending = 0; sending < 4; ++sending) {
            request.send(milliseconds(4000));
            fleet.run(kPause, kPerSecond);
        }
        if (round == 3)
            break;
        if (Fleet::hasTrouble()) {
            record.note("all routers are killed");
            for (std::size_t index = 0; index < fleet.size(); ++index)
                fleet.member(index).router->signal(SIGKILL);
            for (std::size_t index = 0; index < fleet.size(); ++index)
                fleet.member(index).router->waitForEnd();
            fleet.run(kRestart, kPerSecond);
            for (std::size_t index = 0; index < fleet.size(); ++index)
                fleet.member(index).router->start(false);
            record.note("all routers start again");
        }
        // The next sending comes from machines in touch.
        fleet.run(milliseconds(CrashingRequest::kStableWindowMs + 500), kPerSecond);
    }
    return request.isRuleBroken() ? 1 : 0;
}
