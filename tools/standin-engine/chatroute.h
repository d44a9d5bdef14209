// Answers one chat completion, streamed or whole, from the scheduler's tokens.
#pragma once

#include <functional>
#include <memory>

#include <httplib.h>

#include "standin-engine/scheduler.h"

namespace comfrey::standin {

/// Registers the answer's content; the connection's thread then follows the sequence to its end. A
/// caller that closes its connection cancels the sequence.
void answerStreamed(Scheduler &scheduler, const std::shared_ptr<Sequence> &sequence,
                    httplib::Response &response);
void answerWhole(Scheduler &scheduler, const std::shared_ptr<Sequence> &sequence,
                 httplib::Response &response);

} // namespace comfrey::standin
