// Shares the queues of small services between routers: one router keeps them, the others ask it
// over HTTP. Without an answer a router places alone.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "dispatch/replicatable.h"
#include "gateway/leasesource.h"
#include "generated/places.generated.h"
#include "routers/routerdirectory.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"
#include "traffic/callerconnection.h"
#include "traffic/httpcall.h"

namespace comfrey {

struct SharedQueueLinkDependencies
{
    HttpCaller &caller;
    const ReplicaTable &replicas;
    EventLog &log;
    Metrics &metrics;
    KnownRouter self;
    const RouterDirectory &routers;
    std::function<TimePoint()> clock;
};

class SharedQueueLink : public LeaseSource, public RequestHandler
{
public:
    static constexpr std::string_view kTarget = "/place"; ///< On the routers' port.

    explicit SharedQueueLink(SharedQueueLinkDependencies dependencies);

    bool isShared(const ServiceName &service, TimePoint now) const override;
    void requestLease(const LeaseRequirements &requirements, TimePoint now,
                      Handler handler) override;
    void releaseLease(const Lease &lease, LeaseOutcome outcome, TimePoint now) override;

    /// A few times a second.
    void tick(TimePoint now);
    /// From now on other routers ask another one.
    void stop() { m_stopping = true; }

    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                   std::string body) override;
    const CallerLimits &limits() const override { return m_limits; }
    bool isStopping() const override { return false; }

private:
    /// A wish in a queue of this router: who hears of its decision.
    struct WaitingRequest
    {
        ServiceName service;
        Handler handler;                          ///< Of an own request; else null.
        std::shared_ptr<CallerConnection> caller; ///< Of another router's; null between two asks.
        TimePoint pollDeadline;                ///< Another router is message to ask again by then.
        std::optional<LeaseDecision> decision; ///< Made while nobody was there to hear it.
    };

    /// An own wish on its way.
    struct LocalRequest
    {
        wire::PlaceAskT poll;
        TimePoint answerDeadline; ///< An answer after it reaches nobody.
        TimePoint onTimeDeadline;
        Handler handler;
        int ownersLeft = 0; ///< That may still be asked if the present one does not answer.
    };

    /// The first router in the order of all that answers: all routers ask the same one.
    std::optional<KnownRouter> queueOwner(TimePoint now) const;
    void submit(LocalRequest request, TimePoint now);
    void pollOwner(const KnownRouter &owner, LocalRequest request, TimePoint now);
    void onPollAnswer(const KnownRouter &owner, LocalRequest request, const CallAnswer &answer);
    void onUnresponsive(const KnownRouter &owner, const CallAnswer &answer, TimePoint now);
    void onPoll(const std::shared_ptr<CallerConnection> &caller, const wire::PlaceAskT &poll,
                TimePoint now);
    ServiceQueue &refreshedQueue(const ServiceName &service);
    void deliverDecisions(const ServiceName &service, TimePoint now);
    void deliver(WaitingRequest &waiting, const LeaseDecision &decision, TimePoint now);
    void answer(CallerConnection &caller, const wire::PlaceAnswerT &answer);
    HttpCaller::Call makeCall(const BackendConnection::Endpoint &to,
                              const wire::PlaceAskT &message);

    SharedQueueLinkDependencies m_dependencies;
    CallerLimits m_limits;
    std::map<ServiceName, ServiceQueue> m_queues;
    std::map<std::uint64_t, WaitingRequest> m_waitingRequests; ///< By wish.
    /// A router that did not answer.
    struct UnresponsiveRouter
    {
        TimePoint skippedUntil;
        std::uint32_t consecutiveFailures = 0; ///< In a row.
    };

    std::map<std::string, UnresponsiveRouter> m_unresponsive; ///< By address.
    bool m_stopping = false;
    std::uint64_t m_lastRequestId;
};

} // namespace comfrey
