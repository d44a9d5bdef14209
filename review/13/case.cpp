// Several times: the router that reads the store is cut off from it, the one that would read next
// freezes, and the configuration changes.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "../standins-3/fleet.h"

namespace comfrey::review {

namespace {

const std::string kKey = "n2ctnfzs989anu6wsjnb";
constexpr int kRounds = 8;
constexpr Duration kCalm = milliseconds(6000);   // more than stable_window_ms of 3000
constexpr Duration kShort = milliseconds(20);    // between a change, the faults and a change
constexpr Duration kFaults = milliseconds(3000); // shorter than core_cut's 5.5 s, node_freeze's 4 s
constexpr std::int64_t kApplyMs = 2000;          // config_apply_ms
constexpr Duration kAskPause = milliseconds(10);

std::string route(const std::string &name, const std::string &prefix)
{
    return R"({"name":")" + name + R"(","host":"ficu95.example","path_prefix":")" + prefix
        + R"(","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,)"
        + R"("service":"wuno96b","max_attempts":2,"public":false})";
}

std::string pathOf(int version)
{
    return "/lohu" + std::to_string(version) + '/';
}

/// A configuration with a route of its own.
std::string config(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)"
        + route("r-hvz3pfi", "/cufi504/") + ',' + route("r-6y7z5k6", pathOf(version))
        + R"(],"services":[{"name":"wuno96b","health_path":"/health","max_connections":96}],)"
        + R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        + R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
        + R"("tenants":[{"name":"hule930","api_keys":[")" + kKey + R"("],"priority":1}]})";
}

/// A router that is asked for the newest route again and again.
struct Asked
{
    Router *router = nullptr;
    std::unique_ptr<loopback::RawCaller> caller;
    std::string id;
    std::int64_t sentMs = 0;
    std::int64_t lastOldMs = -1; ///< When the last request was sent that got 404.
    bool isServed = false;

    void step(Fleet &fleet, const std::string &path);
};

void Asked::step(Fleet &fleet, const std::string &path)
{
    const auto response = caller ? caller->takeResponse() : std::nullopt;
    if (response) {
        isServed = response->head.status == 200;
        if (response->head.status == 404)
            lastOldMs = sentMs;
        if (isServed)
            fleet.record.line("request " + id + " is answered 200 by " + router->settings.name);
    }
    if (isServed || (caller && !response && !caller->isClosed()))
        return;
    id = fleet.newId();
    sentMs = elapsedMs();
    caller = std::make_unique<loopback::RawCaller>(fleet.loop, router->front());
    caller->send(requestBytes("GET", path + '1', id, kKey, 4000));
}

/// The router that reads the store while `reader` is cut off from it.
Router *findNext(Fleet &fleet, Router &reader)
{
    reader.cutFromStore(true);
    fleet.runFor(milliseconds(1600));
    Router *next = nullptr;
    for (const auto &router : fleet.routers) {
        const std::string log = router->log();
        const std::size_t at = log.rfind("event=store-reading-begun reason=\"this router is");
        if (router.get() != &reader && at != std::string::npos
            && log.find("event=store-reading-ended", at) == std::string::npos)
            next = router.get();
    }
    reader.cutFromStore(false);
    fleet.runFor(kCalm);
    return next;
}

/// Plays one round. Returns how many routers handled a request as only the older version allows
/// that was sent later than config_apply_ms after the ack.
int playRound(Fleet &fleet, Router &reader, Router &next, int version, bool hasTrouble)
{
    fleet.publish(config(version - 1));
    fleet.runFor(kShort);
    if (hasTrouble) {
        reader.cutFromStore(true);
        next.signal(SIGSTOP);
        fleet.record.line("router " + reader.settings.name + " is cut off from the store, "
                          + next.settings.name + " freezes");
    }
    fleet.runFor(kShort);
    fleet.publish(config(version));
    const std::int64_t ackedMs = elapsedMs();
    std::list<Asked> asked;
    for (const auto &router : fleet.routers) {
        if (router.get() != &reader && router.get() != &next) {
            asked.emplace_back();
            asked.back().router = router.get();
        }
    }
    const TimePoint end = loopback::now() + kFaults;
    while (loopback::now() < end) {
        for (Asked &one : asked)
            one.step(fleet, pathOf(version));
        fleet.runFor(kAskPause);
    }
    next.signal(SIGCONT);
    reader.cutFromStore(false);
    int late = 0;
    for (const Asked &one : asked) {
        const std::int64_t oldMs = one.lastOldMs < 0 ? 0 : one.lastOldMs - ackedMs;
        fleet.record.line("version " + std::to_string(version) + ": router "
                          + one.router->settings.name + " answered 404 last to a request that was "
                          + std::to_string(oldMs) + " ms after the ack");
        if (oldMs > kApplyMs)
            ++late;
    }
    fleet.runFor(kCalm);
    return late;
}

int run(const std::string &recordPath, bool hasTrouble)
{
    Fleet fleet(recordPath);
    int version = 10;
    fleet.publish(config(version));
    fleet.addReplica("i-7f3a91c2", "wuno96b", "tartu-a");
    fleet.addReplica("i-02d9e6b4", "wuno96b", "tartu-b");
    if (!fleet.startRouters())
        return 2;
    fleet.runFor(kCalm);
    Router *const reader = fleet.storeReader();
    Router *const next = reader ? findNext(fleet, *reader) : nullptr;
    if (!next)
        return 2;
    int late = 0;
    for (int round = 0; round < kRounds; ++round) {
        version += 2;
        late += playRound(fleet, *reader, *next, version, hasTrouble);
    }
    fleet.record.line("routers that handled a request as only the older version allows, sent later "
                      "than "
                      + std::to_string(kApplyMs) + " ms after the ack: " + std::to_string(late)
                      + " of " + std::to_string(4 * kRounds));
    return late > 0 ? 1 : 0;
}

} // namespace

} // namespace comfrey::review

int main(int, char **arguments)
{
    const char *trouble = std::getenv("TROUBLE");
    const int result = comfrey::review::run(arguments[1], !trouble || std::string(trouble) != "0");
    std::cout << (result == 0       ? "the rule held\n"
                      : result == 1 ? "the rule was broken\n"
                                    : "the case could not run\n");
    return result;
}
