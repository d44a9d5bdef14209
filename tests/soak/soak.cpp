// Faults and checks.
#include "soak.h"

#include <signal.h>

#include <algorithm>

namespace comfrey::soak {

using loopback::now;
using loopback::RawCaller;

namespace {

constexpr std::size_t kRouters = 4;
constexpr std::size_t kServers = 4;
constexpr Duration kStepPause = milliseconds(450);
constexpr Duration kCallPause = milliseconds(12);
constexpr Duration kRouteTimeout = milliseconds(1500);
constexpr Duration kAnswerLimit =
    milliseconds(2300); ///< The route's time, and what routers may add to it.
constexpr Duration kSettle =
    milliseconds(3500); ///< After a fault, until a router counts as undisturbed.
constexpr Duration kCalmPhase = milliseconds(3000);
constexpr std::uint64_t kLeaverEvery = 12;
constexpr int kSlowCallers = 4;           ///< At each planned stop.
constexpr std::size_t kLatestBody = 5500; ///< Milliseconds after a planned stop began.
constexpr Duration kLeaveLimit =
    milliseconds(500); ///< From a caller's leaving to the end of the work for it.
constexpr Duration kApplyLimit = milliseconds(2000); ///< For configurations and leaving servers.
constexpr Duration kEndingPause = milliseconds(400); ///< Between two sendings that end servers.
constexpr Duration kDownTime = milliseconds(900);    ///< Of a server that ended.
/// Repeats that may reach servers later than kSettle after the third end, and requests that may
/// reach a server in a pause later than kPauseGrace after it asked for it.
constexpr std::size_t kMostRepeats = 3;
constexpr std::size_t kMostInPause = 2;
constexpr Duration kPauseGrace = milliseconds(500);

std::string routeJson(const std::string &name, const std::string &kind, int attempts,
                      bool canResume)
{
    return R"({"name":")" + name + R"(","host":"a.example","path_prefix":"/)" + name
        + R"(/","kind":")" + kind + R"(","timeout_ms":)"
        + std::to_string(kRouteTimeout.count() / 1000) + R"(,"service":"s","max_attempts":)"
        + std::to_string(attempts) + R"(,"can_resume":)" + (canResume ? "true" : "false") + "}";
}

} // namespace

Soak::Soak(const SoakSettings &settings)
    : m_settings(settings), m_random(settings.seed), m_store(m_loop)
{ }

Soak::~Soak() = default;

void Soak::broken(const std::string &what)
{
    m_broken.push_back(what);
}

void Soak::later(Duration after, std::function<void()> action)
{
    m_later.emplace(now() + after, std::move(action));
}

void Soak::publishConfig()
{
    ++m_version;
    m_versionAt = now();
    m_store.append("keyed.op", "config",
                   R"({"version":)" + std::to_string(m_version) + R"(,"routes":[)"
                       + routeJson("once", "non_idempotent", 2, false) + ","
                       + routeJson("again", "idempotent", 2, false) + ","
                       + routeJson("stream", "streaming", 2, false) + ","
                       + routeJson("streamagain", "streaming", 2, true) + ","
                       + routeJson("v" + std::to_string(m_version), "idempotent", 2, false)
                       + R"(],"services":[{"name":"s","max_connections":100}],"tenants":[]})");
}

void Soak::startFleet()
{
    publishConfig();
    for (std::size_t index = 0; index < kServers; ++index)
        startServer();
    for (std::size_t index = 0; index < kRouters; ++index) {
        m_storePaths.push_back(std::make_unique<FaultyPath>(m_loop, m_store.address()));
        m_routers.push_back(std::make_unique<RouterProcess>(
            static_cast<int>(index), m_settings.folder, m_storePaths.back()->address()));
        m_routers.back()->start(true);
    }
}

StandInServer &Soak::startServer()
{
    m_servers.push_back(
        std::make_unique<StandInServer>(m_loop, "e" + std::to_string(m_servers.size()), m_random));
    StandInServer &server = *m_servers.back();
    server.onEnd([this, &server] { onServerEnded(server.id()); });
    m_store.append("keyed.servers", server.id(), server.record(false));
    return server;
}

void Soak::onServerEnded(const std::string &id)
{
    // The list misses its heartbeats later than another start of it is there.
    later(kDownTime, [this] { startServer(); });
    later(kDownTime * 2, [this, id] { m_store.append("keyed.servers", id, ""); });
}

std::vector<std::string> Soak::run()
{
    startFleet();
    loopback::runFor(m_loop, milliseconds(1500));
    m_end = now() + m_settings.length;
    TimePoint nextStep = now();
    TimePoint nextCall = now();
    TimePoint nextEnding = now();
    while (now() < m_end || !m_calls.empty()) {
        const TimePoint present = now();
        if (present < m_end && present >= nextStep) {
            nextStep = present + kStepPause;
            step();
        }
        if (present < m_end && present >= nextCall) {
            nextCall = present + kCallPause;
            if (m_ids % kLeaverEvery == 0)
                sendLeaver();
            else
                sendCall();
        }
        if (present < m_end && present >= nextEnding) {
            nextEnding = present + kEndingPause;
            sendEnding();
        }
        while (!m_later.empty() && m_later.begin()->first <= present) {
            m_longestLag = std::max(m_longestLag, present - m_later.begin()->first);
            const auto action = std::move(m_later.begin()->second);
            m_later.erase(m_later.begin());
            action();
        }
        m_store.tick(present);
        look();
        // All that has come, so that a check never sees less than the sockets have.
        m_loop.restart();
        m_loop.run_for(std::chrono::milliseconds(2));
    }
    checkRuns();
    checkEndings();
    checkPauses();
    return m_broken;
}

void Soak::step()
{
    // First only planned work, whose limits hold then: servers leave and configurations change.
    const bool isCalm = now() < m_end - m_settings.length + kCalmPhase;
    switch (isCalm ? 3 + pick(2) : pick(8)) {
    case 0:
        disturbRouter();
        break;
    case 1:
        disturbStore();
        break;
    case 2:
        disturbServers();
        break;
    case 3:
        changeConfig();
        break;
    case 4:
        replaceServer();
        break;
    case 5:
    case 6:
        disturbPath();
        break;
    default:
        disturbClock();
        break;
    }
}

void Soak::disturbPath()
{
    const std::size_t router = pick(kRouters);
    const bool isStorePath = pick(2) == 0;
    FaultyPath &path =
        isStorePath ? *m_storePaths[router] : m_servers[pick(m_servers.size())]->path();
    if (path.fault() != PathFault::None)
        return;
    const PathFault faults[] = {PathFault::Slow, PathFault::Reset, PathFault::CutThere,
                                PathFault::CutBack, PathFault::Silent};
    path.setFault(faults[pick(5)]);
    const auto length = milliseconds(500 + static_cast<std::int64_t>(pick(2500)));
    // Whoever relies on the router that lost the store is out of touch for a moment as well.
    if (isStorePath)
        m_storeDisturbedUntil = std::max(m_storeDisturbedUntil, now() + length + kSettle);
    else
        m_pathDisturbedUntil = std::max(m_pathDisturbedUntil, now() + length + kSettle);
    later(length, [&path] { path.setFault(PathFault::None); });
}

void Soak::disturbClock()
{
    RouterProcess &router = *m_routers[pick(kRouters)];
    const int shifts[] = {-7200, -5, 3, 600};
    router.shiftClock(shifts[pick(4)]);
    later(milliseconds(1000 + static_cast<std::int64_t>(pick(3000))),
          [&router] { router.shiftClock(0); });
}

void Soak::disturbRouter()
{
    RouterProcess &router = *m_routers[pick(kRouters)];
    if (!router.isRunning() || router.isStopping || router.isPaused || router.isKilled)
        return;
    router.disturbedUntil = now() + milliseconds(1500) + kSettle;
    const std::size_t what = pick(3);
    if (what == 0) {
        router.isKilled = true;
        router.signal(SIGKILL);
        return;
    }
    if (what == 1) {
        router.signal(SIGSTOP);
        router.isPaused = true;
        later(milliseconds(300 + static_cast<std::int64_t>(pick(1200))), [&router] {
            router.signal(SIGCONT);
            router.isPaused = false;
            router.disturbedUntil = now() + kSettle;
        });
        return;
    }
    sendSlowly(router);
    router.isStopping = true;
    router.disturbedUntil = now() + milliseconds(6000) + kSettle;
    for (Call &call : m_calls)
        call.wasStopped = call.wasStopped || call.router == &router;
    router.signal(SIGTERM);
}

void Soak::disturbStore()
{
    if (m_store.fault() != StoreFault::None)
        return;
    if (pick(4) == 0) {
        m_store.compact();
        return;
    }
    const StoreFault faults[] = {StoreFault::Silent, StoreFault::Busy, StoreFault::Reset};
    m_store.setFault(faults[pick(3)]);
    const auto length = milliseconds(500 + static_cast<std::int64_t>(pick(3000)));
    m_storeDisturbedUntil = now() + length + kSettle;
    later(length, [this] { m_store.setFault(StoreFault::None); });
}

void Soak::disturbServers()
{
    if (pick(3) == 0) {
        // Half of the time every server at once.
        const bool isAll = pick(2) == 0;
        for (std::size_t back = 1; back <= (isAll ? kServers : 1); ++back) {
            double &pause = m_servers[m_servers.size() - back]->faults.pause;
            pause = isAll ? 1 : 0.5;
            later(milliseconds(isAll ? 800 : 2000), [&pause] { pause = 0; });
        }
        return;
    }
    StandInServer &server = *m_servers[pick(m_servers.size())];
    if (pick(3) == 0) {
        server.isDown = true;
        later(milliseconds(1000), [&server] { server.isDown = false; });
        return;
    }
    double *const faults[] = {&server.faults.resetAfterRun, &server.faults.cut,
                              &server.faults.mute,          &server.faults.extra,
                              &server.faults.foreign,       &server.faults.shed,
                              &server.faults.failed};
    double &fault = *faults[pick(7)];
    fault = 0.3;
    later(milliseconds(2000), [&fault] { fault = 0; });
}

void Soak::changeConfig()
{
    publishConfig();
    later(kApplyLimit + milliseconds(100), [this] { checkConfig(); });
}

bool Soak::isQuiet() const
{
    return now() > m_storeDisturbedUntil
        && std::all_of(m_routers.begin(), m_routers.end(),
                       [](const auto &router) { return now() > router->disturbedUntil; });
}

void Soak::replaceServer()
{
    StandInServer &leaving = *m_servers[m_servers.size() - kServers];
    if (leaving.hasEnded())
        return;
    startServer();
    leaving.isLeaving = true;
    // Of some the list does not tell: only their answers do.
    if (pick(2) == 0)
        m_store.append("keyed.servers", leaving.id(), leaving.record(true));
    else
        leaving.isListedReady = true;
    checkLeaving(leaving, 3);
}

void Soak::checkLeaving(const StandInServer &server, std::size_t tries)
{
    later(kApplyLimit, [this, &server, tries] {
        const bool isKnown = !server.isListedReady
            || (server.saidLeavingAt() != kNever && now() - server.saidLeavingAt() >= kApplyLimit);
        const bool isJudged = isQuiet() && isKnown;
        const TimePoint limit = now();
        later(milliseconds(1500), [this, &server, limit, isJudged, tries] {
            if (isJudged && server.lastRun() > limit)
                broken("leaving server " + server.id() + " got work "
                       + std::to_string((server.lastRun() - limit).count() / 1000)
                       + " ms after the limit");
            if (!isJudged && tries > 1)
                checkLeaving(server, tries - 1);
            else
                m_store.append("keyed.servers", server.id(), "");
        });
    });
}

void Soak::send(RouterProcess &router, std::string path, const std::string &fields)
{
    Call call;
    call.id = "q" + std::to_string(++m_ids);
    call.path = std::move(path);
    call.router = &router;
    call.routerStart = router.starts();
    call.sentAt = now();
    call.isJudged = now() > router.disturbedUntil;
    call.caller = std::make_shared<RawCaller>(m_loop, router.callerEndpoint());
    call.caller->send("GET " + call.path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: "
                      + call.id + "\r\nX-Deadline-Ms: 5000\r\n" + fields + "\r\n");
    if (call.path.find("again") == std::string::npos)
        m_once.insert(call.id);
    m_sentTo[call.id] = {&router, router.starts()};
    m_calls.push_back(std::move(call));
}

void Soak::sendCall()
{
    RouterProcess &router = *m_routers[pick(kRouters)];
    if (!router.isRunning() || router.isStopping)
        return;
    const char *const paths[] = {"/once/x", "/again/x", "/stream/x", "/streamagain/x"};
    const std::size_t kind = pick(4);
    std::string fields;
    if (kind >= 2)
        fields = "X-Model: m\r\nX-Token-Usage: 1030,20\r\nX-Prompt-Prefix: "
            + StandInServer::promptOf("q" + std::to_string(m_ids + 1)) + "\r\n";
    send(router, paths[kind], fields);
}

void Soak::sendSlowly(RouterProcess &router)
{
    for (int count = 0; count < kSlowCallers; ++count) {
        send(router, "/once/x", "X-Work-Ms: 900\r\nContent-Length: 4\r\n");
        Call &call = m_calls.back();
        const auto delay = milliseconds(static_cast<std::int64_t>(pick(kLatestBody)));
        call.isSlow = true;
        call.sentAt = now() + delay;
        call.caller->send("ab");
        later(delay, [caller = call.caller] { caller->send("cd"); });
        ++m_slow;
    }
}

bool Soak::hasRun(const std::string &id) const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&](const auto &server) { return server->runs().count(id) > 0; });
}

void Soak::sendEnding()
{
    RouterProcess &router = *m_routers[pick(kRouters)];
    if (!router.isRunning() || router.isStopping)
        return;
    send(router, std::string(StandInServer::kEndingPath), {});
    if (m_calls.back().isJudged)
        m_calmEndings.insert(m_calls.back().id);
}

void Soak::sendLeaver()
{
    const std::string id = "q" + std::to_string(++m_ids);
    RouterProcess &router = *m_routers[pick(kRouters)];
    if (!router.isRunning() || router.isStopping || now() < router.disturbedUntil)
        return;
    m_sentTo[id] = {&router, router.starts()};
    const int start = router.starts();
    auto caller = std::make_shared<RawCaller>(m_loop, router.callerEndpoint());
    caller->send("GET /again/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                 + "\r\nX-Hold-Answer: 1\r\nX-Deadline-Ms: 5000\r\n\r\n");
    later(milliseconds(100), [caller] { caller->close(); });
    later(milliseconds(100) + kLeaveLimit, [this, id, &router, start] {
        const bool isJudged = router.starts() == start && router.isRunning() && !router.isPaused
            && now() > router.disturbedUntil && now() > m_pathDisturbedUntil;
        for (const auto &server : m_servers) {
            if (!server->holds(id))
                continue;
            m_leavers += server->isGivenUp(id) ? 1 : 0;
            if (isJudged && !server->isGivenUp(id))
                broken(id + " is still at work at " + server->id() + " though its caller left "
                       + router.name());
        }
    });
}

void Soak::look()
{
    for (const auto &router : m_routers) {
        if (!router->hasEnded())
            continue;
        if (router->lastEnd() != (router->isStopping ? 0 : -SIGKILL))
            broken(router->name()
                   + " ended by itself or not cleanly: " + std::to_string(router->lastEnd()));
        later(milliseconds(200), [&router] {
            router->start(false);
            router->disturbedUntil = now() + kSettle;
        });
    }
    for (auto call = m_calls.begin(); call != m_calls.end();) {
        if (const auto response = call->caller->takeResponse()) {
            checkCall(*call, *response);
        } else if (call->caller->isClosed()) {
            checkUnanswered(*call);
        } else if (now() - call->sentAt < kAnswerLimit || !call->router->isRunning()
                   || call->router->isPaused) {
            ++call;
            continue;
        } else if (call->isJudged && now() > call->router->disturbedUntil) {
            broken(call->id + " " + call->path + " has no answer at its limit from "
                   + call->router->name());
        }
        call = m_calls.erase(call);
    }
}

void Soak::checkCall(Call &call, const RawCaller::Response &response)
{
    const bool isStream = call.path.find("/stream") == 0;
    const unsigned status = response.head.status;
    if (status == 200) {
        ++m_answered;
        if (response.body != StandInServer::bodyOf(call.id, isStream))
            broken(call.id + " got another answer than its own, or not the whole of it");
        return;
    }
    ++m_told;
    if (status == 503 || status == 429 || status == 408 || status == 421)
        m_refused.insert(call.id);
    if ((status == 404 || status == 401) && call.isJudged)
        broken(call.id + " got " + std::to_string(status)
               + " though its route is in every version");
}

void Soak::checkUnanswered(Call &call)
{
    ++m_cut;
    if (call.isSlow) {
        if (call.isJudged && !call.router->isKilled && hasRun(call.id))
            broken(call.id + " was passed on and then cut by a planned stop of "
                   + call.router->name());
        return;
    }
    // A stream that may not be repeated is cut when its server breaks off; a plain answer never is.
    const bool isStream = call.path.find("/stream") == 0;
    const RouterProcess &router = *call.router;
    const bool wasKilled =
        router.starts() != call.routerStart || !router.isRunning() || router.isKilled;
    const bool wasSentLate = call.router->isStopping && !call.wasStopped;
    if (!isStream && !wasSentLate && call.isJudged && (call.wasStopped || !wasKilled))
        broken(call.id + " " + call.path
               + (call.wasStopped ? " was cut by a planned stop of " : " was cut by ")
               + call.router->name());
}

void Soak::checkRuns()
{
    std::map<std::string, int> runs;
    for (const auto &server : m_servers) {
        for (const std::string &wrong : server->wrongPrompts())
            broken(wrong);
        for (const auto &[id, count] : server->runs())
            runs[id] += count;
    }
    for (const auto &[id, count] : runs) {
        if (count > 1 && m_once.count(id) > 0)
            broken(id + " may run once and ran " + std::to_string(count) + " times");
        if (m_refused.count(id) > 0)
            broken(id + " was told \"not run\" and ran");
    }
}

void Soak::checkEndings()
{
    std::vector<std::pair<TimePoint, std::string>> ends;
    for (const auto &server : m_servers) {
        if (server->hasEnded())
            ends.push_back(server->arrivals().back());
    }
    std::sort(ends.begin(), ends.end());
    if (ends.size() < 3)
        return;
    const auto late = std::count_if(ends.begin(), ends.end(), [&](const auto &end) {
        return end.first > ends[2].first + kSettle && m_calmEndings.count(end.second) > 0;
    });
    if (static_cast<std::size_t>(late) > kMostRepeats)
        broken(std::to_string(late) + " servers ended under a request long after the third; "
               + std::to_string(ends.size()) + " in all");
}

void Soak::checkPauses()
{
    for (const auto &server : m_servers) {
        for (const AskedPause &pause : server->pauses()) {
            const auto sender = m_sentTo.find(pause.requestId);
            if (sender == m_sentTo.end())
                continue;
            ++m_pauses;
            const auto arrived = std::count_if(
                server->arrivals().begin(), server->arrivals().end(), [&](const auto &arrival) {
                    const auto from = m_sentTo.find(arrival.second);
                    return arrival.first > pause.at + kPauseGrace
                        && arrival.first < pause.at + StandInServer::kPause
                        && from != m_sentTo.end() && from->second == sender->second;
                });
            if (static_cast<std::size_t>(arrived) > kMostInPause)
                broken(server->id() + " got " + std::to_string(arrived) + " requests from "
                       + sender->second.first->name() + " in a pause that it had asked for");
        }
    }
}

void Soak::checkConfig()
{
    if (now() - m_versionAt < kApplyLimit || now() < m_storeDisturbedUntil)
        return;
    const std::string newest = "/v" + std::to_string(m_version) + "/x";
    for (const auto &router : m_routers) {
        if (!router->isRunning() || router->isStopping || now() < router->disturbedUntil)
            continue;
        auto caller = std::make_shared<RawCaller>(m_loop, router->callerEndpoint());
        caller->send("GET " + newest + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: c"
                     + std::to_string(++m_ids) + "\r\n\r\n");
        later(milliseconds(1700), [this, caller, newest, name = router->name()] {
            const auto response = caller->takeResponse();
            if (response && response->head.status == 404)
                broken(std::string(name).append(" does not know ").append(newest));
        });
    }
}

std::string Soak::summary() const
{
    return std::to_string(m_answered) + " answered, " + std::to_string(m_told)
        + " told of a failure, " + std::to_string(m_cut) + " cut, " + std::to_string(m_slow)
        + " slow in a planned stop, " + std::to_string(m_leavers) + " left in time, "
        + std::to_string(m_pauses) + " pauses, " + std::to_string(m_version) + " configurations, "
        + std::to_string(m_servers.size()) + " servers, " + std::to_string(m_store.callCount())
        + " calls to the store, checks at most " + std::to_string(m_longestLag.count() / 1000)
        + " ms late";
}

} // namespace comfrey::soak
