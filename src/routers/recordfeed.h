// The newest record of each key of a set of topics, from the store or from other routers. Each
// change gets a number, so that a follower is sent only the changes that it lacks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "comfrey/units.h"

namespace comfrey {

/// A record of a topic, or the removal of its key.
struct FeedRecord
{
    std::string topic;
    std::string key;
    std::optional<std::string> value; ///< None if the key was removed.
    std::uint64_t order = 0;          ///< Grows with each change of the key.
    /// When the leader read the record from the store, by this router's clock; TimePoint::min() if
    /// unknown.
    TimePoint readAt = TimePoint::min();
    /// The key was removed because a list that is possibly older lacks it. Never sent to routers.
    bool isInDoubt = false;
};

/// By topic, the order below which every change is known, or a newer change of the same key.
using KnownOrders = std::map<std::string, std::uint64_t>;

/// States which keys of a topic exist. A key that is not among `keys` does not exist as of `end`:
/// its records below `end` are superseded, though the record of its removal may be unknown.
struct CompleteList
{
    std::string topic;
    std::set<std::string> keys;
    std::uint64_t end = 0; ///< Every change below it is reflected.
    /// The list should reflect the changes below it, but is possibly older. Missing keys of
    /// [end, claimedEnd) are removed in doubt; with 0 they stay.
    std::uint64_t claimedEnd = 0;
    /// The records of removals below it may be unknown to the router that states the list.
    std::uint64_t removalsFrom = 0;
    /// When the store was read, by this router's clock.
    TimePoint readAt = TimePoint::min();
};

/// Who states a record.
struct RecordSource
{
    bool isStore = false;
    std::uint64_t known = 0; ///< The stating router knows all changes of the topic below it.
};

/// A changed record and, for receivers that have the previous one, the delta to it.
struct FeedChange
{
    const FeedRecord *record = nullptr;
    std::uint64_t baseOrder = 0;        ///< Order of the previous record, if there is a delta.
    const std::string *delta = nullptr; ///< See makeDelta(); null if the whole value is sent.
};

/// Numbered changes of records, with deltas of long values.
class RecordFeed
{
public:
    /// Stores the record as a new change. False if it is not newer than what is known: the key
    /// already has a record of the same or a higher order, or all changes of that order are known.
    /// A removal in doubt is revoked by the store, and by a router that knows more than the list
    /// that lacked the key.
    bool put(FeedRecord record, RecordSource source = {});
    /// Removes the keys that the list lacks. Keys that may be newer than the list stay.
    void applyList(const CompleteList &list);

    /// Drops the records of `topic` whose order is below `order`. This is no change: followers are
    /// not notified.
    void dropOlderThan(const std::string &topic, std::uint64_t order);

    /// Number of the last change; 0 before the first.
    std::uint64_t number() const { return m_number; }
    /// The changes after the change with this number, oldest first.
    std::vector<FeedChange> changesSince(std::uint64_t number) const;
    /// The changes for a router that has all changes up to `number` and, in each topic of `known`,
    /// all changes below that order. Long values are given as deltas if the router has the previous
    /// value.
    std::vector<FeedChange> deltasSince(std::uint64_t number, const KnownOrders &known = {});
    /// The lists of keys that such a router needs with these changes, since it knows less than
    /// the records of removals that this router has.
    std::vector<CompleteList> listsSince(std::uint64_t number, const KnownOrders &known) const;
    /// States that this router has all changes of the topic below `order`. While removals are in
    /// doubt, only what lies below them becomes known.
    void raiseKnown(const std::string &topic, std::uint64_t order);
    /// Makes removals certain that are in doubt, if all changes below `order` show no such key.
    void settleDoubts(const std::string &topic, std::uint64_t order);
    /// Forgets what is known of the topic but for its records, after the store has lost records.
    void forgetKnown(const std::string &topic);
    /// True if a removal of the topic is in doubt that `order` would settle.
    bool hasDoubtsBelow(const std::string &topic, std::uint64_t order) const;
    /// True if a removal of the topic is in doubt.
    bool hasDoubts(const std::string &topic) const;
    /// The order below which all changes of the topic are known; 0 if none was set.
    std::uint64_t knownUntil(const std::string &topic) const;
    KnownOrders knownOrders() const;
    /// One more than the highest order of a record in the topic; 0 if it has no record.
    std::uint64_t nextOrder(const std::string &topic) const;
    /// The newest record of the key, also if it was removed; null if there is none.
    const FeedRecord *find(const std::string &topic, const std::string &key) const;
    /// The newest records of the topic's keys that begin with `prefix`.
    std::vector<const FeedRecord *> findByPrefix(const std::string &topic,
                                                 const std::string &prefix) const;

private:
    struct Entry
    {
        FeedRecord record;
        std::uint64_t number = 0; ///< Key of this entry in m_byNumber.
        /// Value of the previous record; empty if it was too short for a delta.
        std::string previousValue;
        std::uint64_t previousOrder = 0;
        std::uint64_t previousNumber = 0;
        std::string delta; ///< From previousValue to the value; made on first use.
        /// Of a removal in doubt: the end that the list claimed which lacks the key; else 0. Such
        /// an entry has no value and keeps the order of the record that it removed.
        std::uint64_t doubtEnd = 0;
    };

    /// What is known of a topic as a whole.
    struct TopicState
    {
        /// The entries reflect every change below it: a key without an entry did not exist at it.
        /// Never above the order of a removal in doubt.
        std::uint64_t known = 0;
        /// Removals of [removalsFrom, known) are all there as records. Of those below, some were
        /// inferred or never seen, so a router that knows less needs the list of keys.
        std::uint64_t removalsFrom = 0;
        /// Highest end that applied lists claimed.
        std::uint64_t claimedEnd = 0;
        std::uint64_t listNumber = 0; ///< Number of the last list that said anything new.
        TimePoint listedAt = TimePoint::min();
    };

    static constexpr std::size_t kMinDeltaValueBytes = 4096; ///< Shorter values are sent whole.

    using Key = std::pair<std::string, std::string>;

    /// Removes the value of an entry as a change of its own.
    void infer(Entry &entry, std::uint64_t order, std::uint64_t doubtEnd, TimePoint readAt);
    /// The removal of an entry is no longer in doubt, which is a change of its own.
    void confirmRemoval(Entry &entry, std::uint64_t order);
    /// Lowest order of a removal in doubt; none if there is no doubt.
    std::optional<std::uint64_t> lowestDoubt(const std::string &topic) const;

    std::map<Key, Entry> m_entries;
    std::map<std::uint64_t, Entry *> m_byNumber; ///< Entries by the number of their last change.
    std::set<Key> m_doubts;                      ///< Keys of the entries whose removal is in doubt.
    std::map<std::string, TopicState> m_topics;
    std::uint64_t m_number = 0;
};

} // namespace comfrey
