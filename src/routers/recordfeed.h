// The newest record of each key of some topics, whoever told of it, with a number for each change,
// so that another router can be told just what is new to it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "comfrey/units.h"

namespace comfrey {

struct FeedRecord
{
    std::string topic;
    std::string key;
    std::optional<std::string> value; ///< None: the key was removed.
    std::uint64_t order = 0;          ///< Grows with each change of the key.
    /// When the first router read it in the store, in this router's time; unknown by default.
    TimePoint readAt = TimePoint::min();
};

/// By topic: all changes with a lower order are known, or newer ones of their keys.
using KnownOrders = std::map<std::string, std::uint64_t>;

/// A change of a key, and how it can be told in short to who knows the one before.
struct FeedChange
{
    const FeedRecord *record = nullptr;
    std::uint64_t baseOrder = 0; ///< Of the record before, if there is a delta.
    const std::string *delta = nullptr;
};

class RecordFeed
{
public:
    /// False if as new a record of the key is known already.
    bool put(FeedRecord record);
    /// Keys of `topic` that a whole list lacks are removed, unless they are newer than the list.
    /// `end`: one more than the order of the newest record that the list may hold.
    void removeMissing(const std::string &topic, const std::vector<std::string> &listed,
                       std::uint64_t end, TimePoint now);

    /// Drops the records of `topic` whose order is under `order`, without telling anyone.
    void dropOlderThan(const std::string &topic, std::uint64_t order);

    /// The number of the last change; 0 before the first.
    std::uint64_t number() const { return m_number; }
    /// Changes after the one with that number, oldest first.
    std::vector<FeedChange> changesSince(std::uint64_t number) const;
    /// The same for a router that knows the earlier ones and those that `known` tells, with
    /// differences where they are shorter.
    std::vector<FeedChange> deltasSince(std::uint64_t number, const KnownOrders &known = {});
    /// All changes of the topic under `order` are known from now on.
    void setKnownUntil(const std::string &topic, std::uint64_t order);
    std::uint64_t knownUntil(const std::string &topic) const;
    const KnownOrders &knownOrders() const { return m_known; }
    /// One more than the highest order in the topic; 0 if nothing is known of it.
    std::uint64_t nextOrder(const std::string &topic) const;
    const FeedRecord *find(const std::string &topic, const std::string &key) const;

private:
    struct Entry
    {
        FeedRecord record;
        std::uint64_t number = 0; ///< Its place in m_byNumber.
        /// Of the record before, for long values only.
        std::string previousValue;
        std::uint64_t previousOrder = 0;
        std::uint64_t previousNumber = 0;
        std::string delta; ///< From lastValue; made when it is first asked for.
    };

    static constexpr std::size_t kMinDeltaValueBytes =
        4096; ///< Bytes from which the difference is worth making.

    using Key = std::pair<std::string, std::string>;

    std::map<Key, Entry> m_entries;
    std::map<std::uint64_t, Entry *> m_byNumber; ///< The last change of each key.
    KnownOrders m_known;
    std::uint64_t m_number = 0;
};

} // namespace comfrey
