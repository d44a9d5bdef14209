// One of three replicas fails a part of its requests after it has run them: its signed answers have
// status 503 and no X-Not-Executed. Callers send dispatches that may run once, and retry only after
// a promise. Arguments: the case's folder, a temporary one.
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
constexpr int kCallers = 9;
constexpr long kLeadMs = 4000;
constexpr long kGreyFromMs = 8000;
constexpr long kGreyToMs = 12000; ///< 4 s, as on trouble-1 of the site file.
constexpr long kLengthMs = 20000;
constexpr double kFailedShare = 0.4; ///< "srv_grey: share (.15) fail x (.4) of their requests"

const std::string kConfig =
    R"({"version":3,"routes":[{"name":"truck-dispatch","host":"desk.example","path_prefix":"/trucks/","kind":"non_idempotent","service":"swarm-desk","timeout_ms":2500,"target_latency_ms":150,"priority":2,"max_attempts":1}],"services":[{"name":"swarm-desk","health_path":"/health","max_connections":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::mutex runsMutex;
std::map<std::string, int> runsOfId;    ///< By X-Request-Id.
std::map<std::string, int> runsOfOrder; ///< By the body, which names the order.

std::string entryOf(const std::string &address)
{
    return R"({"service":"swarm-desk","address":")" + address
        + R"(","zone":"ub-north","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"seq":1,"born":1765000000000})";
}

void serve(Channel &channel, Record &record, const std::string &id, bool isGrey)
{
    thread_local std::mt19937 random(std::hash<std::thread::id>()(std::this_thread::get_id()));
    Message request;
    while (channel.read(request, 60000)) {
        const std::string requestId = request.field("X-Request-Id");
        if (request.field("X-Expect-Instance") != id) {
            channel.write(answer(421, "X-Replica-Id: " + id + "\r\n", ""));
            continue;
        }
        {
            const std::lock_guard lock(runsMutex);
            ++runsOfId[requestId];
            ++runsOfOrder[request.body];
        }
        sleepMs(30);
        const bool fails = isGrey && hasTrouble() && nowMs() >= kGreyFromMs && nowMs() < kGreyToMs
            && std::uniform_real_distribution<>(0, 1)(random) < kFailedShare;
        record.line(id + " ran " + requestId + " (" + request.body + ") and answers "
                    + (fails ? "503" : "200"));
        channel.write(
            answer(fails ? 503 : 200,
                   "X-Request-Id: " + requestId + "\r\nX-Response-Signature: " + id + ".1\r\n",
                   fails ? "the crew was sent, and the record of it failed" : "the crew was sent"));
    }
}

struct Reply
{
    int status = 0;
    std::string retryAfter;
    bool isSigned = false;
};

Reply send(const std::string &router, const std::string &id, const std::string &order, long leftMs)
{
    Channel channel = Channel::connect(router);
    Message message;
    if (!channel.isOpen()
        || !channel.write("POST /trucks/send HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                          + "\r\nX-Deadline-Ms: " + std::to_string(leftMs) + "\r\nContent-Length: "
                          + std::to_string(order.size()) + "\r\n\r\n" + order)
        || !channel.read(message, leftMs))
        return {};
    return {message.status(), message.field("Retry-After"),
            !message.field("X-Response-Signature").empty()};
}

bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
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
        const std::string id = "i-7f3a91c" + std::to_string(index);
        servers.push_back(
            std::make_unique<Server>(ipOf(30 + index), [&record, id, index](Channel &channel) {
                serve(channel, record, id, index == 0);
            }));
        store.append("keyed.servers", id, entryOf(servers.back()->address()));
    }
    std::vector<std::unique_ptr<Router>> routers;
    for (int index = 0; index < kRouters; ++index) {
        routers.push_back(std::make_unique<Router>(index, kRouters, work, store.address(), 260));
        routers.back()->start(true);
    }
    sleepMs(kLeadMs);
    std::mutex outcomeMutex;
    std::set<std::string> promised;
    std::atomic<int> orders = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    for (int index = 0; index < kCallers; ++index) {
        callers.emplace_back([&, index] {
            while (nowMs() < kLengthMs) {
                const std::string order = "order-" + std::to_string(++orders);
                long left = 2500;
                for (int attempt = 1; attempt <= 2; ++attempt) {
                    const std::string id = order + "-" + std::to_string(attempt);
                    const long begun = nowMs();
                    const Reply reply =
                        send(routers[(index + attempt) % kRouters]->front(), id, order, left);
                    left -= nowMs() - begun;
                    record.line(id + " is answered " + std::to_string(reply.status)
                                + (reply.isSigned ? " with a signature" : " without a signature"));
                    served += reply.status == 200 ? 1 : 0;
                    if (!isPromise(reply.status))
                        break;
                    {
                        const std::lock_guard lock(outcomeMutex);
                        promised.insert(id);
                    }
                    const long pause =
                        static_cast<long>(1000 * std::atof(reply.retryAfter.c_str()));
                    sleepMs(std::min(pause, left / 3));
                    left -= std::min(pause, left / 3);
                }
                sleepMs(60);
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    sleepMs(500);
    int broken = 0;
    int twice = 0;
    {
        const std::lock_guard lock(runsMutex);
        for (const std::string &id : promised) {
            if (runsOfId.count(id) == 0)
                continue;
            ++broken;
            record.line("REFUSED: " + id + " was promised not to have run, and has run");
        }
        for (const auto &[order, runs] : runsOfOrder)
            twice += runs > 1 ? 1 : 0;
    }
    record.line("orders " + std::to_string(orders) + ", answered with success "
                + std::to_string(served) + ", promised not to run though run "
                + std::to_string(broken) + ", orders that ran twice " + std::to_string(twice));
    const bool couldNotRun = served < 100;
    record.line(couldNotRun ? "could not run" : broken > 0 ? "BROKEN" : "held");
    routers.clear();
    std::_Exit(couldNotRun ? 2 : broken > 0 ? 1 : 0);
}
