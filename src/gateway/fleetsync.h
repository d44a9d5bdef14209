// Keeps this router up to date through other routers, so that few of them read the platform's
// store: it asks the first router of its zone, and that one asks the first of all zones. A router
// that has nobody to ask, or hears no fresh news, reads the store itself and exchanges requests
// with the zones that do not ask it.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "generated/routernews.generated.h"
#include "routers/loaddigest.h"
#include "routers/recordfeed.h"
#include "routers/routerdirectory.h"
#include "telemetry/eventlog.h"
#include "traffic/callerconnection.h"
#include "traffic/httpcall.h"

namespace comfrey {

class FleetSyncListener
{
public:
    virtual ~FleetSyncListener() = default;
    /// Another router told of records that were new.
    virtual void onFeedChanged() = 0;
    /// This router's own requests at each backend server.
    virtual ServerRequests localRequests() const = 0;
    /// The same about each shared prompt.
    virtual ServerRequests localPrompts() const = 0;
    /// True while records may be missing from the store since it is, or was, lost.
    virtual bool isStoreUnconfirmed() const = 0;
    /// Another router told so.
    virtual void onStoreUnconfirmedReported() = 0;
    /// Another router told how many requests the others have.
    virtual void onRemoteRequestsChanged() = 0;
};

struct FleetSyncSettings
{
    RouterInfo self;
    std::vector<std::string> seeds; ///< Addresses to ask while no other router is known.
    std::uint64_t startedAtMs = 0;  ///< Unix milliseconds of this start.
    /// The whole fleet starts, without callers yet: routers look for each other before they read
    /// the store. Else a router reads it at once, since callers wait.
    bool isFirstStart = true;
};

class FleetSync : public RequestHandler
{
public:
    FleetSync(HttpCaller &caller, RecordFeed &feed, EventLog &log, std::function<TimePoint()> clock,
              FleetSyncSettings settings, FleetSyncListener &listener);

    void tick(TimePoint now);
    /// The feed has changed by a read of the store: routers that wait for news get them.
    void publish();
    /// From now on other routers are told to ask somebody else.
    void stop();
    /// Whether reads of the store succeed, while this router reads it.
    void setStoreReadable(bool readable);

    /// True if this router reads the store itself, in vain.
    bool storeReadsFail() const { return m_readsStore && m_storeState == StoreState::Unreadable; }
    /// True while this router is to read the store itself.
    bool readsStore() const { return m_readsStore; }
    /// True if what is known is up to date with the store.
    bool isFresh(TimePoint now) const;
    /// True if others may rely on it. Only news of routers that go first counts, so that no two
    /// routers take each other's for fresh.
    bool isFreshForFollowers(TimePoint now) const;
    std::size_t ownRank() const { return m_directory.ownRank(); }
    const RouterDirectory &directory() const { return m_directory; }
    ServerRequests remoteRequests(TimePoint now) const { return m_servers.digest.remoteTotal(now); }
    /// About each prompt that many of the others' requests are about.
    ServerRequests remotePrompts(TimePoint now) const { return m_prompts.digest.remoteTotal(now); }

    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                   std::string body) override;
    const CallerLimits &limits() const override { return m_limits; }
    bool isStopping() const override { return false; }

private:
    /// What an answer is used for.
    enum class PollPurpose : std::uint8_t {
        Follow,    ///< Keeps this router up to date.
        Probe,     ///< Shows whether a router that goes first has fresh news again.
        Exchange,  ///< Of requests and records between zones.
        Discovery, ///< Finds other routers after the start.
    };

    /// How this router's own reads of the store go.
    enum class StoreState : std::uint8_t { Unknown, Readable, Unreadable };

    /// A router that waits for news.
    struct WaitingPoll
    {
        std::weak_ptr<CallerConnection> caller;
        wire::NewsAskT poll;
        TimePoint answerBy;
    };

    /// What routers count their requests by.
    struct SharedCounts
    {
        LoadDigest digest;
        std::uint32_t minZoneCount = 1;   ///< Fewer of a zone are not told to other zones.
        std::uint32_t minRemoteCount = 1; ///< Fewer of all others are not told in a zone.
    };

    /// What an ask tells of this router's requests or, to another zone, of its zone's.
    ServerRequests countsForPoll(const SharedCounts &counts, const ServerRequests &local,
                                 const RouterInfo &upstream, PollPurpose purpose,
                                 TimePoint now) const;
    ServerRequests countsForAnswer(const SharedCounts &counts, const ServerRequests &local,
                                   const wire::NewsAskT &poll, TimePoint now) const;
    static void applyPollCounts(SharedCounts &counts, ServerRequests reported,
                                const wire::NewsAskT &poll, bool isSameZone, TimePoint now);
    void applyAnswerCounts(SharedCounts &counts, ServerRequests reported, const RouterInfo &router,
                           PollPurpose purpose, TimePoint now) const;

    void sendPoll(const RouterInfo &router, PollPurpose purpose, TimePoint now);
    /// `hadAll`: records of all topics were asked for.
    void onPollAnswer(const RouterInfo &router, PollPurpose purpose, bool hadAllTopics,
                      const CallAnswer &answer);
    void applyRecords(const RouterInfo &router, bool hadAllTopics, wire::NewsAnswerT &updates);
    void applyUnstoredRecords(wire::NewsAskT &poll);
    void applyCounts(const RouterInfo &router, PollPurpose purpose,
                     const wire::NewsAnswerT &updates, TimePoint now);
    void answerPoll(CallerConnection &caller, const wire::NewsAskT &poll);
    void addRecords(wire::NewsAnswerT &updates, const wire::NewsAskT &poll);
    void registerRouter(const RouterInfo &router, std::uint64_t startedAtMs);
    bool hasFreshUpdates(TimePoint now) const;
    bool shouldAvoidStoreReads(TimePoint now) const
    {
        return (m_readsStore && m_storeState == StoreState::Unreadable) || now < m_storeRetryAt;
    }
    void updateUpstream(TimePoint now);
    void setReadsStore(bool reads, TimePoint now, std::string_view reason);
    void exchangeWithZones(TimePoint now);
    /// Nobody is up to date with the store: what routers know from each other only travels on.
    void pollFallback(const RouterInfo &fallback, TimePoint now);
    Duration longPollTime() const;

    /// Up to where another router's changes are known.
    struct FeedPosition
    {
        std::uint64_t source = 0; ///< The router's start that `number` belongs to.
        std::uint64_t number = 0;
    };

    /// What another router told.
    struct RouterState
    {
        FeedPosition allTopics;   ///< Of records of all topics.
        FeedPosition routerTopic; ///< Of records of routers.
        std::uint64_t acknowledgedChange =
            0;                  ///< This router's last change that it was told of for sure.
        bool isPolling = false; ///< An answer is outstanding.
        bool needsFullRecords =
            false; ///< A difference could not be applied: all records are wanted.
    };

    /// Records of local topics that changed after the change with that number.
    std::vector<std::unique_ptr<wire::NewsRecordT>> unstoredRecords(std::uint64_t since) const;

    HttpCaller &m_caller;
    RecordFeed &m_feed;
    EventLog &m_log;
    std::function<TimePoint()> m_clock;
    FleetSyncSettings m_settings;
    FleetSyncListener &m_listener;
    CallerLimits m_limits;
    RouterDirectory m_directory;
    SharedCounts m_servers;
    SharedCounts m_prompts;
    std::list<WaitingPoll> m_waitingPolls;
    std::map<std::string, RouterState> m_routerStates; ///< By address.
    std::map<std::string, TimePoint> m_countsSentAt;   ///< By name of the asking router.
    std::optional<RouterInfo>
        m_upstream;          ///< None while this router reads the store or has nobody to ask.
    std::uint64_t m_startId; ///< This start, in own microseconds.
    TimePoint m_startedAt;
    TimePoint m_upstreamSince = TimePoint::min();
    TimePoint m_freshUpdatesAt = TimePoint::min(); ///< Of the last fresh news from another router.
    TimePoint m_nextExchangeAt = TimePoint::min();
    TimePoint m_nextFallbackPollAt = TimePoint::min();
    std::string m_fallbackName; ///< That was asked last; empty while news are fresh.
    TimePoint m_nextDiscoveryAt = TimePoint::min();
    std::int64_t m_emptyAnswerBytes = 0; ///< Of the last followed router's answer without records.
    bool m_readsStore = false;
    StoreState m_storeState = StoreState::Unknown;
    std::uint32_t m_storeFailures =
        0; ///< Times that own reads began to fail since they last worked.
    TimePoint m_storeRetryAt = TimePoint::min(); ///< Until then another router goes first.
    bool m_stopping = false;
};

} // namespace comfrey
