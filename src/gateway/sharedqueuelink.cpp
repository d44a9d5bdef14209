// Requests for leases, and the queues of the queue owner. On the wire a lease is called a place
// (wire::PlaceAskT, wire::PlaceUse, /place, metric and log names) and a lease request a wish; this
// file translates between the two.
#include "gateway/sharedqueuelink.h"

#include <algorithm>
#include <utility>

#include "gateway/flatbuffercodec.h"
#include "placement/ranking.h"
#include "traffic/callerlistener.h"

namespace comfrey {

namespace {

/// Time for a router to poll again after the answer Later; then its request is dropped.
constexpr Duration kNextPollTimeout = milliseconds(400);
constexpr Duration kReleaseTimeout = milliseconds(500);   ///< Of the call that returns a lease.
constexpr Duration kRetryAfterQueued = milliseconds(800); ///< About a burst of requests.
constexpr std::size_t kMaxWithdrawn = 1024; ///< Some seconds of withdrawals of all routers.
constexpr Duration kCountsLogInterval = milliseconds(5000);

using Verdict = LeaseReply::Verdict;

LeaseOutcome fromWire(wire::PlaceUse use)
{
    switch (use) {
    case wire::PlaceUse::Unused:
        return LeaseOutcome::Unused;
    case wire::PlaceUse::Answered:
        return LeaseOutcome::Answered;
    case wire::PlaceUse::NotRun:
        return LeaseOutcome::NotRun;
    case wire::PlaceUse::Failed:
        return LeaseOutcome::Failed;
    case wire::PlaceUse::Unreachable:
        return LeaseOutcome::Unreachable;
    }
    return LeaseOutcome::Unused;
}

wire::PlaceUse toWire(LeaseOutcome outcome)
{
    switch (outcome) {
    case LeaseOutcome::Unused:
        return wire::PlaceUse::Unused;
    case LeaseOutcome::Answered:
        return wire::PlaceUse::Answered;
    case LeaseOutcome::NotRun:
        return wire::PlaceUse::NotRun;
    case LeaseOutcome::Failed:
        return wire::PlaceUse::Failed;
    case LeaseOutcome::Unreachable:
        return wire::PlaceUse::Unreachable;
    }
    return wire::PlaceUse::Unused;
}

std::uint32_t wholeMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, duration.count() / 1000));
}

wire::PlaceAskT pollFor(const LeaseRequirements &requirements, std::uint64_t requestId)
{
    wire::PlaceAskT poll;
    poll.wish = requestId;
    poll.service = requirements.service.value();
    poll.organisation = requirements.organisation;
    poll.priority = requirements.priority;
    poll.onTimeMs = wholeMilliseconds(requirements.onTimeWithin);
    poll.limitMs = wholeMilliseconds(requirements.answerWithin);
    poll.excluded = requirements.excluded;
    poll.fingerprint = requirements.fingerprint;
    poll.callerMs = wholeMilliseconds(requirements.callerWithin);
    poll.waitedMs = wholeMilliseconds(requirements.waited);
    poll.isRetry = requirements.isRetry;
    return poll;
}

LeaseRequest leaseRequestFrom(const wire::PlaceAskT &poll, TimePoint now)
{
    LeaseRequest request;
    request.id = poll.wish;
    request.organisation = poll.organisation;
    request.priority = poll.priority;
    request.onTimeDeadline = now + milliseconds(poll.onTimeMs);
    request.answerDeadline = now + milliseconds(poll.limitMs);
    request.excluded = poll.excluded;
    request.fingerprint = poll.fingerprint;
    request.callerTime = milliseconds(poll.callerMs);
    request.waited = milliseconds(poll.waitedMs);
    request.isRetry = poll.isRetry;
    return request;
}

} // namespace

SharedQueueLink::SharedQueueLink(SharedQueueLinkDependencies dependencies)
    : m_dependencies(std::move(dependencies)), m_pollTimer(m_dependencies.loop),
      // The start time keeps request ids of successive runs of one router apart.
      m_lastRequestId(hashOf(m_dependencies.self.name
                             + std::to_string(m_dependencies.clock().time_since_epoch().count())))
{ }

std::optional<RouterInfo> SharedQueueLink::queueOwner(TimePoint now) const
{
    return m_dependencies.routers.mostPreferred([this, now](const RouterInfo &router) {
        if (router.name == m_dependencies.self.name)
            return !m_stopping;
        return !m_ownerHealth.isSkipped(router.address, now);
    });
}

bool SharedQueueLink::isShared(const ServiceName &service, TimePoint now) const
{
    // With at least one slot per router on average, routers choose well enough without a shared
    // queue.
    std::size_t slots = 0;
    for (const auto &replica : m_dependencies.replicas.serving(service))
        slots += replica->load.slots();
    return slots > 0 && slots < m_dependencies.routers.size() && queueOwner(now);
}

void SharedQueueLink::requestLease(const LeaseRequirements &requirements, TimePoint now,
                                   Handler handler)
{
    LocalRequest request;
    request.poll = pollFor(requirements, ++m_lastRequestId);
    request.answerDeadline = now + requirements.answerWithin;
    request.onTimeDeadline = now + requirements.onTimeWithin;
    request.handler = std::move(handler);
    request.callerDeadline = now + requirements.callerWithin;
    request.requestedAt = now;
    request.arrivedAt = now - requirements.waited;
    submit(std::move(request), now);
}

void SharedQueueLink::submit(LocalRequest request, TimePoint now)
{
    const auto owner = queueOwner(now);
    if (!owner) {
        request.handler({});
        return;
    }
    if (owner->name != m_dependencies.self.name) {
        pollOwner(*owner, std::move(request), now);
        return;
    }
    if (now - request.requestedAt >= QueueOwnerHealth::kUndecidedTime) {
        request.handler({});
        return;
    }
    refreshTimes(request, now);
    const ServiceName service(request.poll.service);
    WaitingRequest &waiting = m_waitingRequests[request.poll.wish];
    waiting.service = service;
    waiting.handler = std::move(request.handler);
    refreshedQueue(service).enqueue(leaseRequestFrom(request.poll, now), now);
    deliverDecisions(service, now);
}

HttpCaller::Call SharedQueueLink::makeCall(const BackendConnection::Endpoint &to,
                                           const wire::PlaceAskT &message)
{
    HttpCaller::Call call;
    call.to = to;
    call.method = "POST";
    call.target = kTarget;
    call.contentType = "application/octet-stream";
    call.body = encodeFlatBuffer<wire::PlaceAsk>(message);
    return call;
}

void SharedQueueLink::refreshTimes(LocalRequest &request, TimePoint now)
{
    request.poll.limitMs = wholeMilliseconds(request.answerDeadline - now);
    request.poll.onTimeMs = wholeMilliseconds(request.onTimeDeadline - now);
    request.poll.waitedMs = wholeMilliseconds(now - request.arrivedAt);
    if (request.poll.callerMs != 0)
        request.poll.callerMs = wholeMilliseconds(request.callerDeadline - now);
}

void SharedQueueLink::pollOwner(const RouterInfo &owner, LocalRequest request, TimePoint now)
{
    const auto endpoint = parseEndpoint(owner.address);
    const auto timeout = QueueOwnerHealth::pollTimeout(
        {now - request.requestedAt, request.answerDeadline - now, request.isQueued});
    if (!endpoint || !timeout) {
        decideAlone(owner, request);
        return;
    }
    refreshTimes(request, now);
    HttpCaller::Call call = makeCall(*endpoint, request.poll);
    call.timeout = *timeout;
    // Shared because std::function requires a copyable handler.
    const auto shared = std::make_shared<LocalRequest>(std::move(request));
    m_dependencies.caller.start(std::move(call), [this, owner, shared](const CallAnswer &answer) {
        onPollAnswer(owner, std::move(*shared), answer);
    });
}

void SharedQueueLink::decideAlone(const RouterInfo &owner, const LocalRequest &request)
{
    LeaseReply reply;
    if (request.isQueued) {
        // The queue had no room for it, and the rest of its time is too short for an answer.
        withdraw(owner, request);
        reply.verdict = Verdict::Refused;
        reply.retryAfter = kRetryAfterQueued;
    }
    request.handler(reply);
}

void SharedQueueLink::onUnresponsive(const RouterInfo &owner, const CallAnswer &answer,
                                     TimePoint now)
{
    if (m_ownerHealth.isSkipped(owner.address, now))
        return;
    if (answer.status == 0 && answer.wasSent)
        m_ownerHealth.onSilent(owner.address, now);
    else
        m_ownerHealth.onGone(owner.address, now);
    m_dependencies.metrics.count("comfrey_place_keeper_lost_total", "");
    LogLine(m_dependencies.log, "place-keeper-lost", now)
        .add("router", owner.name)
        .add("status", answer.status)
        .add("reason",
             answer.status == 0
                 ? std::string_view(answer.problem)
                 : std::string_view("the router is stopping or sent no valid answer"));
}

void SharedQueueLink::onPollAnswer(const RouterInfo &owner, LocalRequest request,
                                   const CallAnswer &answer)
{
    const TimePoint now = m_dependencies.clock();
    const auto message =
        answer.status == 200 ? decodeFlatBuffer<wire::PlaceAnswer>(answer.body) : std::nullopt;
    if (!message && request.isQueued
        && request.answerDeadline - now <= QueueOwnerHealth::kLastPlacementTime) {
        // The poll ended before its time, so it does not show that the owner is silent.
        decideAlone(owner, request);
        return;
    }
    if (!message) {
        onUnresponsive(owner, answer, now);
        if (answer.wasSent)
            withdraw(owner, request);
        request.isQueued = false;
        submit(std::move(request), now);
        return;
    }
    m_ownerHealth.onAnswered(owner.address);
    LeaseReply reply;
    switch (message->verdict) {
    case wire::PlaceVerdict::Later:
        request.isQueued = true;
        pollOwner(owner, std::move(request), now);
        return;
    case wire::PlaceVerdict::Granted:
        reply.verdict = Verdict::Granted;
        reply.lease = {owner.address, ServiceName(request.poll.service), message->place};
        reply.server = message->server;
        break;
    case wire::PlaceVerdict::Refused:
        reply.verdict = Verdict::Refused;
        reply.retryAfter = milliseconds(message->retryMs);
        break;
    case wire::PlaceVerdict::Unknown:
        break;
    }
    request.handler(reply);
}

void SharedQueueLink::withdraw(const RouterInfo &owner, const LocalRequest &request)
{
    const auto endpoint = parseEndpoint(owner.address);
    if (!endpoint)
        return;
    wire::PlaceAskT message;
    message.service = request.poll.service;
    message.withdrawn.push_back(request.poll.wish);
    HttpCaller::Call call = makeCall(*endpoint, message);
    call.timeout = kReleaseTimeout;
    // If the call fails, a lease that was granted meanwhile expires.
    m_dependencies.caller.start(std::move(call), [](const CallAnswer &) {});
}

void SharedQueueLink::onWithdrawn(std::uint64_t requestId, const ServiceName &service,
                                  TimePoint now)
{
    ServiceQueue &queue = refreshedQueue(service);
    m_waitingRequests.erase(requestId);
    queue.withdraw(requestId);
    queue.releaseUnusedOf(requestId, now);
    m_withdrawn.push_back(requestId);
    if (m_withdrawn.size() > kMaxWithdrawn)
        m_withdrawn.pop_front();
    deliverDecisions(service, now);
}

void SharedQueueLink::releaseLease(const Lease &lease, LeaseOutcome outcome, TimePoint now)
{
    if (lease.queueOwner.empty())
        return;
    if (lease.queueOwner == m_dependencies.self.address) {
        refreshedQueue(lease.service).release(lease.id, outcome, now);
        deliverDecisions(lease.service, now);
        return;
    }
    const auto endpoint = parseEndpoint(lease.queueOwner);
    if (!endpoint)
        return;
    wire::PlaceAskT message;
    auto freed = std::make_unique<wire::PlaceFreeT>();
    freed->service = lease.service.value();
    freed->place = lease.id;
    freed->use = toWire(outcome);
    message.freed.push_back(std::move(freed));
    HttpCaller::Call call = makeCall(*endpoint, message);
    call.timeout = kReleaseTimeout;
    // If the call fails, the lease expires at the queue owner.
    m_dependencies.caller.start(std::move(call), [](const CallAnswer &) {});
}

void SharedQueueLink::onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead,
                                std::string body)
{
    const TimePoint now = m_dependencies.clock();
    const auto message = decodeFlatBuffer<wire::PlaceAsk>(body);
    if (!message) {
        caller->respond(400, {{"Content-Type", "text/plain"}}, "the body is no PlaceAsk\n", true);
        return;
    }
    for (const auto &freed : message->freed) {
        const ServiceName service(freed->service);
        refreshedQueue(service).release(freed->place, fromWire(freed->use), now);
        deliverDecisions(service, now);
    }
    for (const std::uint64_t requestId : message->withdrawn)
        onWithdrawn(requestId, ServiceName(message->service), now);
    if (message->wish != 0 && m_stopping && !m_waitingRequests.contains(message->wish))
        caller->respond(503, {{"Content-Type", "text/plain"}}, "this router stops\n", true);
    else if (message->wish != 0)
        onPoll(caller, *message, now);
    else
        answer(*caller, {});
}

void SharedQueueLink::onPoll(const std::shared_ptr<CallerConnection> &caller,
                             const wire::PlaceAskT &poll, TimePoint now)
{
    const ServiceName service(poll.service);
    const auto known = m_waitingRequests.find(poll.wish);
    if (known != m_waitingRequests.end()) {
        known->second.caller = caller;
        known->second.pollDeadline = now + QueueOwnerHealth::kLongPollTime;
        if (const auto decision = std::exchange(known->second.decision, std::nullopt)) {
            deliver(known->second, *decision, now);
            m_waitingRequests.erase(known);
        } else {
            setPollTimer(known->second.pollDeadline, now);
        }
        return;
    }
    ServiceQueue &queue = refreshedQueue(service);
    const bool isWithdrawn =
        std::find(m_withdrawn.begin(), m_withdrawn.end(), poll.wish) != m_withdrawn.end();
    if (!queue.hasServers() || isWithdrawn) {
        wire::PlaceAnswerT unknown;
        unknown.verdict = wire::PlaceVerdict::Unknown;
        answer(*caller, unknown);
        return;
    }
    WaitingRequest &waiting = m_waitingRequests[poll.wish];
    waiting.service = service;
    waiting.caller = caller;
    waiting.pollDeadline = now + QueueOwnerHealth::kFirstPollTime;
    setPollTimer(waiting.pollDeadline, now);
    queue.enqueue(leaseRequestFrom(poll, now), now);
    deliverDecisions(service, now);
}

ServiceQueue &SharedQueueLink::refreshedQueue(const ServiceName &service)
{
    ServiceQueue &queue = m_queues[service];
    std::vector<QueueServer> servers;
    for (const auto &replica : m_dependencies.replicas.serving(service))
        servers.push_back({replica->incarnationHash, replica->load.slots()});
    queue.setServers(servers);
    return queue;
}

void SharedQueueLink::deliverDecisions(const ServiceName &service, TimePoint now)
{
    const std::vector<LeaseDecision> decisions = m_queues[service].decide(now);
    reportCounts(service, now);
    for (const LeaseDecision &decision : decisions) {
        const auto found = m_waitingRequests.find(decision.requestId);
        if (found == m_waitingRequests.end()) {
            m_queues[service].release(decision.leaseId, LeaseOutcome::Unused, now);
            continue;
        }
        if (decision.leaseId == 0)
            m_dependencies.metrics.count("comfrey_places_refused_total",
                                         "service=\"" + service.value() + "\"");
        WaitingRequest waiting = std::move(found->second);
        if (!waiting.handler && !waiting.caller) {
            waiting.decision = decision;
            found->second = std::move(waiting);
            continue;
        }
        m_waitingRequests.erase(found);
        deliver(waiting, decision, now);
    }
}

void SharedQueueLink::reportCounts(const ServiceName &service, TimePoint now)
{
    const ServiceQueue::Counts &counts = m_queues[service].counts();
    ReportedCounts &reported = m_reported[service];
    const std::string label = "service=\"" + service.value() + "\"";
    const auto add = [&](const char *name, std::uint64_t value, std::uint64_t &counted) {
        if (value != counted)
            m_dependencies.metrics.count(name, label, value - std::exchange(counted, value));
    };
    add("comfrey_places_refused_at_once_total", counts.refusedAtOnce,
        reported.counted.refusedAtOnce);
    add("comfrey_places_displaced_total", counts.displaced, reported.counted.displaced);
    add("comfrey_places_refused_late_total", counts.refusedLate, reported.counted.refusedLate);
    add("comfrey_place_returns_total", counts.cameBack, reported.counted.cameBack);
    add("comfrey_place_returns_early_total", counts.cameBackEarly, reported.counted.cameBackEarly);
    ServiceQueue::Counts &logged = reported.logged;
    const bool hasRefused = counts.refusedAtOnce != logged.refusedAtOnce
        || counts.displaced != logged.displaced || counts.refusedLate != logged.refusedLate;
    if (!hasRefused
        || (reported.loggedAt != TimePoint::min() && now < reported.loggedAt + kCountsLogInterval))
        return;
    LogLine(m_dependencies.log, "places-refused", now)
        .add("service", service.value())
        .add("at_once", static_cast<std::int64_t>(counts.refusedAtOnce - logged.refusedAtOnce))
        .add("displaced", static_cast<std::int64_t>(counts.displaced - logged.displaced))
        .add("late", static_cast<std::int64_t>(counts.refusedLate - logged.refusedLate))
        .add("came_back", static_cast<std::int64_t>(counts.cameBack - logged.cameBack))
        .add("came_back_early",
             static_cast<std::int64_t>(counts.cameBackEarly - logged.cameBackEarly))
        .add("waiting", static_cast<std::int64_t>(m_queues[service].waitingCount()));
    logged = counts;
    reported.loggedAt = now;
}

void SharedQueueLink::deliver(WaitingRequest &waiting, const LeaseDecision &decision, TimePoint now)
{
    if (waiting.handler) {
        LeaseReply reply;
        reply.verdict = decision.leaseId == 0 ? Verdict::Refused : Verdict::Granted;
        reply.lease = {m_dependencies.self.address, waiting.service, decision.leaseId};
        reply.server = decision.server;
        reply.retryAfter = decision.retryAfter;
        waiting.handler(reply);
        return;
    }
    if (!waiting.caller->isOpen()) {
        m_queues[waiting.service].release(decision.leaseId, LeaseOutcome::Unused, now);
        return;
    }
    wire::PlaceAnswerT message;
    message.verdict =
        decision.leaseId == 0 ? wire::PlaceVerdict::Refused : wire::PlaceVerdict::Granted;
    message.place = decision.leaseId;
    message.server = decision.server;
    message.retryMs = wholeMilliseconds(decision.retryAfter);
    answer(*waiting.caller, message);
}

void SharedQueueLink::answer(CallerConnection &caller, const wire::PlaceAnswerT &message)
{
    if (caller.isOpen())
        caller.respond(200, {{"Content-Type", "application/octet-stream"}},
                       encodeFlatBuffer<wire::PlaceAnswer>(message));
}

void SharedQueueLink::answerDuePolls(TimePoint now)
{
    m_pollTimerAt = kNever;
    TimePoint next = kNever;
    for (auto &[requestId, waiting] : m_waitingRequests) {
        if (waiting.caller && now >= waiting.pollDeadline) {
            wire::PlaceAnswerT later;
            later.verdict = wire::PlaceVerdict::Later;
            answer(*waiting.caller, later);
            waiting.caller = nullptr;
        }
        if (waiting.caller)
            next = std::min(next, waiting.pollDeadline);
    }
    if (next != kNever)
        setPollTimer(next, now);
}

void SharedQueueLink::setPollTimer(TimePoint deadline, TimePoint now)
{
    if (deadline >= m_pollTimerAt)
        return;
    m_pollTimerAt = deadline;
    m_pollTimer.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(deadline - now));
    m_pollTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            answerDuePolls(m_dependencies.clock());
    });
}

void SharedQueueLink::tick(TimePoint now)
{
    for (auto entry = m_waitingRequests.begin(); entry != m_waitingRequests.end();) {
        WaitingRequest &waiting = entry->second;
        const bool isAbandoned =
            !waiting.handler && !waiting.caller && now >= waiting.pollDeadline + kNextPollTimeout;
        if (isAbandoned) {
            // Its router has died, or sends the request without a lease.
            ServiceQueue &queue = m_queues[waiting.service];
            queue.withdraw(entry->first);
            if (waiting.decision)
                queue.release(waiting.decision->leaseId, LeaseOutcome::Unused, now);
            entry = m_waitingRequests.erase(entry);
            continue;
        }
        ++entry;
    }
    answerDuePolls(now);
    for (auto &[service, queue] : m_queues) {
        if (queue.waitingCount() == 0)
            continue;
        refreshedQueue(service);
        deliverDecisions(service, now);
    }
}

} // namespace comfrey
