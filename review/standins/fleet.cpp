// The steps that the cases share.
#include "fleet.h"

#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace comfrey::review {

using loopback::now;
using loopback::RawCaller;

namespace {

constexpr Duration kPatience = milliseconds(4000); ///< X-Deadline-Ms of the requests.

} // namespace

Record::Record(const std::string &path)
    : m_file(path), m_start(std::chrono::steady_clock::now()) { }

std::int64_t Record::nowMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - m_start)
        .count();
}

void Record::note(const std::string &text)
{
    m_file << "t=" << nowMs() << ' ' << text << std::endl;
}

void Record::onSent(const std::string &request, const std::string &router)
{
    m_sent[request] = {nowMs(), router, 0, 0};
    note("sent " + request + " to " + router);
}

void Record::onAnswered(const std::string &request, unsigned status, const std::string &by)
{
    m_sent[request].status = status;
    m_sent[request].endedAtMs = nowMs();
    note("answered " + request + " " + std::to_string(status) + (by.empty() ? "" : " by " + by));
}

void Record::onClosed(const std::string &request)
{
    m_sent[request].status = 1;
    m_sent[request].endedAtMs = nowMs();
    note("closed without an answer " + request);
}

void Record::onRun(const std::string &request, const std::string &replica)
{
    m_arrivals.push_back({nowMs(), request, replica});
    note("run " + request + " at " + replica);
}

void Record::onCutAtReplica(const std::string &request, const std::string &replica)
{
    note("cut " + request + " at " + replica + ", which exited");
}

Fleet::Fleet(int argumentCount, char **arguments, std::size_t routers)
    : m_record(std::string(argumentCount > 2 ? arguments[2] : ".") + "/record.txt"),
      m_program(argumentCount > 1 ? arguments[1] : ""),
      m_folder(argumentCount > 3 ? arguments[3] : "."), m_store(m_loop)
{
    constexpr unsigned kLongestSeconds = 110;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // The routers end with this process in turn.
    ::alarm(kLongestSeconds);
    if (!m_record.isWritable())
        throw std::runtime_error("record.txt cannot be written");
    for (std::size_t index = 0; index < routers; ++index) {
        auto member = std::make_unique<Member>();
        member->storePath = std::make_unique<soak::FaultyPath>(m_loop, m_store.address());
        member->router = std::make_unique<Router>(static_cast<int>(index), m_program, m_folder,
                                                  member->storePath->address());
        m_members.push_back(std::move(member));
    }
    std::vector<std::string> seeds;
    for (std::size_t index = 0; index < std::min<std::size_t>(routers, 3); ++index)
        seeds.push_back(m_members[index]->router->controlAddress());
    for (const auto &member : m_members)
        member->router->setSeeds(seeds);
}

bool Fleet::hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

void Fleet::startRouters()
{
    for (const auto &member : m_members)
        member->router->start(true);
}

void Fleet::publishConfig(const std::string &kind, int timeoutMs)
{
    ++m_version;
    m_store.append(
        kOperator, "config",
        R"({"version":)" + std::to_string(m_version)
            + R"(,"routes":[{"name":"dispatch","host":"desk.example","path_prefix":"/dispatch/",)"
            + R"("kind":")" + kind + R"(","timeout_ms":)" + std::to_string(timeoutMs)
            + R"(,"target_latency_ms":150,"priority":1,"service":"desk","max_attempts":2,)"
            + R"("public":false,"sticky":false,"can_resume":false}],)"
            + R"("services":[{"name":"desk","health_path":"/health","max_connections":110,)"
            + R"("protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,)"
            + R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
            + R"("tenants":[{"name":"herders","api_keys":["herder-key"],"priority":1}]})");
    m_record.note("operator: version " + std::to_string(m_version) + " is acknowledged");
}

Replica &Fleet::startReplica(const std::string &zone)
{
    m_replicas.push_back(std::make_unique<Replica>(
        m_loop, "i-" + std::to_string(m_replicas.size() + 1), "desk", zone, m_record));
    Replica &replica = *m_replicas.back();
    m_store.append(kServers, replica.id(), replica.entry("ready"));
    m_record.note("replica " + replica.id() + " is listed as ready");
    return replica;
}

void Fleet::removeEntry(Replica &replica, Duration servesOn)
{
    m_store.append(kServers, replica.id(), "");
    replica.leave();
    m_record.note("replica " + replica.id() + " is gone from the list; it serves on for "
                  + std::to_string(servesOn.count() / 1000) + " ms");
    later(servesOn, [&replica] { replica.end(); });
}

void Fleet::drain(Replica &replica, Duration servesOn)
{
    m_store.append(kServers, replica.id(), replica.entry("draining"));
    replica.leave();
    m_record.note("replica " + replica.id() + " is listed as draining");
    later(servesOn, [this, &replica] {
        m_store.append(kServers, replica.id(), "");
        replica.end();
    });
}

void Fleet::later(Duration after, std::function<void()> action)
{
    m_later.emplace_back(now() + after, std::move(action));
}

void Fleet::run(Duration time, int perSecond)
{
    const TimePoint end = now() + time;
    const Duration pause = perSecond > 0 ? milliseconds(1000) / perSecond : time;
    TimePoint next = now();
    while (now() < end) {
        const TimePoint present = now();
        if (perSecond > 0 && present >= next) {
            next = std::max(next + pause, present - milliseconds(100));
            send();
        }
        for (std::size_t index = 0; index < m_later.size();) {
            if (m_later[index].first > present) {
                ++index;
                continue;
            }
            const auto action = std::move(m_later[index].second);
            m_later.erase(m_later.begin() + static_cast<std::ptrdiff_t>(index));
            action();
        }
        m_store.tick(present);
        look();
        m_loop.restart();
        try {
            m_loop.run_for(std::chrono::milliseconds(1));
        } catch (const std::invalid_argument &) {
            // Another case's router sent a request to an address that is the store's here now.
            m_record.note("a request that is none to a store was ignored");
        }
    }
}

void Fleet::send()
{
    const auto count = static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(),
                      [](const auto &member) { return member->takesRequests; }));
    if (count == 0)
        return;
    std::size_t turn = m_sentCount % count;
    for (const auto &member : m_members) {
        if (!member->takesRequests || turn-- > 0)
            continue;
        sendTo(*member, "dispatch " + std::to_string(m_sentCount));
        return;
    }
}

void Fleet::sendTo(Member &member, const std::string &body, Duration patience)
{
    Call call;
    call.id = "q" + std::to_string(++m_sentCount);
    call.leavesAt = now() + patience;
    call.caller = std::make_shared<RawCaller>(m_loop, member.router->callers());
    call.caller->send("POST /dispatch/trucks HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: "
                      + call.id + "\r\nX-Deadline-Ms: " + std::to_string(kPatience.count() / 1000)
                      + "\r\nAuthorization: Bearer herder-key\r\nContent-Length: "
                      + std::to_string(body.size()) + "\r\n\r\n" + body);
    m_record.onSent(call.id, member.router->name());
    m_calls.push_back(std::move(call));
}

bool Fleet::isServing() const
{
    return std::all_of(m_members.begin(), m_members.end(), [this](const auto &member) {
        return std::any_of(m_record.sent().begin(), m_record.sent().end(), [&](const auto &entry) {
            return entry.second.router == member->router->name() && entry.second.status == 200;
        });
    });
}

void Fleet::look()
{
    for (auto call = m_calls.begin(); call != m_calls.end();) {
        if (const auto response = call->caller->takeResponse()) {
            m_record.onAnswered(call->id, response->head.status,
                                std::string(response->head.valueOf("X-Replica-Id")));
        } else if (call->caller->isClosed()) {
            m_record.onClosed(call->id);
        } else if (now() >= call->leavesAt) {
            m_record.note("requester leaves " + call->id);
        } else {
            ++call;
            continue;
        }
        call = m_calls.erase(call);
    }
}

} // namespace comfrey::review
