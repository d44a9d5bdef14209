// Crashes and restarts of the servers, and the callers of the routers.
#include "crashingfleet.h"

namespace comfrey::loopback {

namespace {

constexpr Duration kTick = milliseconds(20);

} // namespace

CrashingFleet::CrashingFleet(boost::asio::io_context &loop, std::size_t routers,
                             std::size_t servers, Duration restartDelay)
    : m_loop(loop), m_restartDelay(restartDelay), m_nextTick(now())
{
    for (std::size_t index = 0; index < servers; ++index) {
        m_servers.push_back(std::make_unique<Server>());
        m_servers.back()->id = BackendId("e" + std::to_string(index));
        startServer(*m_servers.back());
    }
    for (std::size_t index = 0; index < routers; ++index)
        addRouter();
    runUntilFresh();
}

void CrashingFleet::runUntilFresh()
{
    runUntilDone([&] {
        return std::all_of(m_routers.begin(), m_routers.end(),
                           [](const auto &router) { return router->sync().isFresh(now()); });
    });
}

void CrashingFleet::restartRouters()
{
    const std::size_t count = m_routers.size();
    for (auto &router : m_routers) {
        router->callers.stopListening();
        m_endedRouters.push_back(std::move(router));
    }
    m_routers.clear();
    while (m_routers.size() < count)
        addRouter();
    runUntilFresh();
}

void CrashingFleet::exchangeKeptCrashes(ServingRouter &router)
{
    KeptCrashes &kept = router.crashUpdates.kept();
    const bool readsStore = router.sync().readsStore();
    if (readsStore && !router.hasReadKeptCrashes && !isStoreDown) {
        ++storeCalls;
        router.hasReadKeptCrashes = true;
        std::vector<StoredCrash> records;
        for (const auto &[key, value] : keptCrashes)
            records.push_back({key, value});
        if (kept.onRead(records, ServingRouter::wallTime(), now())) {
            router.onFeedChanged();
            router.sync().publish();
        }
    }
    const auto batch = kept.takeBatch(readsStore, ServingRouter::wallTime(), now());
    if (batch.empty())
        return;
    ++storeCalls;
    for (const StoredCrash &record : batch) {
        if (isStoreDown)
            break;
        if (record.value)
            keptCrashes[record.key] = *record.value;
        else
            keptCrashes.erase(record.key);
    }
    kept.onWritten(batch.size(), isStoreDown ? CrashWrite::Failed : CrashWrite::Written,
                   isStoreDown ? "the store is down" : "", now());
}

FleetConfig CrashingFleet::config()
{
    FleetConfig config;
    config.version = 1;
    for (const auto &[prefix, kind] :
         {std::pair{"/once/", RouteKind::AtMostOnce}, std::pair{"/again/", RouteKind::Retryable},
          std::pair{"/stream/", RouteKind::Stream}}) {
        Route route;
        route.name = prefix;
        route.host = "a.example";
        route.pathPrefix = prefix;
        route.kind = kind;
        route.timeout = milliseconds(3000);
        route.maxAttempts = 4;
        route.targets = {{ServiceName("s"), 1}};
        config.routes.push_back(route);
    }
    return config;
}

ReplicaRecord CrashingFleet::recordOf(const Server &server)
{
    ReplicaRecord record;
    record.id = server.id;
    record.service = ServiceName("s");
    record.address = Endpoint(server.processes.back()->address());
    record.slots = 8;
    record.startedAtMs = server.startedAtMs;
    return record;
}

void CrashingFleet::addRouter()
{
    const std::string seed = m_routers.empty() ? std::string() : m_routers.front()->port.address;
    m_routers.push_back(
        std::make_unique<ServingRouter>(m_loop, "r" + std::to_string(m_routers.size()), seed));
    m_routers.back()->dispatcher.apply(config());
    for (const auto &server : m_servers)
        m_routers.back()->dispatcher.replicas().put(recordOf(*server), now());
}

void CrashingFleet::startServer(Server &server)
{
    ++server.startedAtMs;
    const std::uint16_t port = keepsPort ? server.processes.back()->port() : 0;
    server.processes.push_back(std::make_unique<ScriptedServer>(
        m_loop,
        [this, &server](ServerConnection &connection, const ServerConnection::Request &request) {
            onRequest(server, connection, request);
        },
        port));
    if (listingDelay > Duration(0))
        schedule(listingDelay, [this, &server] { listServer(server); });
    else
        listServer(server);
}

void CrashingFleet::listServer(const Server &server)
{
    for (const auto &router : m_routers)
        router->dispatcher.replicas().put(recordOf(server), now());
}

void CrashingFleet::onRequest(Server &server, ServerConnection &connection,
                              const ServerConnection::Request &request)
{
    if (request.body == "reset") {
        connection.reset();
        return;
    }
    if (server.isSilent)
        return;
    if (request.body == "late" || request.body == "left") {
        schedule(request.body == "late" ? kLateEnd : kLeftEnd,
                 [this, &server, process = server.processes.size()] {
                     if (server.processes.size() == process)
                         endServer(server);
                 });
        return;
    }
    if (request.body == "dark" || request.body == "mute") {
        if (request.body == "dark")
            connection.write("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: "
                             + std::string(request.head.valueOf("X-Request-Id"))
                             + "\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n");
        silence(server);
        return;
    }
    const std::string parts = ',' + std::string(request.head.valueOf("X-Prompt-Prefix"));
    const bool isDeadly = parts.find(',' + std::string(kDeadlyPart) + ':') != std::string::npos;
    if (request.body != "end" && !isDeadly) {
        connection.answer(request, "ran", server.isLeaving ? "Server-Leaving: 1\r\n" : "");
        return;
    }
    endServer(server);
}

void CrashingFleet::endServer(Server &server)
{
    m_crashTimes.push_back(now());
    server.processes.back()->end();
    schedule(m_restartDelay, [this, &server] { startServer(server); });
}

void CrashingFleet::silence(Server &server)
{
    m_crashTimes.push_back(now());
    server.isSilent = true;
    schedule(unlistingDelay, [this, &server] {
        for (const auto &router : m_routers)
            router->dispatcher.replicas().remove(server.id, now(), now());
    });
}

void CrashingFleet::send(std::size_t router, const std::string &path, const std::string &body,
                         const std::string &promptParts)
{
    Call call;
    call.body = body;
    call.caller = std::make_unique<RawCaller>(m_loop, m_routers.at(router)->callers.port());
    call.caller->send("POST " + path + "x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q"
                      + std::to_string(++m_lastRequestId)
                      + (promptParts.empty() ? "" : "\r\nX-Prompt-Prefix: " + promptParts)
                      + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    if (body == "dark" || body == "mute")
        call.disconnectAt = now() + callerTimeout;
    if (body == "left")
        call.disconnectAt = now() + kLeftEnd / 2;
    m_calls.push_back(std::move(call));
}

void CrashingFleet::step()
{
    if (now() >= m_nextTick) {
        m_nextTick = now() + kTick;
        for (const auto &router : m_routers) {
            router->tick();
            exchangeKeptCrashes(*router);
        }
    }
    while (!m_scheduledActions.empty() && m_scheduledActions.begin()->first <= now()) {
        const auto action = std::move(m_scheduledActions.begin()->second);
        m_scheduledActions.erase(m_scheduledActions.begin());
        action();
    }
    std::erase_if(m_calls, [this](Call &call) {
        if (now() >= call.disconnectAt) {
            m_statuses[call.body].push_back(0);
            return true;
        }
        const auto response = call.caller->takeResponse();
        if (!response && !call.caller->isClosed())
            return false;
        m_statuses[call.body].push_back(response ? response->head.status : 0);
        return true;
    });
}

bool CrashingFleet::runUntilDone(const std::function<bool()> &done)
{
    return runUntil(m_loop, [&] {
        step();
        return done();
    });
}

void CrashingFleet::run(Duration time)
{
    const TimePoint end = now() + time;
    runUntilDone([end] { return now() >= end; });
}

} // namespace comfrey::loopback
