// Shares the queues of small services between routers. One router, the queue owner, has the queues;
// the other routers request leases from it by long polls over HTTP. If no owner answers, a router
// chooses servers without a lease.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "dispatch/queueownerhealth.h"
#include "dispatch/replicatable.h"
#include "gateway/leasesource.h"
#include "generated/places.generated.h"
#include "routers/routerdirectory.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"
#include "traffic/callerconnection.h"
#include "traffic/httpcall.h"

namespace comfrey {

/// Objects that SharedQueueLink uses; they must outlive it.
struct SharedQueueLinkDependencies
{
    boost::asio::io_context &loop;
    HttpCaller &caller;
    const ReplicaTable &replicas;
    EventLog &log;
    Metrics &metrics;
    RouterInfo self;
    const RouterDirectory &routers;
    std::function<TimePoint()> clock;
};

/// Both sides of a shared queue: requests leases for the requests of this router, and grants leases
/// to all routers while this router is the queue owner.
class SharedQueueLink : public LeaseSource, public RequestHandler
{
public:
    static constexpr std::string_view kTarget =
        "/place"; ///< Path on the port that routers use among themselves.

    explicit SharedQueueLink(SharedQueueLinkDependencies dependencies);

    bool isShared(const ServiceName &service, TimePoint now) const override;
    void requestLease(const LeaseRequirements &requirements, TimePoint now,
                      Handler handler) override;
    void releaseLease(const Lease &lease, LeaseOutcome outcome, TimePoint now) override;

    /// Drops abandoned requests and makes the decisions that have become possible. To be called a
    /// few times a second.
    void tick(TimePoint now);
    /// Refuses new lease requests of other routers, so that they turn to the next queue owner.
    /// Requests that already wait here still get their decision.
    void stop() { m_stopping = true; }

    /// Handles a poll of another router: releases the leases that it returns, and answers with the
    /// decision on its request. 400 if the body cannot be parsed, 503 if this router is stopping.
    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                   std::string body) override;
    const CallerLimits &limits() const override { return m_limits; }
    bool isStopping() const override { return false; }

private:
    /// A request in a queue of this router, and where its decision is sent.
    struct WaitingRequest
    {
        ServiceName service;
        Handler handler;                          ///< Of a local request; else null.
        std::shared_ptr<CallerConnection> caller; ///< Of a remote request; null between two polls.
        TimePoint pollDeadline;                   ///< The poll is answered with Later by then.
        std::optional<LeaseDecision> decision; ///< Made between two polls; the next poll gets it.
    };

    /// A request of this router that has no decision yet.
    struct LocalRequest
    {
        wire::PlaceAskT poll;
        TimePoint answerDeadline; ///< The caller has left by then.
        TimePoint onTimeDeadline;
        TimePoint callerDeadline; ///< Only if the caller said when it leaves.
        TimePoint requestedAt;
        TimePoint arrivedAt;   ///< At this router.
        bool isQueued = false; ///< An owner said that it waits in its queue.
        Handler handler;
    };

    /// The first router in the fleet's shared order that is not unresponsive, so that all routers
    /// agree on one owner.
    std::optional<RouterInfo> queueOwner(TimePoint now) const;
    /// Enqueues the request if this router is the queue owner, otherwise polls the owner. A request
    /// that was undecided for too long is placed without a lease.
    void submit(LocalRequest request, TimePoint now);
    /// Sets the poll's times to what is left, and has passed, now.
    static void refreshTimes(LocalRequest &request, TimePoint now);
    void pollOwner(const RouterInfo &owner, LocalRequest request, TimePoint now);
    /// Refuses a request that waits in the owner's queue; any other is placed without a lease.
    void decideAlone(const RouterInfo &owner, const LocalRequest &request);
    void onPollAnswer(const RouterInfo &owner, LocalRequest request, const CallAnswer &answer);
    /// Skips the router as queue owner for a while.
    void onUnresponsive(const RouterInfo &owner, const CallAnswer &answer, TimePoint now);
    /// Tells the owner that this router waits for the request no longer.
    void withdraw(const RouterInfo &owner, const LocalRequest &request);
    void onWithdrawn(std::uint64_t requestId, const ServiceName &service, TimePoint now);
    void onPoll(const std::shared_ptr<CallerConnection> &caller, const wire::PlaceAskT &poll,
                TimePoint now);
    /// The queue of the service, with its present list of servers.
    ServiceQueue &refreshedQueue(const ServiceName &service);
    /// Makes all decisions that are possible now and sends them to the routers that wait for them.
    void deliverDecisions(const ServiceName &service, TimePoint now);
    /// Answers polls with Later that have reached their deadline, and sets the timer for the next.
    void answerDuePolls(TimePoint now);
    void setPollTimer(TimePoint deadline, TimePoint now);
    /// Adds what the queue counted since the last call to the metrics, and logs it once in a while.
    void reportCounts(const ServiceName &service, TimePoint now);
    void deliver(WaitingRequest &waiting, const LeaseDecision &decision, TimePoint now);
    void answer(CallerConnection &caller, const wire::PlaceAnswerT &answer);
    HttpCaller::Call makeCall(const BackendConnection::Endpoint &to,
                              const wire::PlaceAskT &message);

    SharedQueueLinkDependencies m_dependencies;
    CallerLimits m_limits;
    std::map<ServiceName, ServiceQueue> m_queues;
    struct ReportedCounts
    {
        ServiceQueue::Counts counted; ///< In the metrics.
        ServiceQueue::Counts logged;
        TimePoint loggedAt = TimePoint::min();
    };

    std::map<ServiceName, ReportedCounts> m_reported;
    std::map<std::uint64_t, WaitingRequest> m_waitingRequests; ///< By request id.
    QueueOwnerHealth m_ownerHealth;
    boost::asio::steady_timer m_pollTimer;
    TimePoint m_pollTimerAt = kNever; ///< When the timer expires; kNever: it is not set.
    /// Ids of requests that were withdrawn before their poll arrived, the oldest first; bounded.
    std::deque<std::uint64_t> m_withdrawn;
    bool m_stopping = false;
    std::uint64_t m_lastRequestId;
};

} // namespace comfrey
