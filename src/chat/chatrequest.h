// One chat request from its arrival to the answer of its caller, and its attempts on engines.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "comfrey/actions.h"
#include "comfrey/events.h"
#include "comfrey/lists.h"
#include "outcome/runstate.h"
#include "placement/placer.h"

namespace comfrey {

/// One sending of a chat to an engine. It lives until its AttemptEnded, also after its request was
/// answered, since it holds the engine's slot until then.
struct ChatAttempt
{
    AttemptId id;
    RequestId request;
    BackendId backend;
    TimePoint sentAt;
    TimePoint lastTokensAt;                     ///< Of the newest progress.
    TimePoint answerBegunAt = TimePoint::min(); ///< First token; min() before it.
    Tokens tokens = 0;                          ///< That this attempt has brought, as far as known.
    double slowness = 0; ///< Highest latency over the usual one; 0 is unknown.
    bool hedge = false;
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
    Priority priority = Priority::Short;
    bool countedIn = false; ///< Against the plan's limits.
    Tokens delivered = 0;   ///< By attempts that have ended; the next one resumes there.
    RunState run = RunState::NotSent;
    std::optional<SearchId> search;      ///< For the engine that is to run it.
    std::optional<SearchId> hedgeSearch; ///< For a second engine.
    bool hedged = false;
    std::vector<AttemptId> attempts; ///< In flight and not cancelled.
    std::optional<AttemptId> winner; ///< The attempt whose tokens the caller gets.
    std::vector<BackendId> failedOn; ///< Engines that are not tried again.
    std::uint32_t brokenEngines = 0; ///< That broke while they ran it, since it last ran well.
};

} // namespace comfrey
