// A router is stopped with SIGTERM while callers have sent two requests, one after the other, on a
// kept channel. Arguments: the case's folder, a temporary one.
#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>

#include "stage.h"

using namespace stage;

namespace {

constexpr int kRouters = 3;
constexpr int kReplicas = 3;
constexpr int kCallers = 6;
constexpr long kLeadMs = 4000;
constexpr long kStopMs = 8000;
constexpr long kLengthMs = 18000;
constexpr long kWorkMs = 600;
constexpr long kTimeLimitMs = 5000;
constexpr long kLossSlackMs = 200; ///< loss_slack_ms of the site.
constexpr long kGraceMs = 8000;    ///< grace_s of the site.

const std::string kConfig =
    R"({"version":3,"routes":[{"name":"apiary-lookup","host":"desk.example","path_prefix":"/lookup/","kind":"idempotent","service":"swarm-desk","timeout_ms":5000,"target_latency_ms":1500,"priority":2,"max_attempts":2}],"services":[{"name":"swarm-desk","health_path":"/health","max_connections":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

void serve(Channel &channel, const std::string &id)
{
    Message request;
    while (channel.read(request, 60000)) {
        if (request.field("X-Expect-Instance") != id) {
            channel.write(answer(421, "X-Replica-Id: " + id + "\r\n", ""));
            continue;
        }
        sleepMs(kWorkMs);
        channel.write(answer(200,
                             "X-Request-Id: " + request.field("X-Request-Id")
                                 + "\r\nX-Response-Signature: " + id + ".1\r\n",
                             "found"));
    }
}

std::string hexOf(std::uint16_t port)
{
    char text[5];
    std::snprintf(text, sizeof text, "%04X", port);
    return text;
}

/// Bytes that have arrived at the other end of a loopback channel and that its process has not
/// read, as the system lists them; -1 if the channel is not listed.
long unreadAtOtherEnd(std::uint16_t ownPort, std::uint16_t otherPort)
{
    std::ifstream list("/proc/net/tcp");
    std::string line;
    while (std::getline(list, line)) {
        std::istringstream words(line);
        std::string number, local, remote, state, queues;
        words >> number >> local >> remote >> state >> queues;
        if (local.ends_with(":" + hexOf(otherPort)) && remote.ends_with(":" + hexOf(ownPort)))
            return std::strtol(queues.substr(queues.find(':') + 1).c_str(), nullptr, 16);
    }
    return -1;
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
        servers.push_back(std::make_unique<Server>(ipOf(30 + index),
                                                   [id](Channel &channel) { serve(channel, id); }));
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
    std::atomic<int> sent = 0;
    std::atomic<int> whole = 0;
    std::atomic<int> lost = 0;
    std::vector<std::thread> callers;
    for (int index = 0; index < kCallers; ++index) {
        callers.emplace_back([&, index] {
            Channel channel(-1);
            while (nowMs() < kLengthMs) {
                const bool isStopped = hasTrouble() && nowMs() > kStopMs + 1000;
                // The balancer gives new channels to the other router soon after the SIGTERM.
                if (!channel.isOpen())
                    channel = Channel::connect(
                        routers[isStopped && index % kRouters == 0 ? 1 : index % kRouters]
                            ->front());
                if (!channel.isOpen()) {
                    sleepMs(100);
                    continue;
                }
                const std::uint16_t ownPort = channel.ownPort();
                std::string bytes;
                std::string ids[2];
                for (std::string &id : ids) {
                    id = "lookup-" + std::to_string(++sent);
                    bytes += "GET /lookup/hive HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: "
                        + id + "\r\nX-Deadline-Ms: " + std::to_string(kTimeLimitMs) + "\r\n\r\n";
                }
                if (!channel.write(bytes)) {
                    record.line(ids[0] + ", " + ids[1] + ": the channel was closed before");
                    channel.close();
                    continue;
                }
                const long sentAt = nowMs();
                sleepMs(100);
                const long unread = unreadAtOtherEnd(ownPort, 8227);
                for (const std::string &id : ids) {
                    Message reply;
                    const bool isWhole =
                        channel.isOpen() && channel.read(reply, kTimeLimitMs - (nowMs() - sentAt));
                    const long after = nowMs() - sentAt;
                    if (isWhole) {
                        ++whole;
                        record.line(
                            id + " is answered " + std::to_string(reply.status()) + " after "
                            + std::to_string(after) + " ms"
                            + (reply.field("Connection") == "close" ? ", Connection: close" : ""));
                        continue;
                    }
                    // Only what the router's process had read counts, within the rule's time.
                    const bool counts = unread == 0 && after > kLossSlackMs && hasTrouble()
                        && sentAt + after < kStopMs + kGraceMs + 1000;
                    lost += counts ? 1 : 0;
                    record.line((counts ? "LOST: " : "") + id + " was sent at "
                                + std::to_string(sentAt) + " ms, read by the router ("
                                + std::to_string(unread)
                                + " bytes unread 100 ms later), and its channel ended without an "
                                  "answer "
                                + std::to_string(after) + " ms after it was sent");
                    channel.close();
                }
            }
        });
    }
    std::thread stopper([&] {
        sleepMs(kStopMs - nowMs());
        if (!hasTrouble())
            return;
        routers[0]->signal(SIGTERM);
        record.line(routers[0]->name() + " gets SIGTERM");
        while (nowMs() < kStopMs + kGraceMs && !routers[0]->hasEnded())
            sleepMs(20);
        record.line(routers[0]->name() + " has ended with "
                    + std::to_string(routers[0]->lastEnd()));
    });
    for (std::thread &caller : callers)
        caller.join();
    stopper.join();
    record.line("requests sent " + std::to_string(sent) + ", answered " + std::to_string(whole)
                + ", lost around the planned stop " + std::to_string(lost));
    const bool couldNotRun = whole < 50;
    record.line(couldNotRun ? "could not run" : lost > 0 ? "BROKEN" : "held");
    routers.clear();
    std::_Exit(couldNotRun ? 2 : lost > 0 ? 1 : 0);
}
