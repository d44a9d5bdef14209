// Keeps this router up to date through other routers, so that few of them read the platform's
// store. A router follows the leader of its zone by long polling, and zone leaders follow the
// fleet's leader. A router without an upstream router or without fresh updates reads the store
// itself and exchanges request counts with the zones that do not follow it.
#pragma once

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "generated/routernews.generated.h"
#include "routers/loaddigest.h"
#include "routers/recordexchange.h"
#include "routers/recordfeed.h"
#include "routers/routerdirectory.h"
#include "routers/stalenesslimits.h"
#include "telemetry/eventlog.h"
#include "traffic/callerconnection.h"
#include "traffic/httpcall.h"

namespace comfrey {

/// What FleetSync needs from the router and reports to it.
class FleetSyncListener
{
public:
    virtual ~FleetSyncListener() = default;
    /// Another router sent records that were new; they are in the feed.
    virtual void onFeedChanged() = 0;
    /// This router's requests in flight at each backend server.
    virtual ServerRequests localRequests() const = 0;
    /// This router's requests in flight about each shared prompt.
    virtual ServerRequests localPrompts() const = 0;
    /// True while records may be missing because the store is lost or recovered a moment ago.
    virtual bool isStoreUnconfirmed() const = 0;
    /// Another router reported that its store is unconfirmed.
    virtual void onStoreUnconfirmedReported() = 0;
    /// remoteRequests() and remotePrompts() may have changed.
    virtual void onRemoteRequestsChanged() = 0;
};

/// Identity and start conditions of this router.
struct FleetSyncSettings
{
    RouterInfo self;
    std::vector<std::string> seeds; ///< Addresses of routers to poll for other routers.
    std::uint64_t startedAtMs = 0;  ///< Unix milliseconds when this router started.
    /// True if the whole fleet starts and has no callers yet: routers discover each other before
    /// they read the store. Otherwise a router reads the store at once, since callers wait.
    bool isFirstStart = true;
    Duration applyLimit = milliseconds(2000); ///< Each record of the store is applied within it.
};

/// Follows other routers and serves the polls of its followers.
class FleetSync : public RequestHandler
{
public:
    FleetSync(CallSender &caller, RecordFeed &feed, EventLog &log, std::function<TimePoint()> clock,
              FleetSyncSettings settings, FleetSyncListener &listener);

    /// Answers polls whose hold time ended and sends the polls that are due. To be called
    /// regularly.
    void tick(TimePoint now);
    /// Answers all held polls at once; to be called when the feed changed by a read of the store.
    void publish();
    /// Answers every poll from now on with the notice that this router is leaving, so that no other
    /// one relies on it. It stays up to date itself, since its requests go on.
    void stop();
    /// Reports whether reads of the store succeed; to be called while this router reads it.
    void setStoreReadable(bool readable);

    /// Reports up to when the store has confirmed the records that this router read itself.
    void setStoreConfirmed(TimePoint confirmedAt) { m_storeConfirmedAt = confirmedAt; }

    /// True if this router reads the store itself and the reads fail.
    bool storeReadsFail() const { return m_readsStore && m_storeState == StoreState::Unreadable; }
    /// True while this router should read the store itself.
    bool readsStore() const { return m_readsStore; }
    /// True if this router's records are up to date with the store.
    bool isFresh(TimePoint now) const;
    /// The last moment for which the store confirmed that all its earlier records are here, by
    /// reads of this router or of others; TimePoint::min() if there was none.
    TimePoint confirmedAt() const { return std::max(m_storeConfirmedAt, m_upstreamConfirmedAt); }
    /// True if followers may rely on this router's records. Only updates from preferred routers
    /// count, so that two routers can't follow each other.
    bool isFreshForFollowers(TimePoint now) const;
    /// The router that this one follows; none while it reads the store or no router can be
    /// followed.
    const std::optional<RouterInfo> &upstream() const { return m_upstream; }
    /// Rank of this router in its zone's order, from 0.
    std::size_t ownRank() const { return m_directory.ownRank(); }
    /// The known routers.
    const RouterDirectory &directory() const { return m_directory; }
    /// Requests of all other routers at each backend server.
    ServerRequests remoteRequests(TimePoint now) const { return m_servers.digest.remoteTotal(now); }
    /// Requests of all other routers about each prompt that has many of them.
    ServerRequests remotePrompts(TimePoint now) const { return m_prompts.digest.remoteTotal(now); }

    /// Receives a poll of another router.
    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                   std::string body) override;
    /// The same, with the connection to answer through.
    void onPoll(const std::shared_ptr<Responder> &responder, const std::string &body);
    const CallerLimits &limits() const override { return m_limits; }
    bool isStopping() const override { return false; }

private:
    /// Why a poll is sent, which decides how its answer is used.
    enum class PollPurpose : std::uint8_t {
        Follow,    ///< Keeps this router up to date.
        Probe,     ///< Checks whether a preferred router has fresh updates again.
        Exchange,  ///< Exchanges request counts and records between zones.
        Discovery, ///< Finds routers through the seeds.
    };

    /// Result of this router's latest reads of the store.
    enum class StoreState : std::uint8_t { Unknown, Readable, Unreadable };

    /// A long poll that is held until there are updates.
    struct WaitingPoll
    {
        std::weak_ptr<Responder> responder;
        wire::NewsAskT poll;
        TimePoint receivedAt;
        TimePoint answerBy;
    };

    /// Request counts by server or by prompt, and which of them are sent on.
    struct SharedCounts
    {
        LoadDigest digest;
        std::uint32_t minZoneCount = 1;   ///< Smaller sums of a zone are not sent to others.
        std::uint32_t minRemoteCount = 1; ///< Smaller sums of all others stay out of answers.
    };

    /// Counts to send with a poll: of this router or, to another zone, of its whole zone.
    ServerRequests countsForPoll(const SharedCounts &counts, const ServerRequests &local,
                                 const RouterInfo &upstream, PollPurpose purpose,
                                 TimePoint now) const;
    /// Counts to send with an answer: those that the polling router or its zone did not report.
    ServerRequests countsForAnswer(const SharedCounts &counts, const ServerRequests &local,
                                   const wire::NewsAskT &poll, TimePoint now) const;
    static void applyPollCounts(SharedCounts &counts, ServerRequests reported,
                                const wire::NewsAskT &poll, bool isSameZone, TimePoint now);
    void applyAnswerCounts(SharedCounts &counts, ServerRequests reported, const RouterInfo &router,
                           PollPurpose purpose, TimePoint now) const;

    void sendPoll(const RouterInfo &router, PollPurpose purpose, TimePoint now);
    /// A poll that was sent.
    struct SentPoll
    {
        PollPurpose purpose;
        bool wantsAllTopics; ///< It requested the records of all topics.
        RecordPoll records;
        TimePoint sentAt;
    };

    void onPollAnswer(const RouterInfo &router, const SentPoll &sent, const CallAnswer &answer);
    /// Stores the records of an answer in the feed, and up to where the router's changes are known.
    void applyRecords(const RouterInfo &router, const SentPoll &sent, wire::NewsAnswerT &updates);
    /// Takes over up to when the store has confirmed the records of an answer.
    void applyConfirmation(const SentPoll &sent, const wire::NewsAnswerT &updates);
    void applyUnstoredRecords(wire::NewsAskT &poll);
    void applyCounts(const RouterInfo &router, PollPurpose purpose,
                     const wire::NewsAnswerT &updates, TimePoint now);
    void answerPoll(Responder &responder, const wire::NewsAskT &poll, TimePoint receivedAt);
    void addRecords(wire::NewsAnswerT &updates, const wire::NewsAskT &poll);
    void registerRouter(const RouterInfo &router, std::uint64_t startedAtMs);
    /// True if other routers' confirmation by the store is younger than `age`.
    bool hasFreshUpdates(Duration age, TimePoint now) const
    {
        return isYounger(m_upstreamConfirmedAt, age, now);
    }
    static bool isYounger(TimePoint confirmedAt, Duration age, TimePoint now)
    {
        return confirmedAt != TimePoint::min() && now - confirmedAt < age;
    }
    /// Age of the confirmation, for logs; 0 if there is none.
    Duration confirmationAge(TimePoint now) const;
    /// False if another router should lead the zone: this one is leaving, or its reads failed.
    bool mayLead(TimePoint now) const
    {
        return !m_isLeaving && !(m_readsStore && m_storeState == StoreState::Unreadable)
            && now >= m_storeRetryAt;
    }
    /// Chooses the router to follow or to read the store, and sends the polls that are due.
    void updateUpstream(TimePoint now);
    void setReadsStore(bool reads, TimePoint now, std::string_view reason);
    /// Polls the leaders of the zones that do not follow this router.
    void exchangeWithZones(TimePoint now);
    /// Keeps records that only routers share spreading while no router is up to date with the
    /// store.
    void pollFallback(const RouterInfo &fallback, TimePoint now);
    /// How long the upstream router of this zone may hold a poll; grows with the zone.
    Duration longPollTime() const;

    /// The last change of another router that this router has.
    struct FeedPosition
    {
        std::uint64_t source = 0; ///< The router's start id; a restart numbers its changes anew.
        std::uint64_t number = 0;
    };

    /// Progress of the exchange with another router.
    struct RouterState
    {
        RecordPosition allTopics; ///< Position in the records of all topics.
        FeedPosition routerTopic; ///< Position in the records of routers.
        std::uint64_t acknowledgedChange =
            0;                  ///< This router's last change that the other one surely received.
        bool isPolling = false; ///< A poll is unanswered.
    };

    /// Records of topics that are not in the store, changed after the change `since`.
    std::vector<std::unique_ptr<wire::NewsRecordT>> unstoredRecords(std::uint64_t since) const;

    CallSender &m_caller;
    RecordFeed &m_feed;
    EventLog &m_log;
    std::function<TimePoint()> m_clock;
    FleetSyncSettings m_settings;
    StalenessLimits m_staleness;
    FleetSyncListener &m_listener;
    CallerLimits m_limits;
    RouterDirectory m_directory;
    SharedCounts m_servers;
    SharedCounts m_prompts;
    std::list<WaitingPoll> m_waitingPolls;
    std::map<std::string, RouterState> m_routerStates; ///< By the router's address.
    std::map<std::string, TimePoint> m_countsSentAt;   ///< By the polling router's name.
    std::optional<RouterInfo>
        m_upstream; ///< None while this router reads the store or no router can be followed.
    std::uint64_t m_startId; ///< Start of this router in microseconds of its clock.
    TimePoint m_startedAt;
    TimePoint m_upstreamSince = TimePoint::min();
    TimePoint m_storeConfirmedAt = TimePoint::min();    ///< By this router's own reads.
    TimePoint m_upstreamConfirmedAt = TimePoint::min(); ///< By other routers' reads.
    TimePoint m_nextExchangeAt = TimePoint::min();
    TimePoint m_nextFallbackPollAt = TimePoint::min();
    std::string m_fallbackName; ///< Last polled fallback; empty while updates are fresh.
    TimePoint m_nextDiscoveryAt = TimePoint::min();
    std::int64_t m_emptyAnswerBytes = 0; ///< Size of the last upstream answer without records.
    bool m_wasFreshForFollowers = false; ///< At the last tick.
    bool m_readsStore = false;
    StoreState m_storeState = StoreState::Unknown;
    std::uint32_t m_storeFailures =
        0; ///< Times that reads of the store began to fail since they last succeeded.
    TimePoint m_storeRetryAt =
        TimePoint::min();     ///< Until then another router should lead the zone.
    bool m_isLeaving = false; ///< No other router may rely on this one any more.
};

} // namespace comfrey
