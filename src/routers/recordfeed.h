// The newest record of each key of a set of topics, from the store or from other routers. Each
// change gets a number, so that a follower is sent only the changes that it lacks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
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
};

/// By topic, the order below which every change is known, or a newer change of the same key.
using KnownOrders = std::map<std::string, std::uint64_t>;

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
    /// Stores the record as a new change. False if the key already has a record of the same or a
    /// higher order.
    bool put(FeedRecord record);
    /// Removes the keys of `topic` that are missing from `listed`, a complete list of its keys.
    /// Keys newer than the list stay. `end` is one more than the order of the newest record that
    /// the list may hold; with 0 nothing is removed.
    void removeMissing(const std::string &topic, const std::vector<std::string> &listed,
                       std::uint64_t end, TimePoint now);

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
    /// States that this router has all changes of the topic below `order`.
    void setKnownUntil(const std::string &topic, std::uint64_t order);
    /// The order below which all changes of the topic are known; 0 if none was set.
    std::uint64_t knownUntil(const std::string &topic) const;
    const KnownOrders &knownOrders() const { return m_known; }
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
    };

    static constexpr std::size_t kMinDeltaValueBytes = 4096; ///< Shorter values are sent whole.

    using Key = std::pair<std::string, std::string>;

    std::map<Key, Entry> m_entries;
    std::map<std::uint64_t, Entry *> m_byNumber; ///< Entries by the number of their last change.
    KnownOrders m_known;
    std::uint64_t m_number = 0;
};

} // namespace comfrey
