// Service calls: routed to replicas of plain services, at most once where they may not be repeated.
#include "calls/callpart.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "admission/entitlement.h"

namespace comfrey {

namespace {

constexpr std::size_t kMaxAttempts = 3;      ///< Of one call, each at another replica.
constexpr std::uint32_t kMaxClaimRounds = 4; ///< Of one call, as its key is freed again and again.
constexpr std::size_t kAbandonedKept = 4096;
constexpr std::size_t kUnrecordedKept = 4096;
constexpr double kRetryBurst = 10;       ///< Retries that may be saved up.
constexpr UnixMs kFutureLimitMs = 30000; ///< How far ahead a caller's clock may be.
constexpr Duration kRetryAfterRunning = milliseconds(200);
constexpr Duration kRetryAfterOutage = milliseconds(1000);

std::string quoted(const std::string &name)
{
    return '"' + name + '"';
}

std::string tooLongNote(std::size_t bytes)
{
    const nlohmann::json note = {
        {"recorded", false},
        {"reason", "the answer of " + std::to_string(bytes) + " bytes is too long to be kept"}};
    return note.dump();
}

const char *nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "notRun";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::uint64_t requestHash(const CallerRequest &detail)
{
    const std::string &service = detail.service.value();
    return XXH64(service.data(), service.size(), detail.fingerprint.value());
}

} // namespace

CallPart::CallPart(const PartContext &context)
    : m_context(context), m_replicas(context), m_submitter(context)
{ }

void CallPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    m_submitter.onEvent(event, now, out);
    if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
        if (arrived->detail.kind == RequestKind::ServiceCall)
            onArrived(*arrived, now, out);
    } else if (const auto *left = std::get_if<CallerLeft>(&event)) {
        onCallerLeft(*left, now, out);
    } else if (const auto *ended = std::get_if<AttemptEnded>(&event)) {
        onAttemptEnded(*ended, now, out);
    } else if (std::holds_alternative<StopRequested>(event)) {
        onStopRequested(now);
    }
    handleDecisions(now, out);
    expireClaims(now, out);
    endAtStopLimit(now, out);
}

void CallPart::onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now,
                         Outbox &out)
{
    m_submitter.onMessage(from, message, now, out);
    handleDecisions(now, out);
}

void CallPart::onArrived(const RequestArrived &arrived, TimePoint now, Outbox &out)
{
    const CallerRequest &detail = arrived.detail;
    Call call;
    call.request = arrived.request;
    call.service = detail.service;
    call.mayRepeat = detail.mayRepeat;
    call.timeout = milliseconds(m_context.settings.outcome.serviceTimeoutMs);
    const auto refuse = [&](CallerError error, std::string text) {
        answerAndForget(call, Outcome::NotRun, error, std::move(text), std::nullopt, out);
    };
    if (const auto refusal = refusalByLists(detail, m_context.lists)) {
        return answerAndForget(call, Outcome::NotRun, refusal->error, refusal->text,
                               refusal->retryAfter, out);
    }
    if (m_replicas.choose(detail.service, {}, now) == nullptr) {
        return refuse(CallerError::NoBackend,
                      "service " + quoted(detail.service.value()) + " has no replica");
    }
    if (call.mayRepeat) {
        call.timeout = std::min(call.timeout, detail.callerTimeout.value_or(call.timeout));
        m_retryBudget =
            std::min(m_retryBudget + m_context.settings.health.retryBudget, kRetryBurst);
        const auto placed = m_calls.insert_or_assign(call.request, std::move(call)).first;
        send(placed->second, now, out);
        return;
    }
    if (detail.idempotencyKey.isEmpty()) {
        return refuse(CallerError::KeyRequired,
                      "a call of service " + quoted(detail.service.value())
                          + " needs an Idempotency-Key");
    }
    const UnixMs issued = issueTime(detail.idempotencyKey);
    if (issued > unixMs(now) + kFutureLimitMs)
        return refuse(CallerError::Malformed, "the idempotency key was issued in the future");
    if (issued != 0 && issued + m_context.settings.outcome.keyLifetimeMs < unixMs(now)) {
        return answerAndForget(call, Outcome::Unknown, CallerError::KeyExpired,
                               "the idempotency key is older than its lifetime", std::nullopt, out);
    }
    call.claim.customer = m_context.lists.customerOf(detail.apiKey)->customer.value();
    call.claim.key = detail.idempotencyKey.value();
    call.claim.requestHash = requestHash(detail);
    call.claim.issuedMs = issued;
    call.claim.router = m_context.fleet.self().value();
    call.claim.incarnation = m_context.incarnation.value();
    call.giveUpAt = now + milliseconds(m_context.settings.outcome.claimTimeoutMs);
    if (detail.callerTimeout)
        call.giveUpAt = std::min(call.giveUpAt, now + *detail.callerTimeout);
    const auto placed = m_calls.insert_or_assign(call.request, std::move(call)).first;
    claim(placed->second, 0, now, out);
}

void CallPart::claim(Call &call, std::uint64_t basedOn, TimePoint now, Outbox &out)
{
    ++call.rounds;
    call.claim.attempt = ++m_lastClaim;
    call.claim.basedOn = basedOn;
    m_claims[call.claim.attempt] = call.request;
    m_submitter.submit(call.claim, now, out);
}

void CallPart::onCallerLeft(const CallerLeft &left, TimePoint now, Outbox &out)
{
    (void)now;
    const auto found = m_calls.find(left.request);
    if (found == m_calls.end())
        return;
    Call &call = found->second;
    call.callerGone = true;
    if (!call.mayRepeat && call.claimOffset.value() == 0)
        return giveUpClaim(call, out);
    if (call.mayRepeat)
        out.push(CancelAttempt{call.attempt});
}

void CallPart::handleDecisions(TimePoint now, Outbox &out)
{
    for (auto decisions = m_submitter.takeDecisions(); !decisions.empty();
         decisions = m_submitter.takeDecisions()) {
        for (const ClaimDecision &decision : decisions) {
            if (decision.isOutcome)
                m_unrecorded.erase(decision.id.number);
            else
                onVerdict(decision, now, out);
        }
    }
}

void CallPart::onVerdict(const ClaimDecision &decision, TimePoint now, Outbox &out)
{
    const auto claimed = m_claims.find(decision.id.number);
    if (claimed == m_claims.end())
        return onAbandonedWon(decision, now, out);
    Call &call = m_calls.at(claimed->second);
    switch (decision.verdict.kind) {
    case VerdictKind::Won:
        m_claims.erase(claimed);
        call.claimOffset = decision.verdict.state.offset;
        send(call, now, out);
        return;
    case VerdictKind::Lost:
        m_claims.erase(claimed);
        return onLost(call, decision, now, out);
    case VerdictKind::Expired:
        m_claims.erase(claimed);
        return answerAndForget(call, Outcome::Unknown, CallerError::KeyExpired,
                               "the log no longer tells whether the idempotency key was used",
                               std::nullopt, out);
    case VerdictKind::Unavailable:
        return giveUpClaim(call, out);
    case VerdictKind::Recorded:
        return;
    }
}

void CallPart::onLost(Call &call, const ClaimDecision &decision, TimePoint now, Outbox &out)
{
    const ClaimState &state = decision.verdict.state;
    if (state.requestHash != call.claim.requestHash) {
        return answerAndForget(call, Outcome::NotRun, CallerError::KeyReused,
                               "the idempotency key was used with another request", std::nullopt,
                               out);
    }
    const bool isFree = state.outcome && state.outcome->outcome == Outcome::NotRun;
    if (isFree && call.rounds < kMaxClaimRounds)
        return claim(call, state.outcome->offset.value(), now, out);
    answerFromHolder(call, state, decision.partition, out);
}

/// Tells what became of the call that holds the key. Never a second run.
void CallPart::answerFromHolder(Call &call, const ClaimState &state, std::uint32_t partition,
                                Outbox &out)
{
    std::optional<RecordedOutcome> known = state.outcome;
    const auto own = m_unrecorded.find(state.holder.number);
    if (!known && state.holder.router == m_context.fleet.self()
        && state.holder.incarnation == m_context.incarnation && own != m_unrecorded.end()) {
        const record::ClaimOutcomeT &outcome = own->second;
        known =
            RecordedOutcome{static_cast<Outcome>(outcome.outcome), LogOffset(),
                            static_cast<int>(outcome.status), outcome.body, outcome.contentType};
    }
    if (known && known->outcome == Outcome::Answered) {
        AnswerCaller reply;
        reply.outcome = Outcome::Answered;
        reply.status = known->status;
        reply.body = known->body;
        reply.contentType = known->contentType;
        return answer(call, std::move(reply), out);
    }
    const bool isUnknown = known && known->outcome == Outcome::Unknown;
    if (isUnknown || (!known && isHolderGone(state.holder))) {
        return answerAndForget(call, Outcome::Unknown, CallerError::OutcomeUnknown,
                               "the first call with this idempotency key may have run",
                               std::nullopt, out);
    }
    m_submitter.remind(partition, state, out);
    answerAndForget(call, Outcome::Unknown, CallerError::StillRunning,
                    "the first call with this idempotency key has no outcome yet",
                    kRetryAfterRunning, out);
}

bool CallPart::isHolderGone(const ClaimId &holder) const
{
    const auto &routers = m_context.fleet.routers();
    const auto found =
        std::find_if(routers.begin(), routers.end(),
                     [&holder](const RouterView &view) { return view.id == holder.router; });
    if (holder.router == m_context.fleet.self())
        return holder.incarnation != m_context.incarnation;
    return found == routers.end() || found->incarnation > holder.incarnation;
}

/// The claim may still be appended and win, but its call is never sent: "not run" is true.
void CallPart::giveUpClaim(Call &call, Outbox &out)
{
    m_claims.erase(call.claim.attempt);
    if (!m_submitter.withdraw(idOf(call.claim)))
        abandon(call.claim);
    answerAndForget(call, Outcome::NotRun, CallerError::LogUnavailable,
                    "the platform's log did not take the claim of the call in time",
                    kRetryAfterOutage, out);
}

void CallPart::abandon(const record::ClaimT &claim)
{
    if (m_abandoned.size() >= kAbandonedKept)
        m_abandoned.erase(m_abandoned.begin());
    m_abandoned[claim.attempt] = claim;
}

/// Frees the key of a claim that won after it was given up.
void CallPart::onAbandonedWon(const ClaimDecision &decision, TimePoint now, Outbox &out)
{
    const auto found = m_abandoned.find(decision.id.number);
    if (found == m_abandoned.end() || decision.verdict.kind != VerdictKind::Won)
        return;
    Call call;
    call.claim = std::move(found->second);
    call.claimOffset = decision.verdict.state.offset;
    m_abandoned.erase(found);
    recordOutcome(call, Outcome::NotRun, nullptr, now, out);
}

bool CallPart::send(Call &call, TimePoint now, Outbox &out)
{
    const BackendView *replica = m_replicas.choose(call.service, call.tried, now);
    if (replica == nullptr) {
        finish(call, {}, now, out);
        return false;
    }
    call.attempt = m_context.ids.nextAttempt();
    call.tried.push_back(replica->id);
    m_attempts[call.attempt] = {call.request, replica->id};
    m_replicas.onSent(replica->id);
    SendToBackend action;
    action.attempt = call.attempt;
    action.request = call.request;
    action.backend = replica->id;
    action.address = replica->address;
    action.timeout = call.timeout;
    action.freshConnection = !call.mayRepeat;
    out.push(std::move(action));
    return true;
}

void CallPart::onAttemptEnded(const AttemptEnded &ended, TimePoint now, Outbox &out)
{
    const auto attempt = m_attempts.find(ended.attempt);
    if (attempt == m_attempts.end())
        return;
    m_replicas.onEnded(attempt->second.replica, ended, now);
    const auto found = m_calls.find(attempt->second.request);
    m_attempts.erase(attempt);
    if (found == m_calls.end() || found->second.attempt != ended.attempt)
        return;
    Call &call = found->second;
    call.attempt = AttemptId();
    call.state = combined(call.state, runStateAfter(ended.how));
    if (ended.how != AttemptEnd::Completed && maySendAgain(call, ended.how)) {
        send(call, now, out);
        return;
    }
    finish(call, ended, now, out);
}

/// After an attempt that certainly did not start, any call may be sent again by the same router;
/// after one that may have run, only a call that may be repeated.
bool CallPart::maySendAgain(const Call &call, AttemptEnd how)
{
    if (call.callerGone || m_isPastStopLimit || call.tried.size() >= kMaxAttempts)
        return false;
    if (outcomeOf(call.state, false) == Outcome::NotRun)
        return true;
    const bool isBroken = how != AttemptEnd::TimedOut && how != AttemptEnd::Cancelled;
    if (!call.mayRepeat || !isBroken || m_retryBudget < 1)
        return false;
    m_retryBudget -= 1;
    return true;
}

/// Answers the caller after the last attempt, and records the outcome of a claimed call.
void CallPart::finish(Call &call, const AttemptEnded &ended, TimePoint now, Outbox &out)
{
    const bool isDelivered = ended.attempt.value() != 0 && ended.how == AttemptEnd::Completed;
    const Outcome outcome = outcomeOf(call.state, isDelivered);
    if (!call.mayRepeat)
        recordOutcome(call, outcome, isDelivered ? &ended : nullptr, now, out);
    const std::string service = "service " + quoted(call.service.value());
    if (isDelivered) {
        AnswerCaller reply;
        reply.outcome = Outcome::Answered;
        reply.attempt = ended.attempt;
        return answer(call, std::move(reply), out);
    }
    if (outcome == Outcome::NotRun) {
        return answerAndForget(call, outcome, CallerError::NoBackend,
                               "no replica of " + service + " took the call", kRetryAfterOutage,
                               out);
    }
    answerAndForget(call, outcome, CallerError::OutcomeUnknown,
                    service + " gave no whole answer; the call may have run", std::nullopt, out);
}

void CallPart::recordOutcome(const Call &call, Outcome outcome, const AttemptEnded *answer,
                             TimePoint now, Outbox &out)
{
    record::ClaimOutcomeT recorded;
    recorded.key = call.claim.key;
    recorded.customer = call.claim.customer;
    recorded.router = call.claim.router;
    recorded.incarnation = call.claim.incarnation;
    recorded.attempt = call.claim.attempt;
    recorded.claimOffset = call.claimOffset.value();
    recorded.outcome = static_cast<std::uint8_t>(outcome);
    if (answer != nullptr) {
        const bool isKept = answer->body.size() <= m_context.settings.outcome.maxRecordedBodyBytes;
        recorded.status = static_cast<std::uint32_t>(answer->status);
        recorded.body = isKept ? answer->body : tooLongNote(answer->body.size());
        recorded.contentType = isKept ? answer->contentType : "application/json";
    }
    if (m_unrecorded.size() < kUnrecordedKept)
        m_unrecorded[recorded.attempt] = recorded;
    m_submitter.submit(recorded, now, out);
}

/// Ends the call; `call` is gone afterwards.
void CallPart::answer(const Call &call, AnswerCaller reply, Outbox &out)
{
    reply.request = call.request;
    ++m_outcomes[reply.outcome];
    if (!call.callerGone)
        out.push(std::move(reply));
    const RequestId request = call.request;
    m_calls.erase(request);
}

void CallPart::answerAndForget(const Call &call, Outcome outcome, CallerError error,
                               std::string text, std::optional<Duration> retryAfter, Outbox &out)
{
    AnswerCaller reply;
    reply.outcome = outcome;
    reply.error = error;
    reply.text = std::move(text);
    reply.retryAfter = retryAfter;
    answer(call, std::move(reply), out);
}

void CallPart::expireClaims(TimePoint now, Outbox &out)
{
    std::vector<RequestId> late;
    for (const auto &[number, request] : m_claims) {
        if (m_calls.at(request).giveUpAt <= now)
            late.push_back(request);
    }
    for (const RequestId &request : late)
        giveUpClaim(m_calls.at(request), out);
}

void CallPart::onStopRequested(TimePoint now)
{
    m_stopLimit = now + milliseconds(m_context.settings.router.stopLimitMs);
}

/// Calls that are still open at the stop limit get a clear outcome.
void CallPart::endAtStopLimit(TimePoint now, Outbox &out)
{
    if (now < m_stopLimit || m_isPastStopLimit)
        return;
    m_isPastStopLimit = true;
    while (!m_calls.empty()) {
        Call &call = m_calls.begin()->second;
        if (!call.mayRepeat && call.claimOffset.value() == 0) {
            giveUpClaim(call, out);
            continue;
        }
        call.state = combined(call.state, RunState::InFlight);
        finish(call, {}, now, out);
    }
}

TimePoint CallPart::nextWakeUp() const
{
    TimePoint next = m_submitter.nextWakeUp();
    for (const auto &[number, request] : m_claims)
        next = std::min(next, m_calls.at(request).giveUpAt);
    return m_isPastStopLimit ? next : std::min(next, m_stopLimit);
}

bool CallPart::isIdle() const
{
    return m_isPastStopLimit || (m_calls.empty() && m_submitter.isIdle());
}

void CallPart::dump(nlohmann::json &out, TimePoint now) const
{
    (void)now;
    out = nlohmann::json::object();
    out["calls"] = m_calls.size();
    out["undecidedClaims"] = m_claims.size();
    out["abandonedClaims"] = m_abandoned.size();
    out["unrecordedOutcomes"] = m_unrecorded.size();
    for (const auto &[outcome, count] : m_outcomes)
        out["outcomes"][nameOf(outcome)] = count;
    m_replicas.dump(out["replicas"]);
    m_submitter.dump(out["claims"]);
}

} // namespace comfrey
