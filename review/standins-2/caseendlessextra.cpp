// A faulty replica sends an extra answer, late, and its body doesn't end. Callers send requests
// that may run once on kept channels. Arguments: the case's folder, a temporary one.
#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <random>
#include <set>
#include <thread>

#include "stage.h"

using namespace stage;

namespace {

constexpr int kRouters = 3;
constexpr int kReplicas = 4;
constexpr int kCallers = 18;
constexpr int kMemoryMb = 260;
constexpr long kLeadMs = 4000;
constexpr long kFaultyFromMs = 8000;
constexpr long kFaultyToMs = 13000; ///< 5 s, as "extra late" in the site file.
constexpr long kLengthMs = 22000;
constexpr double kExtraShare = 0.03; ///< Of the answers of one of four replicas.
constexpr long kBytesPerMs = 120000; ///< Below link_mbps, 1000.
constexpr int kMostClosed = 3;       ///< Of the rule.

const std::string kConfig =
    R"({"version":3,"routes":[{"name":"entry-confirm","host":"entries.example","path_prefix":"/confirm/","kind":"non_idempotent","service":"kynd-app","timeout_ms":4000,"target_latency_ms":300,"priority":2,"max_attempts":1}],"services":[{"name":"kynd-app","health_path":"/health","max_connections":96}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::mutex runsMutex;
std::set<std::string> runsAtSound; ///< Requests that a sound replica has begun to run.

bool isFaultyNow()
{
    return hasTrouble() && nowMs() >= kFaultyFromMs && nowMs() < kFaultyToMs;
}

/// The earlier answer once more, with chunks without end.
void sendExtra(Channel &channel, const std::string &head)
{
    if (!channel.write("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n" + head + "\r\n"))
        return;
    const std::string chunk = "1d4c0\r\n" + std::string(120000, 'x') + "\r\n";
    const long begun = nowMs();
    for (long sent = 0; isFaultyNow() && channel.write(chunk); sent += 120000) {
        while (sent > (nowMs() - begun) * kBytesPerMs)
            sleepMs(1);
    }
}

void serve(Channel &channel, Record &record, const std::string &id, bool isFaulty)
{
    thread_local std::mt19937 random(std::hash<std::thread::id>()(std::this_thread::get_id()));
    std::string extra;
    std::string extraOf;
    Message request;
    while (channel.read(request, 60000)) {
        const std::string requestId = request.field("X-Request-Id");
        if (!extra.empty() && isFaultyNow()) {
            record.line(id + " sends a second answer to " + extraOf + ", where that to " + requestId
                        + " is expected");
            sendExtra(channel, extra);
            return;
        }
        if (request.field("X-Expect-Instance") != id) {
            channel.write(answer(421, "X-Replica-Id: " + id + "\r\n", ""));
            continue;
        }
        if (!isFaulty) {
            const std::lock_guard lock(runsMutex);
            runsAtSound.insert(requestId);
        }
        sleepMs(60);
        const std::string head =
            "X-Request-Id: " + requestId + "\r\nX-Response-Signature: " + id + ".1\r\n";
        channel.write(answer(200, head, "confirmed"));
        if (isFaulty && isFaultyNow()
            && std::uniform_real_distribution<>(0, 1)(random) < kExtraShare) {
            extra = head;
            extraOf = requestId;
        }
    }
}

} // namespace

int main(int, char **arguments)
{
    endWithParent();
    const std::string folder = arguments[1];
    Record record(folder + "/record.txt");
    const std::string work = arguments[2];
    Store store(ipOf(20));
    store.append("keyed.op", "config", kConfig);
    std::vector<std::unique_ptr<Server>> servers;
    for (int index = 0; index < kReplicas; ++index) {
        const std::string id = "i-7f3a91c" + std::to_string(index);
        servers.push_back(
            std::make_unique<Server>(ipOf(30 + index), [&record, id, index](Channel &channel) {
                serve(channel, record, id, index == 0);
            }));
        store.append("keyed.servers", id,
                     R"({"service":"kynd-app","address":")" + servers.back()->address()
                         + R"(","zone":"ub-north","version":"v1","slots":6,"state":"ready",)"
                           R"("cold_remaining_ms":0,"seq":1,"born":1765000000000})");
    }
    std::vector<std::unique_ptr<Router>> routers;
    for (int index = 0; index < kRouters; ++index) {
        routers.push_back(
            std::make_unique<Router>(index, kRouters, work, store.address(), kMemoryMb));
        routers.back()->start(true);
    }
    sleepMs(kLeadMs);
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> closed = 0;
    std::vector<std::thread> callers;
    for (int index = 0; index < kCallers; ++index) {
        callers.emplace_back([&, index] {
            Channel channel(-1);
            int answers = 0; // On the present channel.
            while (nowMs() < kLengthMs) {
                if (!channel.isOpen()) {
                    answers = 0;
                    channel = Channel::connect(routers[index % kRouters]->front());
                }
                const std::string id = "entry-" + std::to_string(++sent);
                Message reply;
                if (!channel.isOpen()
                    || !channel.write(
                        "POST /confirm/entry HTTP/1.1\r\nHost: entries.example\r\n"
                        "X-Request-Id: "
                        + id + "\r\nX-Deadline-Ms: 4000\r\nContent-Length: 5\r\n\r\nentry")) {
                    channel.close();
                    sleepMs(100);
                    continue;
                }
                if (channel.read(reply, 4000)) {
                    ++answers;
                    served += reply.status() == 200 ? 1 : 0;
                    if (reply.status() != 200)
                        record.line(id + " is answered " + std::to_string(reply.status()));
                    if (reply.field("Connection") == "close")
                        channel.close();
                    continue;
                }
                const bool wasClosed = channel.isEnded();
                channel.close();
                sleepMs(100);
                const std::lock_guard lock(runsMutex);
                const bool counts = wasClosed && answers > 0 && runsAtSound.count(id) > 0;
                closed += counts ? 1 : 0;
                record.line(std::string(counts ? "LOST: " : "") + id + " has no answer"
                            + (counts ? "; a sound replica has run it, and its kept channel to "
                                       + routers[index % kRouters]->name() + " was closed"
                                      : ""));
            }
        });
    }
    std::vector<long> startAt(kRouters);
    std::vector<long> most(kRouters);
    int ends = 0;
    while (nowMs() < kLengthMs) {
        sleepMs(10);
        for (int index = 0; index < kRouters; ++index) {
            Router &router = *routers[index];
            const long memory = router.memoryMb();
            most[index] = std::max(most[index], memory);
            // As the platform does: "A process that exceeds memory_mb is killed."
            if (memory > kMemoryMb) {
                record.line(router.name() + " holds " + std::to_string(memory)
                            + " MB and is killed");
                router.signal(SIGKILL);
                sleepMs(50);
            }
            if (router.hasEnded()) {
                ++ends;
                startAt[index] = nowMs() + 1000;
            }
            if (!router.isRunning() && nowMs() >= startAt[index]) {
                router.start(false);
                record.line(router.name() + " started again");
            }
        }
    }
    for (std::thread &caller : callers)
        caller.join();
    std::string memories;
    for (const long memory : most)
        memories += " " + std::to_string(memory);
    record.line("requests sent " + std::to_string(sent) + ", answered with success "
                + std::to_string(served) + ", routers that ended by themselves "
                + std::to_string(ends) + ", most MB of each:" + memories
                + "; kept channels closed with a request at a sound replica "
                + std::to_string(closed));
    const bool couldNotRun = served < 200;
    const bool isBroken = closed > kMostClosed;
    record.line(couldNotRun ? "could not run" : isBroken ? "BROKEN" : "held");
    routers.clear();
    std::_Exit(couldNotRun ? 2 : isBroken ? 1 : 0);
}
