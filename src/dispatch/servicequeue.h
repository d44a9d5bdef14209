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
#include <tuple>
#include <vector>

#include "comfrey/units.h"
#include "dispatch/flowrate.h"
#include "dispatch/refusalmemory.h"

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
    std::uint64_t fingerprint = 0;       ///< The same for equal requests of one caller; 0: unknown.
    Duration callerTime{0};              ///< Time that the caller still waits; 0: unknown.
    Duration waited{0};                  ///< Time since the request arrived at its router.
    bool isRetry = false; ///< An earlier lease did not lead to an answer: it stays kept.
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
/// cannot be answered before their caller leaves. A request is refused when it arrives, or when a
/// more urgent one displaces it soon after; one that has waited for kDecisionTime is kept, and
/// served before the time that it has ends. Not thread-safe; the time is an argument of each
/// function.
class ServiceQueue
{
public:
    /// Leases granted beyond a server's slots, so that the next requests already travel to the
    /// server when a slot becomes free.
    static constexpr std::uint32_t kExtraLeases = 3;
    /// Requests that have waited for so long are not refused for lack of room any more.
    static constexpr Duration kDecisionTime = milliseconds(80);

    /// What the queue did, for metrics. Each is a number of requests.
    struct Counts
    {
        std::uint64_t refusedAtOnce = 0; ///< In the first decide() after they arrived.
        std::uint64_t displaced = 0;     ///< Refused later, in favour of more urgent requests.
        std::uint64_t refusedLate = 0;   ///< Kept, and then not served in time.
        std::uint64_t cameBack = 0;      ///< Attempts of callers that had been refused.
        std::uint64_t cameBackEarly = 0; ///< Of these, before the time that they were told.
    };

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
    /// Releases the lease that was granted for the request, if any, as unused.
    void releaseUnusedOf(std::uint64_t requestId, TimePoint now);
    /// Drops expired leases, refuses requests that cannot be served in time and grants every lease
    /// that a server has room for. Returns the decisions.
    std::vector<LeaseDecision> decide(TimePoint now);

    /// Number of waiting requests.
    std::size_t waitingCount() const { return m_waiting.size(); }
    /// Number of leases that are granted and not released.
    std::size_t leaseCount() const { return m_leases.size(); }
    const Counts &counts() const { return m_counts; }

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
        std::uint64_t requestId = 0;
        TimePoint grantedAt;
        TimePoint expiresAt; ///< Reached if its router has died or cannot reach this one.
    };

    struct WaitingRequest
    {
        LeaseRequest request;
        TimePoint arrivedAt;       ///< At its router.
        TimePoint callerDeadline;  ///< The caller leaves; only if it is known.
        bool isPlanned = false;    ///< A plan has kept it.
        bool isKeptReturn = false; ///< Its caller came back when it was told to.
    };

    using WaitingRequests = std::list<WaitingRequest>;

    /// Order in which requests are served; the lesser comes first.
    struct Place
    {
        enum class Class : std::uint8_t {
            Due,    ///< Kept, and its time ends soon.
            OnTime, ///< Can still be answered on time.
            Late,   ///< A late answer loses nothing by a little more delay.
        };

        Class timeClass = Class::OnTime;
        std::uint32_t priority = 0;
        std::uint8_t rank = 0;   ///< Kept requests, then returns that were told when, then others.
        double grantedRatio = 0; ///< Of the organisation.

        bool operator<(const Place &other) const
        {
            return std::tie(timeClass, priority, rank, grantedRatio)
                < std::tie(other.timeClass, other.priority, other.rank, other.grantedRatio);
        }
    };

    /// Number of leases at the server, also if it is not in the list of servers.
    std::uint32_t leaseCountAt(std::uint32_t server) const;
    void dropExpiredLeases(TimePoint now);
    /// True for a retry that must avoid every server.
    bool hasTriedAll(const LeaseRequest &request) const;
    /// Refuses requests whose time is too short for an answer, and retries that have tried every
    /// server.
    void refuseExpired(TimePoint now, std::vector<LeaseDecision> &decisions);
    /// Grants every lease that a server has room for.
    void grantLeases(TimePoint now, std::vector<LeaseDecision> &decisions);
    /// Refuses the requests that will not be served in their time: what is before each in the order
    /// and the drain rate tell when it will be its turn.
    void refuseUnservable(TimePoint now, std::vector<LeaseDecision> &decisions);
    LeaseDecision refuse(const WaitingRequest &waiting, Duration drainTime, TimePoint now);
    /// The waiting request to serve next among those that a server has room for, or the end.
    WaitingRequests::iterator nextRequest(TimePoint now);
    Place placeOf(const WaitingRequest &waiting, TimePoint now) const;
    /// True if the request is not refused for lack of room any more.
    bool isKept(const WaitingRequest &waiting, TimePoint now) const;
    /// The server with room and the lowest expected time for the request, or the end.
    std::map<std::uint32_t, Server>::iterator bestServerFor(const LeaseRequest &request,
                                                            TimePoint now);
    /// Mean of the servers' average lease times.
    Duration meanLeaseTime() const;
    Duration minAnswerTime() const;   ///< Remaining time without which no lease is granted.
    std::uint32_t totalSlots() const; ///< Sum over all servers, at least 1.
    /// True if a lease granted now is expected to give an answer on time.
    bool isOnTime(const LeaseRequest &request, TimePoint now) const;
    /// Leases granted to the organisation recently, relative to its usual number of requests.
    double grantedRatio(const std::string &organisation) const;
    /// True if requests wait for busy servers; not if they wait because no server can be reached.
    bool isSaturated() const;
    /// The time at which the first server's pause ends; `now` if one is not paused.
    TimePoint nextGrantFrom(TimePoint now) const;
    /// Requests that may wait: while no server can be reached, only those that get a lease as
    /// soon as one is tried again at `from`, since it may fail then too.
    std::size_t roomAt(TimePoint from, TimePoint now) const;
    double drainRate() const; ///< Leases a second that the servers can end.
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
    DrainRate m_drainRate;
    std::uint32_t m_ratedSlots =
        0; ///< Slots that m_drainRate is for; 0: there were no servers yet.
    ArrivalRate m_firstAttempts;
    RefusalMemory m_refusals;
    bool m_needsPlan = false; ///< The waiting requests changed since the last plan.
    Counts m_counts;
};

} // namespace comfrey
