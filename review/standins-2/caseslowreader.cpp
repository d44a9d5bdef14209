// Replicas that read slowly: each takes the head of a request, and its body some time later.
// Callers send long bodies on a route whose requests may run once. Arguments: the case's folder, a
// temporary one.
#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <thread>

#include "stage.h"

using namespace stage;

namespace {

constexpr int kRouters = 3;
constexpr int kReplicas = 3;
constexpr int kCallers = 3;
constexpr long kLeadMs = 4000;
constexpr long kLengthMs = 30000;
constexpr long kTimeLimitMs = 12000;
constexpr std::size_t kBodyBytes = 1000000; ///< max_body_bytes is 4,194,304.

const std::string kConfig =
    R"({"version":3,"routes":[{"name":"hive-recording","host":"desk.example","path_prefix":"/recordings/","kind":"non_idempotent","service":"swarm-desk","timeout_ms":12000,"target_latency_ms":5000,"priority":2,"max_attempts":1}],"services":[{"name":"swarm-desk","health_path":"/health","max_connections":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

long pauseMs()
{
    const char *given = std::getenv("PAUSE_MS");
    return !hasTrouble() ? 0 : given ? std::atol(given) : 2500;
}

void serve(Channel &channel, Record &record, const std::string &id, std::atomic<int> &runs)
{
    Message request;
    while (channel.readHead(request, 60000)) {
        const std::string requestId = request.field("X-Request-Id");
        sleepMs(pauseMs());
        if (!channel.readBody(request, kTimeLimitMs)) {
            record.line(id + ": the channel of " + requestId + " ended within the body");
            return;
        }
        if (request.field("X-Expect-Instance") != id) {
            channel.write(answer(421, "X-Replica-Id: " + id + "\r\n", ""));
            continue;
        }
        ++runs;
        record.line(id + " has all of " + requestId + " and runs it");
        sleepMs(30);
        channel.write(
            answer(200, "X-Request-Id: " + requestId + "\r\nX-Response-Signature: " + id + ".1\r\n",
                   "kept " + std::to_string(request.body.size())));
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
    std::atomic<int> runs = 0;
    std::vector<std::unique_ptr<Server>> servers;
    for (int index = 0; index < kReplicas; ++index) {
        const std::string id = "i-7f3a91c" + std::to_string(index);
        servers.push_back(
            std::make_unique<Server>(ipOf(30 + index), [&record, &runs, id](Channel &channel) {
                serve(channel, record, id, runs);
            }));
        store.append("keyed.servers", id,
                     R"({"service":"swarm-desk","address":")" + servers.back()->address()
                         + R"(","zone":"ub-north","version":"v1","slots":6,"state":"ready",)"
                           R"("cold_remaining_ms":0,"seq":1,"born":1765000000000})");
    }
    std::vector<std::unique_ptr<Router>> routers;
    for (int index = 0; index < kRouters; ++index) {
        routers.push_back(std::make_unique<Router>(index, kRouters, work, store.address(), 260));
        routers.back()->start(true);
    }
    sleepMs(kLeadMs);
    const std::string body(kBodyBytes, 'r');
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    for (int index = 0; index < kCallers; ++index) {
        callers.emplace_back([&, index] {
            while (nowMs() < kLengthMs) {
                const std::string id = "recording-" + std::to_string(++sent);
                Channel channel = Channel::connect(routers[index % kRouters]->front());
                Message reply;
                const long begun = nowMs();
                const bool isAnswered = channel.isOpen()
                    && channel.write("POST /recordings/new HTTP/1.1\r\nHost: desk.example\r\n"
                                     "X-Request-Id: "
                                     + id + "\r\nX-Deadline-Ms: " + std::to_string(kTimeLimitMs)
                                     + "\r\nContent-Length: " + std::to_string(body.size())
                                     + "\r\n\r\n" + body)
                    && channel.read(reply, kTimeLimitMs);
                record.line(id + " is answered " + std::to_string(isAnswered ? reply.status() : 0)
                            + " after " + std::to_string(nowMs() - begun) + " ms");
                served += isAnswered && reply.status() == 200 ? 1 : 0;
                sleepMs(300);
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    record.line("replicas read each body after " + std::to_string(pauseMs()) + " ms; requests sent "
                + std::to_string(sent) + ", run " + std::to_string(runs)
                + ", answered with success " + std::to_string(served));
    const bool couldNotRun = sent < 10;
    const bool isBroken = served == 0;
    record.line(couldNotRun ? "could not run" : isBroken ? "BROKEN" : "held");
    routers.clear();
    std::_Exit(couldNotRun ? 2 : isBroken ? 1 : 0);
}
