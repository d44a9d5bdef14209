// Another writer has left entries in servers/, whose keys hold a character that a query must
// encode. Three routers start and list the servers. Arguments: the case's folder, a temporary one.
#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <thread>

#include "stage.h"

using namespace stage;

namespace {

constexpr int kRouters = 3;
constexpr int kMemoryMb = 260;
constexpr long kLeadMs = 10000; ///< Traffic starts 10 s after the machines do.
constexpr long kLengthMs = 44000;
constexpr int kForeignEntries = 6;
constexpr std::size_t kForeignBytes = 200000; ///< A record holds at most 262,144.

const std::string kConfig =
    R"({"version":3,"routes":[{"name":"lookup","host":"desk.example","path_prefix":"/lookup/","kind":"idempotent","service":"swarm-desk","timeout_ms":2500,"target_latency_ms":150,"priority":2,"max_attempts":2}],"services":[{"name":"swarm-desk","health_path":"/health","max_connections":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string entryOf(const std::string &address)
{
    return R"({"service":"swarm-desk","address":")" + address
        + R"(","zone":"ub-north","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"seq":1,"born":1765000000000})";
}

void serve(Channel &channel)
{
    Message request;
    while (channel.read(request, 60000)) {
        sleepMs(20);
        channel.write(answer(200,
                             "X-Request-Id: " + request.field("X-Request-Id")
                                 + "\r\nX-Response-Signature: s1\r\n",
                             "found"));
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
    for (int index = 0; index < 3; ++index) {
        servers.push_back(std::make_unique<Server>(ipOf(30 + index), serve));
        store.append("keyed.servers", "i-7f3a91c" + std::to_string(index),
                     entryOf(servers.back()->address()));
    }
    const char *separator = std::getenv("PLAIN") ? "-" : "&";
    for (int index = 1; hasTrouble() && index <= kForeignEntries; ++index) {
        const std::string key = "depot" + std::string(separator) + std::to_string(index);
        store.append("keyed.servers", key, std::string(kForeignBytes, '#'));
        record.line("another writer wrote servers/" + key);
    }

    std::vector<std::unique_ptr<Router>> routers;
    std::vector<int> ends(kRouters);
    std::vector<long> startAt(kRouters);
    for (int index = 0; index < kRouters; ++index) {
        routers.push_back(
            std::make_unique<Router>(index, kRouters, work, store.address(), kMemoryMb));
        routers.back()->start(true);
        record.line(routers.back()->name() + " started");
    }
    std::atomic<bool> isOver = false;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    for (int index = 0; index < kRouters; ++index) {
        callers.emplace_back([&, index] {
            sleepMs(kLeadMs);
            while (!isOver) {
                sleepMs(100);
                const std::string id = std::to_string(index) + "a" + std::to_string(++sent);
                Channel channel = Channel::connect(routers[index]->front());
                Message reply;
                const bool isAnswered = channel.isOpen()
                    && channel.write("GET /lookup/hive HTTP/1.1\r\nHost: desk.example\r\n"
                                     "X-Request-Id: "
                                     + id + "\r\nX-Deadline-Ms: 2500\r\n\r\n")
                    && channel.read(reply, 2500);
                record.line("request " + id + " to " + routers[index]->name() + ": "
                            + (isAnswered ? std::to_string(reply.status()) : "no answer"));
                served += isAnswered && reply.status() == 200 && reply.body == "found" ? 1 : 0;
            }
        });
    }
    while (nowMs() < kLengthMs) {
        sleepMs(20);
        for (int index = 0; index < kRouters; ++index) {
            Router &router = *routers[index];
            // As the platform does: "A process that exceeds memory_mb is killed."
            const long memory = router.memoryMb();
            if (memory > kMemoryMb) {
                record.line(router.name() + " holds " + std::to_string(memory)
                            + " MB and is killed");
                router.signal(SIGKILL);
                sleepMs(50);
            }
            if (router.hasEnded()) {
                ++ends[index];
                startAt[index] = nowMs() + 1000;
                record.line(router.name() + " has ended with " + std::to_string(router.lastEnd()));
            }
            if (!router.isRunning() && nowMs() >= startAt[index]) {
                router.start(false);
                record.line(router.name() + " started again");
            }
        }
    }
    isOver = true;
    for (std::thread &caller : callers)
        caller.join();
    for (const auto &[call, count] : store.calls())
        record.line(call + ": " + std::to_string(count) + " calls");
    int often = 0;
    for (int index = 0; index < kRouters; ++index) {
        record.line(routers[index]->name() + " ended by itself " + std::to_string(ends[index])
                    + " times");
        often += ends[index] >= 3 ? 1 : 0;
    }
    record.line("requests sent " + std::to_string(sent) + ", answered with success "
                + std::to_string(served));
    const bool isBroken = often >= 2 || served == 0;
    record.line(isBroken ? "BROKEN" : "held");
    std::fflush(nullptr);
    routers.clear();
    std::_Exit(isBroken ? 1 : 0);
}
