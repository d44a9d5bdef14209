// Chats: arrival, admission, and the end of requests.
#include "chat/chatpart.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "placement/ranking.h"

namespace comfrey {

namespace {

constexpr Duration kRetryAfter = milliseconds(1000);
constexpr double kHedgesSaved = 5;   ///< Most hedges at once out of the budget.
constexpr double kRetriesSaved = 20; ///< Most retries of a plan at once out of the budget.
constexpr int kLeastWaitPart = 4;    ///< A request may wait for this part of its contract at least.

} // namespace

ChatPart::ChatPart(const PartContext &context)
    : m_context(context), m_prober(context), m_health(context), m_placer(context, m_health),
      m_queue(context), m_lengths(context.settings.admission.longOutputTokens),
      m_quarantine(context), m_hedgeBudget(context.settings.health.hedgeBudget, kHedgesSaved)
{ }

void ChatPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    if (const auto *arrived = std::get_if<RequestArrived>(&event))
        onArrived(*arrived, now, out);
    else if (const auto *left = std::get_if<CallerLeft>(&event))
        onCallerLeft(*left, now, out);
    else if (const auto *progress = std::get_if<AttemptProgress>(&event))
        onProgress(*progress, now, out);
    else if (const auto *ended = std::get_if<AttemptEnded>(&event))
        onEnded(*ended, now, out);
    else if (const auto *answered = std::get_if<ProbeAnswered>(&event))
        m_placer.onReport(answered->report, out);
    m_prober.tick(now, out);
    m_placer.tick(now, out);
    m_quarantine.tick(now);
    for (const PartVerdict &verdict : m_quarantine.takeVerdicts())
        out.push(WriteLogLine{
            Severity::Info, verdict.isRefused ? "prompt-prefix-refused" : "prompt-prefix-accepted",
            "prefix=" + std::to_string(verdict.part.value())
                + " crashes=" + std::to_string(verdict.crashes)});
    watch(now, out);
    pump(now, out);
}

void ChatPart::onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now,
                         Outbox &out)
{
    if (const auto *notice = message.body.AsCrashNotice())
        m_quarantine.onNotice(*notice, from, now);
    m_placer.onMessage(from, message, now, out);
    pump(now, out);
}

ChatRequest *ChatPart::requestOf(const RequestId &id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

std::string ChatPart::fieldsOf(const ChatRequest &request)
{
    return "request=" + request.id.value() + " plan=" + request.plan.value()
        + " customer=" + request.customer.value();
}

Budget &ChatPart::retryBudget(const PlanId &plan)
{
    const double part = m_context.settings.health.retryBudget;
    return m_retryBudgets.try_emplace(plan, part, kRetriesSaved).first->second;
}

void ChatPart::onArrived(const RequestArrived &arrived, TimePoint now, Outbox &out)
{
    if (arrived.detail.kind != RequestKind::Chat || m_requests.count(arrived.request) != 0)
        return;
    ChatRequest &request = m_requests[arrived.request];
    request.id = arrived.request;
    request.detail = arrived.detail;
    request.arrivedAt = now;
    const Duration limit = milliseconds(m_context.settings.admission.requestTimeoutMs);
    request.deadline = now + std::min(limit, request.detail.callerTimeout.value_or(limit));
    m_deadlines.emplace(request.deadline, request.id);
    if (const auto refusal = admit(request, now)) {
        ++m_refusals;
        giveUp(request, *refusal, now, out);
    }
}

std::optional<Refusal> ChatPart::admit(ChatRequest &request, TimePoint now)
{
    if (auto refusal = refusalByLists(request.detail, m_context.lists))
        return refusal;
    const PlanEntry &plan = *m_context.lists.customerOf(request.detail.apiKey);
    request.customer = plan.customer;
    request.plan = plan.plan;
    request.contract = plan.contract;
    const Fingerprint fingerprint = request.detail.fingerprint;
    if (m_quarantine.isRefused(fingerprint, now))
        return Refusal{CallerError::Quarantined, "the request crashed the engines that ran it",
                       m_quarantine.remainingRefusal(fingerprint, now)};
    const PrefixHash prefix = request.detail.sharedPrefix;
    const Duration prefixRefusal = m_quarantine.remainingPrefixRefusal(prefix, now);
    if (prefixRefusal > Duration(0) && !m_quarantine.tryProbe(prefix, now))
        return Refusal{CallerError::Quarantined,
                       "requests with this system prompt crashed the engines that ran them",
                       prefixRefusal};
    if (enginesServing(request.detail.model, m_context.fleet).empty())
        return noEngineLeft(request);
    const PlanLimits &limits = m_context.lists.lists().entitlements.at(plan.plan).limits;
    if (auto refusal = m_limits.take(plan.customer, limits, m_context.fleet.routers().size(), now))
        return refusal;
    request.countedIn = true;
    m_hedgeBudget.deposit();
    retryBudget(request.plan).deposit();
    request.priority = m_lengths.predict(request.customer, request.detail);
    QueuedChat chat;
    chat.request = request.id;
    chat.customer = request.customer;
    chat.share = plan.share;
    chat.model = request.detail.model;
    chat.longWork = request.priority == Priority::Long;
    chat.waitUntil = waitLimit(request);
    auto refusal = m_queue.enter(chat, now);
    m_placer.setWaiting(chat.model, m_queue.waitingFor(chat.model));
    return refusal;
}

// Until when the request may wait for a slot and still keep its contract. Long work has more time.
TimePoint ChatPart::waitLimit(const ChatRequest &request) const
{
    const Duration contract = request.contract.firstToken;
    const Duration usual =
        m_health.medianFirstTokenLatency(request.detail.promptTokens).value_or(Duration::zero());
    Duration wait = std::max(contract / kLeastWaitPart, contract - usual);
    if (request.priority == Priority::Long)
        wait = std::chrono::duration_cast<Duration>(
            contract * static_cast<double>(m_context.settings.admission.longWaitFactor));
    return std::min(request.deadline, request.arrivedAt + wait);
}

Refusal ChatPart::noEngineLeft(const ChatRequest &request) const
{
    if (!request.failedOn.empty())
        return {CallerError::BackendFailed, "every engine that was tried failed the request",
                kRetryAfter};
    return {CallerError::NoBackend,
            "no engine serves model \"" + request.detail.model.value() + '"', kRetryAfter};
}

Refusal ChatPart::late(const ChatRequest &request, TimePoint now) const
{
    return {CallerError::OutOfContract, "the contracted time to the first token has passed",
            m_queue.retryAfter(request.detail.model, request.priority == Priority::Long, now)};
}

void ChatPart::onCallerLeft(const CallerLeft &left, TimePoint now, Outbox &out)
{
    ChatRequest *request = requestOf(left.request);
    if (request == nullptr)
        return;
    cancelOthers(*request, std::nullopt, now, out);
    forget(*request);
}

// Cancels the attempts and searches of the request, but not the kept attempt.
void ChatPart::cancelOthers(ChatRequest &request, std::optional<AttemptId> kept, TimePoint now,
                            Outbox &out)
{
    for (auto *search : {&request.search, &request.hedgeSearch}) {
        if (*search)
            m_placer.cancel(**search, now, out);
        search->reset();
    }
    for (const AttemptId id : request.attempts) {
        if (id == kept)
            continue;
        m_attempts[id].cancelled = true;
        out.push(CancelAttempt{id});
    }
    std::erase_if(request.attempts, [kept](AttemptId id) { return id != kept; });
}

void ChatPart::finish(ChatRequest &request, AttemptId winner, TimePoint now, Outbox &out)
{
    cancelOthers(request, std::nullopt, now, out);
    AnswerCaller answer;
    answer.request = request.id;
    answer.outcome = Outcome::Answered;
    answer.attempt = winner;
    out.push(std::move(answer));
    forget(request);
}

void ChatPart::giveUp(ChatRequest &request, const Refusal &reason, TimePoint now, Outbox &out)
{
    if (!request.attempts.empty())
        request.run = combined(request.run, RunState::InFlight);
    cancelOthers(request, std::nullopt, now, out);
    AnswerCaller answer;
    answer.request = request.id;
    answer.outcome = outcomeOf(request.run, false);
    answer.error = reason.error;
    answer.text = reason.text;
    answer.retryAfter = reason.retryAfter;
    out.push(WriteLogLine{Severity::Warning, "chat-given-up",
                          fieldsOf(request) + " text=\"" + reason.text + '"'});
    out.push(std::move(answer));
    forget(request);
}

void ChatPart::forget(ChatRequest &request)
{
    m_queue.leave(request.id);
    m_placer.setWaiting(request.detail.model, m_queue.waitingFor(request.detail.model));
    if (request.countedIn)
        m_limits.giveBack(request.customer);
    const auto [first, last] = m_deadlines.equal_range(request.deadline);
    const auto own =
        std::find_if(first, last, [&](const auto &item) { return item.second == request.id; });
    if (own != last)
        m_deadlines.erase(own);
    m_requests.erase(RequestId(request.id));
}

TimePoint ChatPart::nextWakeUp() const
{
    TimePoint next = std::min({m_prober.nextWakeUp(), m_placer.nextWakeUp(), m_queue.nextWakeUp(),
                               m_quarantine.nextWakeUp()});
    if (!m_watched.empty())
        next = std::min(next, m_watched.begin()->first);
    if (!m_deadlines.empty())
        next = std::min(next, m_deadlines.begin()->first);
    return next;
}

void ChatPart::dump(nlohmann::json &out, TimePoint now) const
{
    out = {{"requests", m_requests.size()},
           {"attempts", m_attempts.size()},
           {"hedges", m_hedges},
           {"retries", m_retries},
           {"refusals", m_refusals}};
    m_queue.dump(out["queue"]);
    m_placer.dump(out["placement"], now);
    m_health.dump(out["health"], now);
    m_quarantine.dump(out["quarantine"], now);
}

} // namespace comfrey
