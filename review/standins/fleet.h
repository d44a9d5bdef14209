// Routers as processes, the platform's store, replicas and requesters of one case.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "faultypath.h"
#include "fleetclock.h"
#include "replica.h"
#include "routerprocess.h"
#include "standinstore.h"

namespace comfrey::review {

constexpr int kPerSecond = 200; ///< Requests of all requesters.

/// Each router reaches the store on a path of its own, which can be disturbed.
struct Member
{
    std::unique_ptr<soak::FaultyPath> storePath;
    std::unique_ptr<Router> router;
    bool takesRequests = true; ///< The balancer sends requests there.
};

class Fleet
{
public:
    static constexpr const char *kServers = "keyed.servers";
    static constexpr const char *kOperator = "keyed.op";

    /// `arguments`: the router's program, the folder of record.txt, a folder for settings and logs.
    Fleet(int argumentCount, char **arguments, std::size_t routers);

    /// False with TROUBLE=0 in the environment.
    static bool hasTrouble();

    void startRouters();
    /// Publishes a configuration with one route to the service "desk", of this kind.
    void publishConfig(const std::string &kind, int timeoutMs);
    /// A replica starts and is listed as ready.
    Replica &startReplica(const std::string &zone);
    /// The entry of a replica goes without a word: it serves for a while, then it exits.
    void removeEntry(Replica &replica, Duration servesOn);

    /// A replica reports `draining`, and leaves after `servesOn`.
    void drain(Replica &replica, Duration servesOn);

    /// Runs the loop; meanwhile requesters send `perSecond` requests a second, in turn to each
    /// router that takes requests.
    void run(Duration time, int perSecond);
    /// True if each router has answered a request with success.
    bool isServing() const;
    /// Sends one request with this body to this router. The requester leaves after `patience`.
    void sendTo(Member &member, const std::string &body, Duration patience = milliseconds(4000));
    void later(Duration after, std::function<void()> action);

    Record &record() { return m_record; }
    soak::StandInStore &store() { return m_store; }
    Member &member(std::size_t index) { return *m_members.at(index); }
    std::size_t size() const { return m_members.size(); }
    boost::asio::io_context &loop() { return m_loop; }
    Replica &replica(std::size_t index) { return *m_replicas.at(index); }

private:
    struct Call
    {
        std::string id;
        std::shared_ptr<loopback::RawCaller> caller;
        TimePoint leavesAt;
    };

    void send();
    void look();

    boost::asio::io_context m_loop;
    Record m_record;
    std::string m_program;
    std::string m_folder;
    soak::StandInStore m_store;
    std::vector<std::unique_ptr<Member>> m_members;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::list<Call> m_calls;
    std::vector<std::pair<TimePoint, std::function<void()>>> m_later;
    std::size_t m_sentCount = 0;
    int m_version = 6;
};

} // namespace comfrey::review
