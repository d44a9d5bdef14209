// Routers that keep each other up to date, under scripted time and without a network: their
// FleetSync and TopicReader decide, and their messages and reads of the store take a scripted way.
// Routers freeze, and paths to the store and between routers are cut.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/fleetsync.h"
#include "routers/topicreader.h"
#include "support/eventqueue.h"

namespace comfrey::test {

/// The platform's store with one topic. Each record has its own key.
class ScriptedStore
{
public:
    struct Answer
    {
        std::uint64_t end = 0;
        std::vector<FeedRecord> records;
    };
    using Reply = std::function<void(const Answer &)>;

    explicit ScriptedStore(EventQueue &queue) : m_queue(queue) { }

    /// Appends a record and answers the held reads. Returns the record's number, from 1.
    std::size_t append();
    /// Answers at once if there are records from offset `from` on, else after `hold` at the latest.
    void read(std::uint64_t from, Duration hold, Reply reply);
    TimePoint appendedAt(std::size_t number) const { return m_appendedAt.at(number - 1); }
    std::size_t size() const { return m_appendedAt.size(); }

    int readCount = 0;

    static inline const std::string kTopic = "keyed.t";

private:
    struct HeldRead
    {
        std::uint64_t from;
        Reply reply;
    };

    void answer(const HeldRead &held) const;

    EventQueue &m_queue;
    std::vector<TimePoint> m_appendedAt;
    std::map<int, HeldRead> m_held; ///< By the number of the read.
};

class ScriptedFleet;

/// One router of a ScriptedFleet.
class ScriptedRouter : public FleetSyncListener, private CallSender
{
public:
    ScriptedRouter(ScriptedFleet &fleet, RouterInfo self, std::vector<std::string> seeds);

    /// Starts the regular ticks.
    void run(Duration firstTickAfter);
    /// Stands still; what arrives meanwhile is handled on wake().
    void freeze() { m_isFrozen = true; }
    void wake();
    void stop() { m_sync.stop(); }
    /// Handles a poll of another router.
    void receive(const std::shared_ptr<Responder> &responder, const std::string &body);
    /// Runs `callback` now, or on wake() while this router is frozen.
    void perform(std::function<void()> callback);

    const std::string &name() const { return m_self.name; }
    const std::string &address() const { return m_self.address; }
    FleetSync &sync() { return m_sync; }
    /// Time from the append of a record until this router had it, or until now.
    Duration delayOf(std::size_t number) const;

    bool isCutFromStore = false;
    bool isCutFromRouters = false;
    Duration storeDelay = milliseconds(0);     ///< Added to the store's answers.
    Duration answerDuration = milliseconds(0); ///< From the begin to the end of its answers.
    int storeReadingsBegun = 0;

private:
    void start(Call call, Handler handler) override;
    void endCall(std::uint64_t id, CallAnswer answer);
    void tick();
    void followStore();
    void startRead();
    void onReadAnswer(std::uint64_t generation, ScriptedStore::Answer answer);
    void onReadFailed(std::uint64_t generation);
    void reportRead(bool succeeded);
    void noteRecords();
    /// Checks that this router has the records up to which it says to be confirmed.
    void checkConfirmation();

    void onFeedChanged() override { noteRecords(); }
    ServerRequests localRequests() const override { return {}; }
    ServerRequests localPrompts() const override { return {}; }
    bool isStoreUnconfirmed() const override { return false; }
    void onStoreUnconfirmedReported() override { }
    void onRemoteRequestsChanged() override { }

    struct RunningCall
    {
        Handler handler;
        std::shared_ptr<Responder> responder; ///< The connection's other side.
        bool hasBegun = false;                ///< A part of the answer has arrived.
    };

    ScriptedFleet &m_fleet;
    RouterInfo m_self;
    EventLog m_log{-1};
    RecordFeed m_feed;
    TopicReader m_reader{ScriptedStore::kTopic, m_feed};
    FleetSync m_sync;
    std::map<std::uint64_t, RunningCall> m_calls;
    std::uint64_t m_lastCall = 0;
    std::vector<std::function<void()>> m_pending; ///< What arrived while frozen.
    std::vector<TimePoint> m_hasSince;            ///< By record: when this router had it.
    std::uint64_t m_readGeneration = 0;           ///< Of the read under way; earlier ones are over.
    TimePoint m_shortHoldsUntil = TimePoint::min();
    bool m_isFailing = false; ///< The last read of the store failed.
    bool m_isReading = false;
    bool m_hasRead = false;
    bool m_isFrozen = false;
};

/// Routers in zones before one store.
class ScriptedFleet
{
public:
    /// `zoneSizes` are numbers of routers by zone; `applyLimit` is the time within which each
    /// router must have a record. The seed decides the order of the routers and when their ticks
    /// come.
    ScriptedFleet(const std::vector<int> &zoneSizes, Duration applyLimit, std::uint64_t seed);

    void runFor(Duration duration) { queue.runUntil(queue.now() + duration); }
    /// The only router that reads the store; null if none or several do.
    ScriptedRouter *storeReader();
    /// Lets the fleet settle until one router reads the store.
    ScriptedRouter &settle();
    /// The router that is to read the store if `reader` fails.
    ScriptedRouter &successorOf(ScriptedRouter &reader);
    /// Longest delay of a record at the routers that are not among `except`.
    Duration longestDelay(std::size_t number, const std::vector<const ScriptedRouter *> &except);
    ScriptedRouter *find(const std::string &address);

    EventQueue queue;
    ScriptedStore store{queue};
    std::vector<std::unique_ptr<ScriptedRouter>> routers;
    const Duration applyLimit;
};

} // namespace comfrey::test
