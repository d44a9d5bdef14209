// The reference for service at the crest: what the same engines would serve behind one central
// queue with full knowledge. It sees every slot without delay, knows every answer's length, sends a
// request to the engine that has its prompt cached if that has a free slot, and drops a request as
// soon as its first token cannot come in time.
#pragma once

#include <vector>

#include "comfrey-load/schedule.h"
#include "comfrey-load/workload.h"

namespace comfrey::load {

/// For each request of the schedule, whether it is answered inside its contract. Requests that are
/// no chats are not.
std::vector<bool> serveCentrally(const Workload &workload,
                                 const std::vector<PlannedRequest> &requests);

} // namespace comfrey::load
