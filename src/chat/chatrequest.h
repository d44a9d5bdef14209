// One chat request from its arrival to the answer of its caller, and its attempts on engines.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "comfrey/events.h"
#include "comfrey/lists.h"
#include "outcome/runstate.h"

namespace comfrey {

/// One sending of a chat to an engine.
struct ChatAttempt
{
    AttemptId id;
    BackendId backend;
    TimePoint sentAt;
    Tokens tokens = 0; ///< That this attempt has brought, as far as known.
    bool cancelled = false;
};

/// Invariant: it is answered exactly once, and erased from the part's table then.
struct ChatRequest
{
    RequestId id;
    CallerRequest detail;
    CustomerId customer;
    PlanId plan;
    Contract contract;
    TimePoint arrivedAt;
    TimePoint deadline;
    Tokens delivered = 0; ///< By attempts that have ended; the next one resumes there.
    RunState run = RunState::NotSent;
    std::vector<ChatAttempt> attempts; ///< In flight.
    std::optional<AttemptId> winner;   ///< The attempt whose tokens the caller gets.
    std::vector<BackendId> failedOn;   ///< Engines that are not tried again.

    ChatAttempt *attempt(AttemptId wanted)
    {
        const auto found =
            std::find_if(attempts.begin(), attempts.end(),
                         [wanted](const ChatAttempt &one) { return one.id == wanted; });
        return found == attempts.end() ? nullptr : &*found;
    }

    bool hasFailedOn(const BackendId &backend) const
    {
        return std::find(failedOn.begin(), failedOn.end(), backend) != failedOn.end();
    }
};

} // namespace comfrey
