// The one place that decides what a caller may be told.
#include "outcome/runstate.h"

#include <algorithm>

namespace comfrey {

RunState runStateAfter(AttemptEnd how)
{
    switch (how) {
    case AttemptEnd::NotConnected:
        return RunState::NotSent;
    case AttemptEnd::RefusedUnstarted:
        return RunState::RefusedUnstarted;
    case AttemptEnd::Completed:
        return RunState::Ran;
    case AttemptEnd::FailedByBackend:
    case AttemptEnd::BrokenBeforeAnswer:
    case AttemptEnd::BrokenInAnswer:
    case AttemptEnd::TimedOut:
    case AttemptEnd::ForeignAnswer:
    case AttemptEnd::Cancelled:
        return RunState::MayHaveRun;
    }
    return RunState::MayHaveRun;
}

RunState combined(RunState left, RunState right)
{
    return std::max(left, right);
}

bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool mayBeTold(unsigned status, RunState state)
{
    return !promisesNotRun(status) || outcomeOf(state, false) == Outcome::NotRun;
}

Outcome outcomeOf(RunState state, bool delivered)
{
    if (delivered)
        return Outcome::Answered;
    if (state <= RunState::RefusedUnstarted)
        return Outcome::NotRun;
    return Outcome::Unknown;
}

} // namespace comfrey
