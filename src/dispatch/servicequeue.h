// Queue of lease requests in front of the backend servers of a small service, shared by all
// routers.
//
// A small service has fewer server slots than there are routers: 73 to 300 routers share 3 to 7
// servers with 6 slots each. One router sees only a small part of the requests and learns of the
// remote ones a few hundred milliseconds late, while a slot is free again after 30 ms. If each
// router placed its requests alone, requests would wait at some servers while other servers idle,
// and at peak load every request would be late instead of a few. With one queue, a router sends a
// request only after the queue has granted a lease: the right to have one request in flight at a
// server.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "comfrey/units.h"

namespace comfrey {

/// Request of a caller that waits for a lease.
struct LeaseRequest
{
    std::uint64_t id = 0; ///< Unique among the waiting requests.
    std::string organisation;
    std::uint32_t priority = 0;          ///< 0 is the most urgent.
    TimePoint onTimeDeadline;            ///< Answers until then are on time.
    TimePoint answerDeadline;            ///< The caller has left by then.
    std::vector<std::uint32_t> excluded; ///< Servers to avoid, by incarnation hash.
};

/// Grant or refusal of a lease.
struct LeaseDecision
{
    std::uint64_t requestId = 0;
    std::uint64_t leaseId = 0; ///< 0 if the lease was refused.
    std::uint32_t server = 0;  ///< Hash of the incarnation of the granted server.
    Duration retryAfter{0};    ///< Of a refusal: time until the caller may retry.
};

/// Outcome of the request that was sent under a lease.
enum class LeaseOutcome : std::uint8_t {
    Unused,      ///< The request was not sent.
    Answered,    ///< The server answered without failure, in its usual time.
    NotRun,      ///< The server rejected the request because it was full.
    Failed,      ///< The server failed or did not answer.
    Unreachable, ///< No connection to the server could be opened.
};

/// Backend server that the queue may grant leases for.
struct QueueServer
{
    std::uint32_t incarnationHash = 0; ///< Hash of the server's incarnation.
    std::uint32_t slots = 1;           ///< Requests that the server runs at the same time.
};

/// Grants leases for the servers of one service to waiting requests, and refuses requests that
/// cannot be answered before their caller leaves. Not thread-safe; the time is an argument of each
/// function.
class ServiceQueue
{
public:
    /// Leases granted beyond a server's slots, so that the next requests already travel to the
    /// server when a slot becomes free.
    static constexpr std::uint32_t kExtraLeases = 3;

    /// Replaces the list of servers that accept requests. Leases of servers that leave the list
    /// stay valid and count again when the server returns.
    void setServers(const std::vector<QueueServer> &servers);
    bool hasServers() const { return !m_servers.empty(); }

    /// Adds a waiting request; the next decide() may grant or refuse it.
    void enqueue(LeaseRequest request, TimePoint now);
    /// Removes a waiting request. Returns false if it is not waiting.
    bool withdraw(std::uint64_t requestId);
    /// Ends a lease and updates the load and failure statistics of its server. Unknown and expired
    /// ids are ignored.
    void release(std::uint64_t leaseId, LeaseOutcome outcome, TimePoint now);
    /// Drops expired leases, refuses requests that cannot be served in time and grants every lease
    /// that a server has room for. Returns the decisions, refusals first.
    std::vector<LeaseDecision> decide(TimePoint now);

    /// Number of waiting requests.
    std::size_t waitingCount() const { return m_waiting.size(); }
    /// Number of leases that are granted and not released.
    std::size_t leaseCount() const { return m_leases.size(); }

private:
    struct Server
    {
        std::uint32_t slots = 1;
        std::uint32_t leases = 0;
        double leaseTimeUs = 0;  ///< Moving average of the time from grant to release; 0: none yet.
        double failureRatio = 0; ///< Moving average of failed requests, 0 to 1.
        std::uint32_t consecutiveConnectFailures = 0; ///< Reset by an answer.
        TimePoint pausedUntil = TimePoint::min();
    };

    struct GrantedLease
    {
        std::uint32_t server = 0;
        TimePoint grantedAt;
        TimePoint expiresAt; ///< Reached if its router has died or cannot reach this one.
    };

    using WaitingRequests = std::list<LeaseRequest>;

    /// Number of leases at the server, also if it is not in the list of servers.
    std::uint32_t leaseCountAt(std::uint32_t server) const;
    void dropExpiredLeases(TimePoint now);
    void refuseUnservable(TimePoint now, std::vector<LeaseDecision> &decisions);
    /// The waiting request to serve next among those that a server has room for, or the end.
    WaitingRequests::iterator nextRequest(TimePoint now);
    bool comesBefore(const LeaseRequest &left, const LeaseRequest &right, TimePoint now) const;
    /// The server with room and the lowest expected time for the request, or the end.
    std::map<std::uint32_t, Server>::iterator bestServerFor(const LeaseRequest &request,
                                                            TimePoint now);
    /// Mean of the servers' average lease times.
    double meanLeaseTimeUs() const;
    std::uint32_t totalSlots() const; ///< Sum over all servers, at least 1.
    /// True if a lease granted now is expected to give an answer on time.
    bool isOnTime(const LeaseRequest &request, TimePoint now) const;
    /// Maximum number of waiting requests that cannot be answered on time any more.
    std::size_t maxLateWaiting() const;
    /// Time in which the servers work off all waiting requests.
    Duration drainTime() const;
    /// Leases granted to the organisation recently, relative to its usual number of requests.
    double grantedRatio(const std::string &organisation) const;
    /// Ages the request and grant counts of all organisations.
    void decayCounts(TimePoint now);

    std::map<std::uint32_t, Server> m_servers;      ///< By hash of the incarnation.
    std::map<std::uint64_t, GrantedLease> m_leases; ///< By lease id.
    WaitingRequests m_waiting;                      ///< In order of arrival.
    struct Organisation
    {
        double requested = 0; ///< Requests; decays slowly, so it shows the usual load.
        double granted = 0;   ///< Leases; decays quickly.
    };

    std::map<std::string, Organisation> m_organisations; ///< By name.
    TimePoint m_decayedAt = TimePoint::min();
    std::uint64_t m_lastLeaseId = 0; ///< Lease ids start at 1, since 0 means refused.
};

} // namespace comfrey
