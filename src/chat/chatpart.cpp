// Chats: from a caller's request to its whole answer.
#include "chat/chatpart.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "placement/ranking.h"

namespace comfrey {

namespace {

constexpr std::size_t kMaxFailures = 4; ///< Engines that may fail one request.
constexpr Duration kRetryAfter = milliseconds(1000);

} // namespace

ChatPart::ChatPart(const PartContext &context) : m_context(context), m_prober(context) { }

void ChatPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    if (const auto *arrived = std::get_if<RequestArrived>(&event))
        onArrived(*arrived, now, out);
    else if (const auto *left = std::get_if<CallerLeft>(&event))
        onCallerLeft(*left, out);
    else if (const auto *progress = std::get_if<AttemptProgress>(&event))
        onProgress(*progress, out);
    else if (const auto *ended = std::get_if<AttemptEnded>(&event))
        onEnded(*ended, now, out);
    m_prober.tick(now, out);
}

void ChatPart::onArrived(const RequestArrived &arrived, TimePoint now, Outbox &out)
{
    if (arrived.detail.kind != RequestKind::Chat || m_requests.count(arrived.request) != 0)
        return;
    ChatRequest &request = m_requests[arrived.request];
    request.id = arrived.request;
    request.detail = arrived.detail;
    request.arrivedAt = now;
    if (const auto refusal = refusalByLists(request.detail, m_context.lists))
        return giveUp(request, *refusal, out);
    const PlanEntry &customer = *m_context.lists.customerOf(request.detail.apiKey);
    request.customer = customer.customer;
    request.plan = customer.plan;
    request.contract = customer.contract;
    const Duration limit = milliseconds(m_context.settings.admission.requestTimeoutMs);
    request.deadline = now + std::min(limit, request.detail.callerTimeout.value_or(limit));
    sendSomewhere(request, now, out);
}

void ChatPart::onCallerLeft(const CallerLeft &left, Outbox &out)
{
    const auto found = m_requests.find(left.request);
    if (found == m_requests.end())
        return;
    cancelOthers(found->second, AttemptId(), out);
    m_requests.erase(found);
}

void ChatPart::onProgress(const AttemptProgress &progress, Outbox &out)
{
    const auto found = m_requests.find(progress.request);
    if (found == m_requests.end())
        return;
    ChatRequest &request = found->second;
    ChatAttempt *attempt = request.attempt(progress.attempt);
    if (attempt == nullptr || attempt->cancelled)
        return;
    attempt->tokens = std::max(attempt->tokens, progress.tokens);
    if (request.winner)
        return;
    request.winner = attempt->id;
    cancelOthers(request, attempt->id, out);
}

void ChatPart::onEnded(const AttemptEnded &ended, TimePoint now, Outbox &out)
{
    const auto found = m_requests.find(ended.request);
    if (found == m_requests.end())
        return;
    ChatRequest &request = found->second;
    const ChatAttempt *known = request.attempt(ended.attempt);
    if (known == nullptr)
        return;
    const ChatAttempt attempt = *known;
    std::erase_if(request.attempts,
                  [&attempt](const ChatAttempt &one) { return one.id == attempt.id; });
    const bool wins = !request.winner || *request.winner == attempt.id;
    if (!wins)
        return;
    if (ended.how == AttemptEnd::Completed)
        return finish(request.id, attempt.id, out);
    request.run = combined(request.run, runStateAfter(ended.how));
    request.winner.reset();
    request.delivered += ended.tokens;
    request.failedOn.push_back(attempt.backend);
    if (request.attempts.empty())
        sendSomewhere(request, now, out);
}

void ChatPart::sendSomewhere(ChatRequest &request, TimePoint now, Outbox &out)
{
    const ModelId &model = request.detail.model;
    if (now >= request.deadline)
        return giveUp(request, {CallerError::OutOfContract, "the request's time ran out", {}}, out);
    const auto engines = enginesServing(model, m_context.fleet);
    if (engines.empty()) {
        const std::string text = "no engine serves model \"" + model.value() + '"';
        return giveUp(request, {CallerError::NoBackend, text, kRetryAfter}, out);
    }
    if (request.failedOn.size() < kMaxFailures) {
        for (const BackendView *engine : ranked(affinityKey(request.detail), engines)) {
            if (!request.hasFailedOn(engine->id))
                return send(request, *engine, now, out);
        }
    }
    const std::string text = "every engine that was tried failed the request";
    giveUp(request, {CallerError::BackendFailed, text, kRetryAfter}, out);
}

void ChatPart::send(ChatRequest &request, const BackendView &engine, TimePoint now, Outbox &out)
{
    SendToBackend action;
    action.attempt = m_context.ids.nextAttempt();
    action.request = request.id;
    action.backend = engine.id;
    action.address = engine.address;
    action.resumeAt = request.delivered;
    action.timeout = request.deadline - now;
    request.attempts.push_back({action.attempt, engine.id, now, 0, false});
    out.push(std::move(action));
}

void ChatPart::cancelOthers(ChatRequest &request, AttemptId kept, Outbox &out)
{
    for (ChatAttempt &attempt : request.attempts) {
        if (attempt.id == kept || attempt.cancelled)
            continue;
        attempt.cancelled = true;
        out.push(CancelAttempt{attempt.id});
    }
}

void ChatPart::finish(const RequestId &id, AttemptId winner, Outbox &out)
{
    const auto found = m_requests.find(id);
    cancelOthers(found->second, winner, out);
    AnswerCaller answer;
    answer.request = id;
    answer.outcome = Outcome::Answered;
    answer.attempt = winner;
    out.push(std::move(answer));
    m_requests.erase(found);
}

void ChatPart::giveUp(ChatRequest &request, const Refusal &reason, Outbox &out)
{
    cancelOthers(request, AttemptId(), out);
    AnswerCaller answer;
    answer.request = request.id;
    answer.outcome = outcomeOf(request.run, false);
    answer.error = reason.error;
    answer.text = reason.text;
    answer.retryAfter = reason.retryAfter;
    const std::string fields = "request=" + request.id.value() + " plan=" + request.plan.value()
        + " customer=" + request.customer.value() + " text=\"" + reason.text + '"';
    out.push(WriteLogLine{Severity::Warning, "chat-given-up", fields});
    out.push(std::move(answer));
    m_requests.erase(RequestId(request.id));
}

TimePoint ChatPart::nextWakeUp() const
{
    return m_prober.nextWakeUp();
}

void ChatPart::dump(nlohmann::json &out, TimePoint now) const
{
    (void)now;
    out = {{"inFlight", m_requests.size()}};
}

} // namespace comfrey
