// Asks for places and the queues behind them.
#include "gateway/placelink.h"

#include <algorithm>
#include <utility>

#include "gateway/flatbuffercodec.h"
#include "placement/ranking.h"
#include "traffic/callerlistener.h"

namespace comfrey {

namespace {

constexpr Duration kHold = milliseconds(150); // shows that the keeper lives, about an objective
constexpr Duration kAskMargin = milliseconds(150);    ///< For an answer after it was held.
constexpr Duration kSilentPause = milliseconds(2000); // about a restart
constexpr std::uint32_t kMostDoublings = 4; ///< Of that pause: some routers never come back.
constexpr int kMostKeepers =
    2; ///< That are asked for one request: a silent one costs its objective.
/// For the next ask of a router that was told to ask again.
constexpr Duration kReaskLimit = milliseconds(400);
constexpr Duration kFreeTimeout = milliseconds(500); ///< Of word that a place is free.

using Verdict = PlaceReply::Verdict;

PlaceEnd fromWire(wire::PlaceUse use)
{
    switch (use) {
    case wire::PlaceUse::Unused:
        return PlaceEnd::Unused;
    case wire::PlaceUse::Answered:
        return PlaceEnd::Answered;
    case wire::PlaceUse::NotRun:
        return PlaceEnd::NotRun;
    case wire::PlaceUse::Failed:
        return PlaceEnd::Failed;
    case wire::PlaceUse::Unreachable:
        return PlaceEnd::Unreachable;
    }
    return PlaceEnd::Unused;
}

wire::PlaceUse toWire(PlaceEnd end)
{
    switch (end) {
    case PlaceEnd::Unused:
        return wire::PlaceUse::Unused;
    case PlaceEnd::Answered:
        return wire::PlaceUse::Answered;
    case PlaceEnd::NotRun:
        return wire::PlaceUse::NotRun;
    case PlaceEnd::Failed:
        return wire::PlaceUse::Failed;
    case PlaceEnd::Unreachable:
        return wire::PlaceUse::Unreachable;
    }
    return wire::PlaceUse::Unused;
}

std::uint32_t wholeMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, duration.count() / 1000));
}

wire::PlaceAskT wishOf(const PlaceRequest &request, std::uint64_t id)
{
    wire::PlaceAskT ask;
    ask.wish = id;
    ask.service = request.service.value();
    ask.organisation = request.organisation;
    ask.priority = request.priority;
    ask.onTimeMs = wholeMilliseconds(request.onTimeIn);
    ask.limitMs = wholeMilliseconds(request.limit);
    ask.excluded = request.excluded;
    return ask;
}

PlaceWish wishOf(const wire::PlaceAskT &ask, TimePoint now)
{
    PlaceWish wish;
    wish.id = ask.wish;
    wish.organisation = ask.organisation;
    wish.priority = ask.priority;
    wish.onTimeUntil = now + milliseconds(ask.onTimeMs);
    wish.until = now + milliseconds(ask.limitMs);
    wish.excluded = ask.excluded;
    return wish;
}

} // namespace

PlaceLink::PlaceLink(PlaceLinkParts parts)
    : m_parts(std::move(parts)),
      // Starts of one router do not share wishes either.
      m_lastWish(
          hashOf(m_parts.self.name + std::to_string(m_parts.clock().time_since_epoch().count())))
{ }

std::optional<KnownRouter> PlaceLink::keeper(TimePoint now) const
{
    return m_parts.routers.firstOfAll([this, now](const KnownRouter &router) {
        if (router.name == m_parts.self.name)
            return !m_stopping;
        const auto silent = m_silent.find(router.address);
        return silent == m_silent.end() || now >= silent->second.until;
    });
}

bool PlaceLink::isShared(const ServiceName &service, TimePoint now) const
{
    // A router with a place or more to itself on average places well enough alone.
    std::size_t places = 0;
    for (const auto &replica : m_parts.replicas.serving(service))
        places += replica->load.slots();
    return places > 0 && places < m_parts.routers.size() && keeper(now);
}

void PlaceLink::ask(const PlaceRequest &request, TimePoint now, Handler handler)
{
    Asking asking;
    asking.wish = wishOf(request, ++m_lastWish);
    asking.until = now + request.limit;
    asking.onTimeUntil = now + request.onTimeIn;
    asking.handler = std::move(handler);
    asking.keepersLeft = kMostKeepers;
    ask(std::move(asking), now);
}

void PlaceLink::ask(Asking asking, TimePoint now)
{
    const auto found = keeper(now);
    if (!found || asking.keepersLeft-- == 0) {
        asking.handler({});
        return;
    }
    if (found->name != m_parts.self.name) {
        askKeeper(*found, std::move(asking), now);
        return;
    }
    const ServiceName service(asking.wish.service);
    Waiting &waiting = m_waiting[asking.wish.wish];
    waiting.service = service;
    waiting.handler = std::move(asking.handler);
    queueOf(service).add(wishOf(asking.wish, now), now);
    decide(service, now);
}

HttpCaller::Call PlaceLink::callTo(const BackendConnection::Endpoint &to,
                                   const wire::PlaceAskT &ask)
{
    HttpCaller::Call call;
    call.to = to;
    call.method = "POST";
    call.target = kTarget;
    call.contentType = "application/octet-stream";
    call.body = encodeFlatBuffer<wire::PlaceAsk>(ask);
    return call;
}

void PlaceLink::askKeeper(const KnownRouter &keeper, Asking asking, TimePoint now)
{
    const auto endpoint = parseEndpoint(keeper.address);
    if (!endpoint) {
        asking.handler({});
        return;
    }
    asking.wish.limitMs = wholeMilliseconds(asking.until - now);
    asking.wish.onTimeMs = wholeMilliseconds(asking.onTimeUntil - now);
    HttpCaller::Call call = callTo(*endpoint, asking.wish);
    call.timeout = kHold + kAskMargin;
    // Shared, since a handler must be copyable.
    const auto shared = std::make_shared<Asking>(std::move(asking));
    m_parts.caller.start(std::move(call), [this, keeper, shared](const CallAnswer &answer) {
        onAnswer(keeper, std::move(*shared), answer);
    });
}

void PlaceLink::onSilent(const KnownRouter &keeper, const CallAnswer &answer, TimePoint now)
{
    Silent &silent = m_silent[keeper.address];
    if (now < silent.until)
        return;
    silent.until = now + kSilentPause * (1U << std::min(silent.times, kMostDoublings));
    ++silent.times;
    LogLine(m_parts.log, "place-keeper-lost", now)
        .add("router", keeper.name)
        .add("status", answer.status)
        .add("reason",
             answer.status == 0 ? std::string_view(answer.problem) : std::string_view("it stops"));
}

void PlaceLink::onAnswer(const KnownRouter &keeper, Asking asking, const CallAnswer &answer)
{
    const TimePoint now = m_parts.clock();
    const auto told =
        answer.status == 200 ? decodeFlatBuffer<wire::PlaceAnswer>(answer.body) : std::nullopt;
    if (!told) {
        onSilent(keeper, answer, now);
        ask(std::move(asking), now);
        return;
    }
    m_silent.erase(keeper.address);
    PlaceReply reply;
    switch (told->verdict) {
    case wire::PlaceVerdict::Later:
        askKeeper(keeper, std::move(asking), now);
        return;
    case wire::PlaceVerdict::Granted:
        reply.verdict = Verdict::Granted;
        reply.ticket = {keeper.address, ServiceName(asking.wish.service), told->place};
        reply.server = told->server;
        break;
    case wire::PlaceVerdict::Refused:
        reply.verdict = Verdict::Refused;
        reply.retryAfter = milliseconds(told->retryMs);
        break;
    case wire::PlaceVerdict::Unknown:
        break;
    }
    asking.handler(reply);
}

void PlaceLink::end(const PlaceTicket &ticket, PlaceEnd end, TimePoint now)
{
    if (ticket.keeper.empty())
        return;
    if (ticket.keeper == m_parts.self.address) {
        queueOf(ticket.service).end(ticket.place, end, now);
        decide(ticket.service, now);
        return;
    }
    const auto endpoint = parseEndpoint(ticket.keeper);
    if (!endpoint)
        return;
    wire::PlaceAskT ask;
    auto freed = std::make_unique<wire::PlaceFreeT>();
    freed->service = ticket.service.value();
    freed->place = ticket.place;
    freed->use = toWire(end);
    ask.freed.push_back(std::move(freed));
    HttpCaller::Call call = callTo(*endpoint, ask);
    call.timeout = kFreeTimeout;
    // Without an answer the place lapses at the keeper.
    m_parts.caller.start(std::move(call), [](const CallAnswer &) {});
}

void PlaceLink::onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead,
                          std::string body)
{
    const TimePoint now = m_parts.clock();
    const auto ask = decodeFlatBuffer<wire::PlaceAsk>(body);
    if (!ask) {
        caller->respond(400, {{"Content-Type", "text/plain"}}, "the body is no PlaceAsk\n", true);
        return;
    }
    for (const auto &freed : ask->freed) {
        const ServiceName service(freed->service);
        queueOf(service).end(freed->place, fromWire(freed->use), now);
        decide(service, now);
    }
    if (ask->wish != 0 && m_stopping && !m_waiting.contains(ask->wish))
        caller->respond(503, {{"Content-Type", "text/plain"}}, "this router stops\n", true);
    else if (ask->wish != 0)
        takeWish(caller, *ask, now);
    else
        answer(*caller, {});
}

void PlaceLink::takeWish(const std::shared_ptr<CallerConnection> &caller,
                         const wire::PlaceAskT &ask, TimePoint now)
{
    const ServiceName service(ask.service);
    const auto known = m_waiting.find(ask.wish);
    if (known != m_waiting.end()) {
        known->second.caller = caller;
        known->second.answerBy = now + kHold;
        if (const auto decision = std::exchange(known->second.decision, std::nullopt)) {
            tell(known->second, *decision, now);
            m_waiting.erase(known);
        }
        return;
    }
    ServiceQueue &queue = queueOf(service);
    if (!queue.hasServers()) {
        wire::PlaceAnswerT unknown;
        unknown.verdict = wire::PlaceVerdict::Unknown;
        answer(*caller, unknown);
        return;
    }
    Waiting &waiting = m_waiting[ask.wish];
    waiting.service = service;
    waiting.caller = caller;
    waiting.answerBy = now + kHold;
    queue.add(wishOf(ask, now), now);
    decide(service, now);
}

ServiceQueue &PlaceLink::queueOf(const ServiceName &service)
{
    ServiceQueue &queue = m_queues[service];
    std::vector<QueueServer> servers;
    for (const auto &replica : m_parts.replicas.serving(service))
        servers.push_back({replica->incarnationHash, replica->load.slots()});
    queue.setServers(servers);
    return queue;
}

void PlaceLink::decide(const ServiceName &service, TimePoint now)
{
    for (const PlaceDecision &decision : m_queues[service].decide(now)) {
        const auto found = m_waiting.find(decision.wish);
        if (found == m_waiting.end()) {
            m_queues[service].end(decision.place, PlaceEnd::Unused, now);
            continue;
        }
        if (decision.place == 0)
            m_parts.metrics.count("comfrey_places_refused_total",
                                  "service=\"" + service.value() + "\"");
        Waiting waiting = std::move(found->second);
        if (!waiting.handler && !waiting.caller) {
            waiting.decision = decision;
            found->second = std::move(waiting);
            continue;
        }
        m_waiting.erase(found);
        tell(waiting, decision, now);
    }
}

void PlaceLink::tell(Waiting &waiting, const PlaceDecision &decision, TimePoint now)
{
    if (waiting.handler) {
        PlaceReply reply;
        reply.verdict = decision.place == 0 ? Verdict::Refused : Verdict::Granted;
        reply.ticket = {m_parts.self.address, waiting.service, decision.place};
        reply.server = decision.server;
        reply.retryAfter = decision.retryAfter;
        waiting.handler(reply);
        return;
    }
    if (!waiting.caller->isOpen()) {
        m_queues[waiting.service].end(decision.place, PlaceEnd::Unused, now);
        return;
    }
    wire::PlaceAnswerT told;
    told.verdict = decision.place == 0 ? wire::PlaceVerdict::Refused : wire::PlaceVerdict::Granted;
    told.place = decision.place;
    told.server = decision.server;
    told.retryMs = wholeMilliseconds(decision.retryAfter);
    answer(*waiting.caller, told);
}

void PlaceLink::answer(CallerConnection &caller, const wire::PlaceAnswerT &told)
{
    if (caller.isOpen())
        caller.respond(200, {{"Content-Type", "application/octet-stream"}},
                       encodeFlatBuffer<wire::PlaceAnswer>(told));
}

void PlaceLink::tick(TimePoint now)
{
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        Waiting &waiting = entry->second;
        const bool isOver =
            !waiting.handler && !waiting.caller && now >= waiting.answerBy + kReaskLimit;
        if (isOver) {
            // Its router has died, or places the request alone.
            ServiceQueue &queue = m_queues[waiting.service];
            queue.withdraw(entry->first);
            if (waiting.decision)
                queue.end(waiting.decision->place, PlaceEnd::Unused, now);
            entry = m_waiting.erase(entry);
            continue;
        }
        if (waiting.caller && now >= waiting.answerBy) {
            wire::PlaceAnswerT later;
            later.verdict = wire::PlaceVerdict::Later;
            answer(*waiting.caller, later);
            waiting.caller = nullptr;
        }
        ++entry;
    }
    for (auto &[service, queue] : m_queues) {
        if (queue.waiting() == 0)
            continue;
        queueOf(service);
        decide(service, now);
    }
}

} // namespace comfrey
