// Service calls: routed to replicas of plain services, at most once where they may not be repeated.
//
// A call that may not be repeated is sent only after its claim was read back from the log as the
// key's first, and then only again after an attempt that certainly did not start. Its outcome is
// recorded, so that the caller's next call with the key, through any router, gets it.
#pragma once

#include <map>
#include <vector>

#include "calls/replicas.h"
#include "comfrey/actions.h"
#include "facade/part.h"
#include "outcome/claimsubmitter.h"
#include "outcome/runstate.h"

namespace comfrey {

class CallPart : public Part
{
public:
    explicit CallPart(const PartContext &context);

    const char *name() const override { return "calls"; }
    void onEvent(const Event &event, TimePoint now, Outbox &out) override;
    void onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now,
                   Outbox &out) override;
    TimePoint nextWakeUp() const override;
    bool isIdle() const override;
    void dump(nlohmann::json &out, TimePoint now) const override;

private:
    struct Call
    {
        RequestId request;
        ServiceName service;
        bool mayRepeat = false;
        bool callerGone = false;
        Duration timeout = milliseconds(0);
        RunState state = RunState::NotSent; ///< Over all attempts.
        std::vector<BackendId> tried;
        AttemptId attempt;        ///< In flight if its number is not 0.
        record::ClaimT claim;     ///< Like the next three, of a call that may not be repeated.
        LogOffset claimOffset;    ///< 0 until the claim was read back as the first.
        std::uint32_t rounds = 0; ///< Claims so far; a key freed by "not run" is claimed again.
        TimePoint giveUpAt;       ///< While the claim is not decided.
    };

    struct Attempt
    {
        RequestId request;
        BackendId replica;
    };

    void onArrived(const RequestArrived &arrived, TimePoint now, Outbox &out);
    void onCallerLeft(const CallerLeft &left, TimePoint now, Outbox &out);
    void onAttemptEnded(const AttemptEnded &ended, TimePoint now, Outbox &out);
    void onStopRequested(TimePoint now);

    void claim(Call &call, std::uint64_t basedOn, TimePoint now, Outbox &out);
    void handleDecisions(TimePoint now, Outbox &out);
    void onVerdict(const ClaimDecision &decision, TimePoint now, Outbox &out);
    void onLost(Call &call, const ClaimDecision &decision, TimePoint now, Outbox &out);
    void answerFromHolder(Call &call, const ClaimState &state, std::uint32_t partition,
                          Outbox &out);
    void giveUpClaim(Call &call, Outbox &out);
    void abandon(const record::ClaimT &claim);
    void onAbandonedWon(const ClaimDecision &decision, TimePoint now, Outbox &out);

    bool send(Call &call, TimePoint now, Outbox &out);
    bool maySendAgain(const Call &call, AttemptEnd how);
    void finish(Call &call, const AttemptEnded &ended, TimePoint now, Outbox &out);
    void recordOutcome(const Call &call, Outcome outcome, const AttemptEnded *answer, TimePoint now,
                       Outbox &out);
    void answer(const Call &call, AnswerCaller reply, Outbox &out);
    void answerAndForget(const Call &call, Outcome outcome, CallerError error, std::string text,
                         std::optional<Duration> retryAfter, Outbox &out);
    void expireClaims(TimePoint now, Outbox &out);
    void endAtStopLimit(TimePoint now, Outbox &out);
    bool isHolderGone(const ClaimId &holder) const;

    PartContext m_context;
    Replicas m_replicas;
    ClaimSubmitter m_submitter;
    std::map<RequestId, Call> m_calls;
    std::map<std::uint64_t, RequestId> m_claims; ///< Undecided claims by number.
    std::map<AttemptId, Attempt> m_attempts;
    /// Claims that were given up and may still win. None of them is ever sent.
    std::map<std::uint64_t, record::ClaimT> m_abandoned;
    /// Outcomes that were not read back yet, by the number of the claim.
    std::map<std::uint64_t, record::ClaimOutcomeT> m_unrecorded;
    std::uint64_t m_lastClaim = 0;
    double m_retryBudget = 0;
    TimePoint m_stopLimit = kNever;
    bool m_isPastStopLimit = false;
    std::map<Outcome, std::uint64_t> m_outcomes; ///< Counts for the dump.
};

} // namespace comfrey
