// A fleet of routers that know a topic of the store from its list, its log and each other, without
// a network. The events of a sequence drive the decisions of src/routers; the store and the rules
// that are checked are a model of their own.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/replicatable.h"
#include "routers/recordexchange.h"
#include "routers/recordfeed.h"
#include "routers/topicreader.h"

namespace comfrey::test {

/// The platform's store with one keyed topic: a log whose oldest records may be deleted, and a list
/// of the newest record of each key, in pages.
class ModelStore
{
public:
    struct Record
    {
        std::string key;
        std::optional<std::string> value;
    };

    struct Page
    {
        std::vector<FeedRecord> records;
        bool hasMore = false;
    };

    void append(const std::string &key, std::optional<std::string> value, TimePoint now);
    /// Deletes all records; the newest of each key is listed on.
    void deleteRecords();
    /// Until then lists lack the last records of now, and all later ones, but none below `from`.
    void lag(std::uint64_t from, TimePoint until);
    void update(TimePoint now);
    bool isLagging() const { return m_lagsFrom.has_value(); }
    std::uint64_t end() const { return m_log.size(); }
    std::uint64_t firstKept() const { return m_firstKept; }
    Page page(const std::string &after) const;
    /// Empty if `from` is deleted.
    std::vector<FeedRecord> read(std::uint64_t from) const;
    /// The keys with a value.
    std::map<std::string, std::string> existing() const { return newest(end()); }
    /// When the key was removed; none if it exists or never did.
    std::optional<TimePoint> removedAt(const std::string &key) const;

private:
    std::map<std::string, std::string> newest(std::uint64_t end) const;

    std::vector<Record> m_log;
    std::map<std::string, TimePoint> m_removedAt;
    std::uint64_t m_firstKept = 0;
    std::optional<std::uint64_t> m_lagsFrom;
    TimePoint m_lagsUntil = TimePoint::min();
};

/// What may happen, to which router (`one`) and with which other one.
struct WorldEvent
{
    enum class Kind : std::uint8_t {
        Write,        ///< A new key.
        Renew,        ///< The oldest key gets a new value.
        RemoveNewest, ///< The key with the newest record.
        RemoveOldest,
        DeleteRecords,
        Lag,     ///< The records are deleted and lists lag behind for some seconds.
        Read,    ///< A page of the list or a read of the log.
        Poll,    ///< `one` polls `other` and gets the answer at once.
        Ask,     ///< The same, but the answer arrives later.
        Deliver, ///< The oldest answer on its way arrives.
        Restart,
        Wait,
        /// `one` reads the store until the bounds are over. If `other` is another router, it reads
        /// as well and the rest follows it, else they follow `one`.
        Calm,
    };
    Kind kind;
    std::size_t one = 0;
    std::size_t other = 0;
};

std::string describe(const WorldEvent &event);

/// Plays events and states the first broken rule.
class RemovalWorld
{
public:
    explicit RemovalWorld(std::size_t routers);

    void play(const WorldEvent &event);
    /// The first broken rule; empty if all held.
    const std::string &problem() const { return m_problem; }

private:
    struct Router
    {
        explicit Router(std::uint64_t id) : startId(id), reader("t", feed) { }

        std::uint64_t startId;
        RecordFeed feed;
        TopicReader reader;
        ReplicaTable servers{milliseconds(1700)}; ///< The keys as backend servers.
        std::uint64_t appliedNumber = 0; ///< Last change of the feed that `servers` reflects.
        std::map<std::size_t, RecordPosition> positions;
        bool isReading = false;
        std::uint64_t listedEnd = 0; ///< The store's end at the first page of the last list.
        TopicReader::Step step = TopicReader::Step::List;
        bool isUsable = false; ///< Has a complete list, of its own or of another router.
    };

    struct Answer
    {
        std::size_t to;
        std::size_t from;
        std::uint64_t startId; ///< Of the router that asked.
        RecordPoll sent;
        ReceivedRecords received;
    };

    void read(Router &router);
    void readStep(Router &router);
    void applyToServers(Router &router);
    Answer ask(std::size_t one, std::size_t other);
    void deliver(Answer answer);
    void restart(std::size_t one);
    void runCalm(std::size_t leader, std::size_t secondReader, Duration time);
    void calm(std::size_t leader, std::size_t secondReader);
    /// Below it no list may lag: a first list that is being read must not go back between its
    /// pages, which no read of the log would show (docs/design/router-news.md).
    std::uint64_t leastListedEnd() const;
    std::string newestKey() const;
    std::string oldestKey() const;
    /// No router uses a key that was removed `bound` ago.
    void checkRemovals(Duration bound, const char *when);
    void checkNothingDropped();
    void breakRule(const std::string &text);

    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<Answer> m_answers;
    ModelStore m_store;
    TimePoint m_now{milliseconds(1000000)};
    std::uint64_t m_starts = 0;
    std::uint64_t m_values = 0;
    std::string m_problem;
};

} // namespace comfrey::test
