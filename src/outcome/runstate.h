// The one place that decides what a caller may be told. Every request, chat or service call, keeps
// a RunState over all its attempts, and its outcome is read off here.
#pragma once

#include <cstdint>

#include "comfrey/actions.h"
#include "comfrey/events.h"

namespace comfrey {

/// What is known about whether a request ran, from least to most.
enum class RunState : std::uint8_t {
    NotSent,          ///< No byte left this process.
    RefusedUnstarted, ///< The back end said that it did not start it.
    InFlight,         ///< Sent, and not ended yet: it may be running.
    MayHaveRun,       ///< Sent, and no word about it came back.
    Ran,              ///< A whole answer came back.
};

/// The state of one attempt after its end.
RunState runStateAfter(AttemptEnd how);

/// The state of a request with several attempts: the most that any of them may have done.
RunState combined(RunState left, RunState right);

/// True for an HTTP status by which callers know that their request did not run and never will:
/// 408, 421, 429 and 503.
bool promisesNotRun(unsigned status);

/// False for a status that would promise falsely that the request did not run, whether the status
/// is this process's own or a backend server's.
bool mayBeTold(unsigned status, RunState state);

/// What the caller may be told. `delivered` is true if it has, or now gets, one whole answer.
Outcome outcomeOf(RunState state, bool delivered);

} // namespace comfrey
