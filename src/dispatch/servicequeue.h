// One queue for the requests of all routers before the servers of a small service.
//
// Load: 73 to 300 routers share 3 to 7 servers with 6 places each. A router sees a sliver of the
// requests and hears of the others' a few hundred milliseconds late, while a place is free again
// after 30: placed by each router alone, requests wait before some servers while others idle, and
// at a peak all of them are late instead of a few.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "comfrey/units.h"

namespace comfrey {

/// A request that wants a place at a server.
struct LeaseRequest
{
    std::uint64_t id = 0; ///< Unique among those that wait.
    std::string organisation;
    std::uint32_t priority = 0;          ///< 0 is the most urgent.
    TimePoint onTimeDeadline;            ///< An answer by then is on time.
    TimePoint answerDeadline;            ///< An answer after that reaches nobody.
    std::vector<std::uint32_t> excluded; ///< Servers that the request is not to go to.
};

struct LeaseDecision
{
    std::uint64_t requestId = 0;
    std::uint64_t leaseId = 0; ///< 0: refused.
    std::uint32_t server = 0;  ///< Hash of the server's incarnation.
    Duration retryAfter{0};    ///< Of a refusal.
};

/// How the use of a place ended.
enum class LeaseOutcome : std::uint8_t {
    Unused,      ///< The request left before it was sent.
    Answered,    ///< Well, in the server's usual time.
    NotRun,      ///< The server had no room.
    Failed,      ///< With a failure, or without an answer.
    Unreachable, ///< No connection.
};

struct QueueServer
{
    std::uint32_t incarnationHash = 0; ///< Of the incarnation.
    std::uint32_t slots = 1;
};

class ServiceQueue
{
public:
    /// Requests over a server's slots: the next ones are on their way when a place becomes free.
    static constexpr std::uint32_t kExtraLeases = 3;

    /// The servers that take work now.
    void setServers(const std::vector<QueueServer> &servers);
    bool hasServers() const { return !m_servers.empty(); }

    void enqueue(LeaseRequest request, TimePoint now);
    /// The request waits no longer. False if it had its decision.
    bool withdraw(std::uint64_t requestId);
    void release(std::uint64_t leaseId, LeaseOutcome outcome, TimePoint now);
    /// All decisions that can be made now.
    std::vector<LeaseDecision> decide(TimePoint now);

    std::size_t waitingCount() const { return m_waiting.size(); }
    std::size_t leaseCount() const { return m_leases.size(); }

private:
    struct Server
    {
        std::uint32_t slots = 1;
        std::uint32_t leases = 0;
        double leaseTimeUs = 0;  ///< Smoothed time for which a place is used; 0 before the first.
        double failureRatio = 0; ///< Smoothed.
        std::uint32_t consecutiveConnectFailures = 0; ///< Connections that failed, in a row.
        TimePoint pausedUntil = TimePoint::min();
    };

    struct GrantedLease
    {
        std::uint32_t server = 0;
        TimePoint grantedAt;
        TimePoint expiresAt; ///< Its router has died or lost the way here.
    };

    using WaitingRequests = std::list<LeaseRequest>;

    /// Of a server that is listed again: its places may still be in use.
    std::uint32_t leaseCountAt(std::uint32_t server) const;
    void dropExpiredLeases(TimePoint now);
    void refuseUnservable(TimePoint now, std::vector<LeaseDecision> &decisions);
    /// The wish to serve next of those that some server can take; the end if there is none.
    WaitingRequests::iterator nextRequest(TimePoint now);
    bool comesBefore(const LeaseRequest &left, const LeaseRequest &right, TimePoint now) const;
    /// The best free server for the wish, or null.
    std::map<std::uint32_t, Server>::iterator bestServerFor(const LeaseRequest &request,
                                                            TimePoint now);
    double meanLeaseTimeUs() const;
    std::uint32_t totalSlots() const; ///< Of all servers, at least 1.
    bool isOnTime(const LeaseRequest &request, TimePoint now) const;
    /// Most requests that wait though they can't be on time any more.
    std::size_t maxLateWaiting() const;
    Duration drainTime() const;
    /// What the organisation got lately against what it usually asks for.
    double grantedRatio(const std::string &organisation) const;
    void decayCounts(TimePoint now);

    std::map<std::uint32_t, Server> m_servers; ///< By hash of the incarnation.
    std::map<std::uint64_t, GrantedLease> m_leases;
    WaitingRequests m_waiting; ///< In order of arrival.
    struct Organisation
    {
        double requested = 0; ///< Slowly forgotten: its usual part of the requests.
        double granted = 0;   ///< Quickly forgotten.
    };

    std::map<std::string, Organisation> m_organisations;
    TimePoint m_decayedAt = TimePoint::min();
    std::uint64_t m_lastLeaseId = 0;
};

} // namespace comfrey
