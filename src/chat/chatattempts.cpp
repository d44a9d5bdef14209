// Chats: finding engines, sending, progress, hedges and the ends of attempts.
#include <algorithm>
#include <cmath>
#include <utility>

#include "chat/chatpart.h"
#include "placement/ranking.h"

namespace comfrey {

namespace {

constexpr std::size_t kMaxFailures = 6; ///< Engines that may fail one request.
constexpr Tokens kClearingTokens = 8;   ///< New tokens after which a suspect has run well.
constexpr int kServerErrors = 500;      ///< HTTP status from which an engine's answer is a failure.
constexpr double kNoticeFrom = 2;       ///< Latency over the usual one that the home hears of.
constexpr double kQuarters = 4;
constexpr double kMostQuarters = 255;
constexpr Duration kLeastWatch = milliseconds(5);

std::uint8_t quartersOf(double slowness)
{
    if (slowness <= 0)
        return 0;
    return static_cast<std::uint8_t>(
        std::clamp(std::round(slowness * kQuarters), 1.0, kMostQuarters));
}

} // namespace

void ChatPart::pump(TimePoint now, Outbox &out)
{
    for (const RequestId &id : m_queue.takeExpired(now)) {
        if (ChatRequest *request = requestOf(id))
            giveUp(*request, late(*request, now), now, out);
    }
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        ChatRequest &request = m_requests.at(m_deadlines.begin()->second);
        const bool running = !request.attempts.empty();
        const Refusal unfinished{CallerError::OutcomeUnknown, "no whole answer came in time", {}};
        giveUp(request, running ? unfinished : late(request, now), now, out);
    }
    for (bool more = true; more;) {
        const auto ready = m_queue.takeReady();
        for (const RequestId &id : ready) {
            if (ChatRequest *request = requestOf(id))
                search(*request, now, out);
        }
        const auto placements = m_placer.takePlacements();
        for (const Placement &placement : placements)
            onPlacement(placement, now, out);
        more = !ready.empty() || !placements.empty();
    }
}

void ChatPart::search(ChatRequest &request, TimePoint now, Outbox &out)
{
    PlacementQuery query;
    query.request = request.id;
    query.key = affinityKey(request.detail);
    query.model = request.detail.model;
    query.promptTokens = request.detail.promptTokens;
    query.exclude = request.failedOn;
    query.options.priority = request.priority;
    query.options.withinShare =
        request.run != RunState::NotSent || m_queue.isWithinShare(request.id);
    query.options.suspect = m_quarantine.isSuspect(request.detail.fingerprint, now);
    request.search = m_placer.find(query, now, out);
}

void ChatPart::onPlacement(const Placement &placement, TimePoint now, Outbox &out)
{
    ChatRequest *request = requestOf(placement.request);
    const bool first = request != nullptr && request->search == placement.search;
    const bool second = request != nullptr && request->hedgeSearch == placement.search;
    if (!first && !second) {
        if (placement.found)
            m_placer.ended(placement.attempt, 0, now, out);
        return;
    }
    (first ? request->search : request->hedgeSearch).reset();
    if (placement.found)
        return send(*request, placement, second, now, out);
    if (first)
        giveUp(*request, noEngineLeft(*request), now, out);
}

void ChatPart::send(ChatRequest &request, const Placement &placement, bool hedge, TimePoint now,
                    Outbox &out)
{
    const BackendView *engine = m_context.fleet.backend(placement.engine);
    if (engine == nullptr) {
        m_placer.ended(placement.attempt, 0, now, out);
        return hedge ? void() : search(request, now, out);
    }
    m_queue.granted(request.id, now);
    m_placer.setWaiting(request.detail.model, m_queue.waitingFor(request.detail.model));
    SendToBackend action;
    action.attempt = placement.attempt;
    action.request = request.id;
    action.backend = engine->id;
    action.address = engine->address;
    action.priority = request.priority;
    action.resumeAt = request.delivered;
    action.timeout = request.deadline - now;
    action.importKvFrom = placement.importFrom;
    ChatAttempt &attempt = m_attempts[placement.attempt];
    attempt.id = placement.attempt;
    attempt.request = request.id;
    attempt.backend = engine->id;
    attempt.sentAt = now;
    attempt.lastTokensAt = now;
    attempt.hedge = hedge;
    request.attempts.push_back(attempt.id);
    const auto delay = m_health.hedgeDelay(request.detail.promptTokens);
    if (delay && request.detail.streamed)
        m_watched.emplace(now + std::max(*delay, kLeastWatch), attempt.id);
    out.push(std::move(action));
}

// Looks at attempts whose first token is overdue.
void ChatPart::watch(TimePoint now, Outbox &out)
{
    while (!m_watched.empty() && m_watched.begin()->first <= now) {
        const AttemptId id = m_watched.begin()->second;
        m_watched.erase(m_watched.begin());
        const auto found = m_attempts.find(id);
        if (found == m_attempts.end() || found->second.cancelled || found->second.tokens != 0)
            continue;
        if (ChatRequest *request = requestOf(found->second.request))
            onOverdue(found->second, *request, now, out);
    }
}

void ChatPart::onOverdue(ChatAttempt &attempt, ChatRequest &request, TimePoint now, Outbox &out)
{
    const Duration waited = now - attempt.sentAt;
    const Tokens prompt = request.detail.promptTokens;
    const auto ratio = m_health.firstTokenRatio(prompt, waited);
    m_health.onOverdue(attempt.backend, prompt, waited, now);
    if (ratio && *ratio >= kNoticeFrom)
        m_placer.noticeSlow(attempt.backend, *ratio, now, out);
    m_watched.emplace(now + std::max(waited, kLeastWatch), attempt.id);
    if (!attempt.hedge)
        hedge(request, attempt.backend, now, out);
}

void ChatPart::hedge(ChatRequest &request, const BackendId &engine, TimePoint now, Outbox &out)
{
    const bool possible = !request.hedged && !request.winner && !request.search
        && m_placer.asksForSlots() && request.priority != Priority::Long
        && !m_quarantine.isSuspect(request.detail.fingerprint, now)
        && m_quarantine.remainingPrefixRefusal(request.detail.sharedPrefix, now) == Duration(0);
    if (!possible || !m_hedgeBudget.tryWithdraw())
        return;
    request.hedged = true;
    ++m_hedges;
    PlacementQuery query;
    query.request = request.id;
    query.key = affinityKey(request.detail);
    query.model = request.detail.model;
    query.exclude = request.failedOn;
    query.exclude.push_back(engine);
    query.options.priority = request.priority;
    query.options.mayWait = false;
    request.hedgeSearch = m_placer.find(query, now, out);
}

void ChatPart::onProgress(const AttemptProgress &progress, TimePoint now, Outbox &out)
{
    const auto found = m_attempts.find(progress.attempt);
    ChatRequest *request = requestOf(progress.request);
    if (found == m_attempts.end() || request == nullptr || found->second.cancelled)
        return;
    ChatAttempt &attempt = found->second;
    if (progress.tokens <= attempt.tokens)
        return;
    if (attempt.tokens == 0) {
        attempt.answerBegunAt = now;
        onFirstToken(attempt, *request, progress.cachedPromptTokens, now, out);
    } else {
        const Duration perToken = (now - attempt.lastTokensAt) / (progress.tokens - attempt.tokens);
        const auto ratio = m_health.perTokenRatio(perToken);
        attempt.slowness = std::max(attempt.slowness, ratio.value_or(0));
        m_health.onTokenInterval(attempt.backend, perToken, now);
    }
    attempt.tokens = progress.tokens;
    attempt.lastTokensAt = now;
    if (now - attempt.answerBegunAt >= CrashAttribution::kAnswerStart)
        m_quarantine.onSoundAnswer(request->detail.sharedPrefix, attempt.answerBegunAt, now, out);
    request->priority = m_lengths.corrected(request->priority, request->delivered + attempt.tokens);
    if (attempt.tokens >= kClearingTokens)
        clearSuspect(*request);
}

// The request got past the position at which it broke with an engine.
void ChatPart::clearSuspect(ChatRequest &request)
{
    if (request.brokenEngines == 0)
        return;
    request.brokenEngines = 0;
    m_quarantine.onRequestSucceeded(request.detail.fingerprint);
}

void ChatPart::onFirstToken(ChatAttempt &attempt, ChatRequest &request, Tokens cached,
                            TimePoint now, Outbox &out)
{
    const Tokens prompt = request.detail.promptTokens;
    const Tokens computed = prompt > cached ? prompt - cached : 1;
    const Duration waited = now - attempt.sentAt;
    const double ratio = m_health.firstTokenRatio(computed, waited).value_or(0);
    attempt.slowness = std::max(attempt.slowness, ratio);
    m_health.onFirstToken(attempt.backend, computed, waited, now);
    if (request.winner)
        return;
    request.winner = attempt.id;
    cancelOthers(request, attempt.id, now, out);
}

void ChatPart::onEnded(const AttemptEnded &ended, TimePoint now, Outbox &out)
{
    const auto found = m_attempts.find(ended.attempt);
    if (found == m_attempts.end())
        return;
    const ChatAttempt attempt = found->second;
    m_attempts.erase(found);
    m_placer.ended(attempt.id, quartersOf(attempt.slowness), now, out);
    ChatRequest *request = requestOf(attempt.request);
    if (request == nullptr)
        return;
    std::erase(request->attempts, attempt.id);
    const bool decides = request->winner ? *request->winner == attempt.id : !attempt.cancelled;
    if (!decides)
        return;
    const bool completed = ended.how == AttemptEnd::Completed && ended.status < kServerErrors;
    if (!completed)
        return onFailed(*request, attempt, ended, now, out);
    m_health.onSuccess(attempt.backend);
    m_quarantine.onSoundAnswer(
        request->detail.sharedPrefix,
        attempt.answerBegunAt == TimePoint::min() ? now : attempt.answerBegunAt, now, out);
    m_quarantine.onRequestSucceeded(request->detail.fingerprint);
    m_lengths.learn(request->customer, request->detail, request->delivered + ended.tokens);
    m_placer.served(affinityKey(request->detail), request->detail.model, attempt.backend);
    finish(*request, attempt.id, now, out);
}

void ChatPart::onFailed(ChatRequest &request, const ChatAttempt &attempt, const AttemptEnded &ended,
                        TimePoint now, Outbox &out)
{
    const bool sent = runStateAfter(ended.how) > RunState::RefusedUnstarted;
    request.run = combined(request.run, runStateAfter(ended.how));
    if (request.winner == attempt.id)
        request.delivered += ended.tokens;
    request.winner.reset();
    request.failedOn.push_back(attempt.backend);
    if (!ended.backendLeaving)
        m_health.onFailure(attempt.backend, now);
    const bool broken =
        ended.how == AttemptEnd::BrokenBeforeAnswer || ended.how == AttemptEnd::BrokenInAnswer;
    if (ended.tokens >= kClearingTokens)
        clearSuspect(request);
    if (broken && !onBroken(request, attempt, now, out))
        return;
    if (ended.how == AttemptEnd::TimedOut && now >= request.deadline)
        return giveUp(request, {CallerError::OutcomeUnknown, "the engine gave no whole answer", {}},
                      now, out);
    if (!request.attempts.empty() || request.search)
        return;
    const bool affordable = !sent || retryBudget(request.plan).tryWithdraw();
    if (request.failedOn.size() >= kMaxFailures || !affordable)
        return giveUp(request, noEngineLeft(request), now, out);
    ++m_retries;
    request.hedged = false;
    out.push(WriteLogLine{Severity::Info, "chat-retried",
                          fieldsOf(request) + " engine=" + attempt.backend.value()
                              + " resume=" + std::to_string(request.delivered)});
    search(request, now, out);
}

// False if the request was given up, because it broke too many engines.
bool ChatPart::onBroken(ChatRequest &request, const ChatAttempt &attempt, TimePoint now,
                        Outbox &out)
{
    const Fingerprint fingerprint = request.detail.fingerprint;
    ++request.brokenEngines;
    const bool hasGoneOn = attempt.answerBegunAt != TimePoint::min()
        && now - attempt.answerBegunAt >= CrashAttribution::kAnswerStart;
    m_quarantine.onCrash({fingerprint, hasGoneOn ? PrefixHash() : request.detail.sharedPrefix,
                          attempt.backend, attempt.sentAt},
                         now, out);
    const Duration prefixRefusal =
        m_quarantine.remainingPrefixRefusal(request.detail.sharedPrefix, now);
    if (prefixRefusal > Duration(0)) {
        giveUp(request,
               {CallerError::Quarantined,
                "requests with this system prompt crashed the engines that ran them",
                prefixRefusal},
               now, out);
        return false;
    }
    if (!m_quarantine.isRefused(fingerprint, now))
        return true;
    giveUp(request,
           {CallerError::Quarantined, "the request crashed the engines that ran it",
            m_quarantine.remainingRefusal(fingerprint, now)},
           now, out);
    return false;
}

} // namespace comfrey
