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

class FleetLinkListener
{
public:
    virtual ~FleetLinkListener() = default;
    /// Another router told of records that were new.
    virtual void onFeedChanged() = 0;
    /// This router's own requests at each backend server.
    virtual ServerRequests ownRequests() const = 0;
    /// The same about each shared prompt.
    virtual ServerRequests ownPrompts() const = 0;
    /// True while records may be missing from the store since it is, or was, lost.
    virtual bool isStoreInDoubt() const = 0;
    /// Another router told so.
    virtual void onHeardStoreInDoubt() = 0;
    /// Another router told how many requests the others have.
    virtual void onOthersChanged() = 0;
};

struct FleetLinkSettings
{
    KnownRouter self;
    std::vector<std::string> seeds; ///< Addresses to ask while no other router is known.
    std::uint64_t born = 0;         ///< Unix milliseconds of this start.
    /// The whole fleet starts, without callers yet: routers look for each other before they read
    /// the store. Else a router reads it at once, since callers wait.
    bool isFirstStart = true;
};

class FleetLink : public RequestHandler
{
public:
    FleetLink(HttpCaller &caller, RecordFeed &feed, EventLog &log, std::function<TimePoint()> clock,
              FleetLinkSettings settings, FleetLinkListener &listener);

    void tick(TimePoint now);
    /// The feed has changed by a read of the store: routers that wait for news get them.
    void publish();
    /// From now on other routers are told to ask somebody else.
    void stop();
    /// Whether reads of the store succeed, while this router reads it.
    void setStoreWorks(bool works);

    /// True if this router reads the store itself, in vain.
    bool ownReadsFail() const { return m_readsStore && m_store == StoreState::Fails; }
    /// True while this router is to read the store itself.
    bool readsStore() const { return m_readsStore; }
    /// True if what is known is up to date with the store.
    bool isFresh(TimePoint now) const;
    /// True if others may rely on it. Only news of routers that go first counts, so that no two
    /// routers take each other's for fresh.
    bool isFreshForOthers(TimePoint now) const;
    std::size_t ownRank() const { return m_directory.ownRank(); }
    const RouterDirectory &directory() const { return m_directory; }
    ServerRequests othersRequests(TimePoint now) const { return m_servers.digest.others(now); }
    /// About each prompt that many of the others' requests are about.
    ServerRequests othersPrompts(TimePoint now) const { return m_prompts.digest.others(now); }

    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                   std::string body) override;
    const CallerLimits &limits() const override { return m_limits; }
    bool isStopping() const override { return false; }

private:
    /// What an answer is used for.
    enum class Purpose : std::uint8_t {
        Follow,   ///< Keeps this router up to date.
        Probe,    ///< Shows whether a router that goes first has fresh news again.
        Exchange, ///< Of requests and records between zones.
        Seed,     ///< Finds other routers after the start.
    };

    /// How this router's own reads of the store go.
    enum class StoreState : std::uint8_t { Unknown, Works, Fails };

    /// A router that waits for news.
    struct Waiting
    {
        std::weak_ptr<CallerConnection> caller;
        wire::NewsAskT ask;
        TimePoint until;
    };

    /// What routers count their requests by.
    struct Counted
    {
        LoadDigest digest;
        std::uint32_t leastOfZone = 1;   ///< Fewer of a zone are not told to other zones.
        std::uint32_t leastOfOthers = 1; ///< Fewer of all others are not told in a zone.
    };

    /// What an ask tells of this router's requests or, to another zone, of its zone's.
    ServerRequests toAsk(const Counted &counted, const ServerRequests &own,
                         const KnownRouter &asked, Purpose purpose, TimePoint now) const;
    ServerRequests toAnswer(const Counted &counted, const ServerRequests &own,
                            const wire::NewsAskT &ask, TimePoint now) const;
    static void takeFromAsk(Counted &counted, ServerRequests told, const wire::NewsAskT &ask,
                            bool isNeighbour, TimePoint now);
    void takeFromAnswer(Counted &counted, ServerRequests told, const KnownRouter &router,
                        Purpose purpose, TimePoint now) const;

    void ask(const KnownRouter &router, Purpose purpose, TimePoint now);
    /// `hadAll`: records of all topics were asked for.
    void onAnswer(const KnownRouter &router, Purpose purpose, bool hadAll,
                  const CallAnswer &answer);
    void takeRecords(const KnownRouter &router, bool hadAll, wire::NewsAnswerT &news);
    void takeLocalRecords(wire::NewsAskT &ask);
    void takeRequests(const KnownRouter &router, Purpose purpose, const wire::NewsAnswerT &news,
                      TimePoint now);
    void answerAsk(CallerConnection &caller, const wire::NewsAskT &ask);
    void addRecords(wire::NewsAnswerT &news, const wire::NewsAskT &ask);
    void learnRouter(const KnownRouter &router, std::uint64_t born);
    bool hasFreshNews(TimePoint now) const;
    bool doOwnReadsFail(TimePoint now) const
    {
        return (m_readsStore && m_store == StoreState::Fails) || now < m_ownRetryAt;
    }
    void decide(TimePoint now);
    void setReadsStore(bool reads, TimePoint now, std::string_view why);
    void exchange(TimePoint now);
    /// Nobody is up to date with the store: what routers know from each other only travels on.
    void askPredecessor(const KnownRouter &predecessor, TimePoint now);
    Duration holdTime() const;

    /// Up to where another router's changes are known.
    struct Position
    {
        std::uint64_t source = 0; ///< The router's start that `number` belongs to.
        std::uint64_t number = 0;
    };

    /// What another router told.
    struct Known
    {
        Position all;            ///< Of records of all topics.
        Position routers;        ///< Of records of routers.
        std::uint64_t told = 0;  ///< This router's last change that it was told of for sure.
        bool isAsked = false;    ///< An answer is outstanding.
        bool wantsWhole = false; ///< A difference could not be applied: all records are wanted.
    };

    /// Records of local topics that changed after the change with that number.
    std::vector<std::unique_ptr<wire::NewsRecordT>> localRecords(std::uint64_t since) const;

    HttpCaller &m_caller;
    RecordFeed &m_feed;
    EventLog &m_log;
    std::function<TimePoint()> m_clock;
    FleetLinkSettings m_settings;
    FleetLinkListener &m_listener;
    CallerLimits m_limits;
    RouterDirectory m_directory;
    Counted m_servers;
    Counted m_prompts;
    std::list<Waiting> m_waiting;
    std::map<std::string, Known> m_known;              ///< By address.
    std::map<std::string, TimePoint> m_requestsToldAt; ///< By name of the asking router.
    std::optional<KnownRouter>
        m_followed;         ///< None while this router reads the store or has nobody to ask.
    std::uint64_t m_source; ///< This start, in own microseconds.
    TimePoint m_startedAt;
    TimePoint m_followedSince = TimePoint::min();
    TimePoint m_freshAt = TimePoint::min(); ///< Of the last fresh news from another router.
    TimePoint m_exchangeAt = TimePoint::min();
    TimePoint m_predecessorAt = TimePoint::min();
    std::string m_predecessor; ///< That was asked last; empty while news are fresh.
    TimePoint m_seedsAt = TimePoint::min();
    std::int64_t m_answerBytes = 0; ///< Of the last followed router's answer without records.
    bool m_readsStore = false;
    StoreState m_store = StoreState::Unknown;
    std::uint32_t m_ownFailures = 0; ///< Times that own reads began to fail since they last worked.
    TimePoint m_ownRetryAt = TimePoint::min(); ///< Until then another router goes first.
    bool m_stopping = false;
};

} // namespace comfrey
