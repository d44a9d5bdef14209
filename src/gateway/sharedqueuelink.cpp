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

/// The queue owner answers a poll within this time, which shows that it is alive. About the latency
/// objective of a request.
constexpr Duration kLongPollTimeout = milliseconds(150);
constexpr Duration kPollAnswerMargin =
    milliseconds(150); ///< For the transfer of the poll's answer.
constexpr Duration kUnresponsivePause = milliseconds(2000); // about the time of a restart
constexpr std::uint32_t kMaxPauseDoublings = 4; ///< Limits the pause; some routers never come back.
/// Queue owners tried for one request: each unresponsive one costs the request its latency
/// objective.
constexpr int kMaxOwnersAsked = 2;
/// Time for a router to poll again after the answer Later; then its request is dropped.
constexpr Duration kNextPollTimeout = milliseconds(400);
constexpr Duration kReleaseTimeout = milliseconds(500); ///< Of the call that returns a lease.

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
    : m_dependencies(std::move(dependencies)),
      // The start time keeps request ids of successive runs of one router apart.
      m_lastRequestId(hashOf(m_dependencies.self.name
                             + std::to_string(m_dependencies.clock().time_since_epoch().count())))
{ }

std::optional<RouterInfo> SharedQueueLink::queueOwner(TimePoint now) const
{
    return m_dependencies.routers.mostPreferred([this, now](const RouterInfo &router) {
        if (router.name == m_dependencies.self.name)
            return !m_stopping;
        const auto unresponsive = m_unresponsive.find(router.address);
        return unresponsive == m_unresponsive.end() || now >= unresponsive->second.skippedUntil;
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
    request.ownersLeft = kMaxOwnersAsked;
    submit(std::move(request), now);
}

void SharedQueueLink::submit(LocalRequest request, TimePoint now)
{
    const auto owner = queueOwner(now);
    if (!owner || request.ownersLeft-- == 0) {
        request.handler({});
        return;
    }
    if (owner->name != m_dependencies.self.name) {
        pollOwner(*owner, std::move(request), now);
        return;
    }
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

void SharedQueueLink::pollOwner(const RouterInfo &owner, LocalRequest request, TimePoint now)
{
    const auto endpoint = parseEndpoint(owner.address);
    if (!endpoint) {
        request.handler({});
        return;
    }
    request.poll.limitMs = wholeMilliseconds(request.answerDeadline - now);
    request.poll.onTimeMs = wholeMilliseconds(request.onTimeDeadline - now);
    HttpCaller::Call call = makeCall(*endpoint, request.poll);
    call.timeout = kLongPollTimeout + kPollAnswerMargin;
    // Shared because std::function requires a copyable handler.
    const auto shared = std::make_shared<LocalRequest>(std::move(request));
    m_dependencies.caller.start(std::move(call), [this, owner, shared](const CallAnswer &answer) {
        onPollAnswer(owner, std::move(*shared), answer);
    });
}

void SharedQueueLink::onUnresponsive(const RouterInfo &owner, const CallAnswer &answer,
                                     TimePoint now)
{
    UnresponsiveRouter &unresponsive = m_unresponsive[owner.address];
    if (now < unresponsive.skippedUntil)
        return;
    unresponsive.skippedUntil = now
        + kUnresponsivePause
            * (1U << std::min(unresponsive.consecutiveFailures, kMaxPauseDoublings));
    ++unresponsive.consecutiveFailures;
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
    if (!message) {
        onUnresponsive(owner, answer, now);
        submit(std::move(request), now);
        return;
    }
    m_unresponsive.erase(owner.address);
    LeaseReply reply;
    switch (message->verdict) {
    case wire::PlaceVerdict::Later:
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
        known->second.pollDeadline = now + kLongPollTimeout;
        if (const auto decision = std::exchange(known->second.decision, std::nullopt)) {
            deliver(known->second, *decision, now);
            m_waitingRequests.erase(known);
        }
        return;
    }
    ServiceQueue &queue = refreshedQueue(service);
    if (!queue.hasServers()) {
        wire::PlaceAnswerT unknown;
        unknown.verdict = wire::PlaceVerdict::Unknown;
        answer(*caller, unknown);
        return;
    }
    WaitingRequest &waiting = m_waitingRequests[poll.wish];
    waiting.service = service;
    waiting.caller = caller;
    waiting.pollDeadline = now + kLongPollTimeout;
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
    for (const LeaseDecision &decision : m_queues[service].decide(now)) {
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
        if (waiting.caller && now >= waiting.pollDeadline) {
            wire::PlaceAnswerT later;
            later.verdict = wire::PlaceVerdict::Later;
            answer(*waiting.caller, later);
            waiting.caller = nullptr;
        }
        ++entry;
    }
    for (auto &[service, queue] : m_queues) {
        if (queue.waitingCount() == 0)
            continue;
        refreshedQueue(service);
        deliverDecisions(service, now);
    }
}

} // namespace comfrey
