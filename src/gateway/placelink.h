// Shares the queues of small services between routers: one router keeps them, the others ask it
// over HTTP. Without an answer a router places alone.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "dispatch/replicatable.h"
#include "gateway/placesource.h"
#include "generated/places.generated.h"
#include "routers/routerdirectory.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"
#include "traffic/callerconnection.h"
#include "traffic/httpcall.h"

namespace comfrey {

struct PlaceLinkParts
{
    HttpCaller &caller;
    const ReplicaTable &replicas;
    EventLog &log;
    Metrics &metrics;
    RouterInfo self;
    const RouterDirectory &routers;
    std::function<TimePoint()> clock;
};

class PlaceLink : public PlaceSource, public RequestHandler
{
public:
    static constexpr std::string_view kTarget = "/place"; ///< On the routers' port.

    explicit PlaceLink(PlaceLinkParts parts);

    bool isShared(const ServiceName &service, TimePoint now) const override;
    void ask(const PlaceRequest &request, TimePoint now, Handler handler) override;
    void end(const PlaceTicket &ticket, PlaceEnd end, TimePoint now) override;

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
    struct Waiting
    {
        ServiceName service;
        Handler handler;                          ///< Of an own request; else null.
        std::shared_ptr<CallerConnection> caller; ///< Of another router's; null between two asks.
        TimePoint answerBy;                       ///< Another router is told to ask again by then.
        std::optional<PlaceDecision> decision;    ///< Made while nobody was there to hear it.
    };

    /// An own wish on its way.
    struct Asking
    {
        wire::PlaceAskT wish;
        TimePoint until; ///< An answer after it reaches nobody.
        TimePoint onTimeUntil;
        Handler handler;
        int keepersLeft = 0; ///< That may still be asked if the present one does not answer.
    };

    /// The first router in the order of all that answers: all routers ask the same one.
    std::optional<RouterInfo> keeper(TimePoint now) const;
    void ask(Asking asking, TimePoint now);
    void askKeeper(const RouterInfo &keeper, Asking asking, TimePoint now);
    void onAnswer(const RouterInfo &keeper, Asking asking, const CallAnswer &answer);
    void onSilent(const RouterInfo &keeper, const CallAnswer &answer, TimePoint now);
    void takeWish(const std::shared_ptr<CallerConnection> &caller, const wire::PlaceAskT &ask,
                  TimePoint now);
    ServiceQueue &queueOf(const ServiceName &service);
    void decide(const ServiceName &service, TimePoint now);
    void tell(Waiting &waiting, const PlaceDecision &decision, TimePoint now);
    void answer(CallerConnection &caller, const wire::PlaceAnswerT &answer);
    HttpCaller::Call callTo(const BackendConnection::Endpoint &to, const wire::PlaceAskT &ask);

    PlaceLinkParts m_parts;
    CallerLimits m_limits;
    std::map<ServiceName, ServiceQueue> m_queues;
    std::map<std::uint64_t, Waiting> m_waiting; ///< By wish.
    /// A router that did not answer.
    struct Silent
    {
        TimePoint until;
        std::uint32_t times = 0; ///< In a row.
    };

    std::map<std::string, Silent> m_silent; ///< By address.
    bool m_stopping = false;
    std::uint64_t m_lastWish;
};

} // namespace comfrey
