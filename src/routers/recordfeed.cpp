// Records indexed by key and by the number of their last change.
#include "routers/recordfeed.h"

#include <algorithm>

#include "routers/valuedelta.h"

namespace comfrey {

bool RecordFeed::put(FeedRecord record, RecordSource source)
{
    const Key key(record.topic, record.key);
    const auto known = m_topics.find(record.topic);
    if (known != m_topics.end() && record.order < known->second.known)
        return false;
    auto [found, isNew] = m_entries.try_emplace(key);
    Entry &entry = found->second;
    if (!isNew) {
        const bool isRevoked = entry.doubtEnd > 0 && record.value
            && record.order == entry.record.order
            && (source.isStore || source.known >= entry.doubtEnd);
        if (record.order <= entry.record.order && !isRevoked)
            return false;
        m_byNumber.erase(entry.number);
        const bool isDeltaWorthwhile =
            entry.record.value && entry.record.value->size() >= kMinDeltaValueBytes;
        entry.previousValue = isDeltaWorthwhile ? std::move(*entry.record.value) : std::string();
        entry.previousOrder = entry.record.order;
        entry.previousNumber = entry.number;
        entry.delta.clear();
        entry.doubtEnd = 0;
        m_doubts.erase(key);
    }
    entry.record = std::move(record);
    entry.number = ++m_number;
    m_byNumber[entry.number] = &entry;
    return true;
}

void RecordFeed::infer(Entry &entry, std::uint64_t order, std::uint64_t doubtEnd, TimePoint readAt)
{
    m_byNumber.erase(entry.number);
    entry.record.value.reset();
    entry.record.order = order;
    entry.record.readAt = readAt;
    entry.previousValue.clear();
    entry.delta.clear();
    entry.doubtEnd = doubtEnd;
    entry.record.isInDoubt = doubtEnd > 0;
    if (doubtEnd > 0)
        m_doubts.emplace(entry.record.topic, entry.record.key);
    entry.number = ++m_number;
    m_byNumber[entry.number] = &entry;
}

void RecordFeed::confirmRemoval(Entry &entry, std::uint64_t order)
{
    m_byNumber.erase(entry.number);
    entry.record.order = order;
    entry.record.isInDoubt = false;
    entry.doubtEnd = 0;
    entry.number = ++m_number;
    m_byNumber[entry.number] = &entry;
}

void RecordFeed::applyList(const CompleteList &list)
{
    TopicState &state = m_topics[list.topic];
    bool isNew = list.end > state.known || list.removalsFrom > state.removalsFrom
        || list.claimedEnd > state.claimedEnd;
    for (auto at = m_entries.lower_bound(Key(list.topic, std::string()));
         at != m_entries.end() && at->first.first == list.topic; ++at) {
        Entry &entry = at->second;
        const std::uint64_t order = entry.record.order;
        if (list.keys.contains(at->first.second))
            continue;
        if (entry.record.value && order < list.end) {
            infer(entry, list.end - 1, 0, list.readAt);
        } else if (entry.record.value && order < list.claimedEnd && state.known < list.claimedEnd) {
            infer(entry, order, list.claimedEnd, list.readAt);
            state.known = std::min(state.known, order);
        } else if (entry.doubtEnd > 0 && order < list.end) {
            confirmRemoval(entry, list.end - 1);
            m_doubts.erase(at->first);
        } else {
            continue;
        }
        isNew = true;
    }
    state.removalsFrom = std::max({state.removalsFrom, list.removalsFrom, list.claimedEnd});
    state.claimedEnd = std::max(state.claimedEnd, list.claimedEnd);
    if (!isNew)
        return;
    state.listedAt = list.readAt;
    state.listNumber = ++m_number;
}

void RecordFeed::dropOlderThan(const std::string &topic, std::uint64_t order)
{
    std::erase_if(m_entries, [&](const auto &keyed) {
        const Entry &entry = keyed.second;
        if (entry.record.topic != topic || entry.record.order >= order)
            return false;
        m_byNumber.erase(entry.number);
        m_doubts.erase(keyed.first);
        return true;
    });
}

std::vector<FeedChange> RecordFeed::changesSince(std::uint64_t number) const
{
    std::vector<FeedChange> changes;
    for (auto at = m_byNumber.upper_bound(number); at != m_byNumber.end(); ++at)
        changes.push_back({&at->second->record, 0, nullptr});
    return changes;
}

std::vector<FeedChange> RecordFeed::deltasSince(std::uint64_t number, const KnownOrders &known)
{
    std::vector<FeedChange> changes;
    for (auto at = m_byNumber.upper_bound(number); at != m_byNumber.end(); ++at) {
        Entry &entry = *at->second;
        const auto found = known.find(entry.record.topic);
        const std::uint64_t knownUntil = found == known.end() ? 0 : found->second;
        if (entry.record.order < knownUntil || entry.doubtEnd > 0)
            continue;
        FeedChange change{&entry.record, 0, nullptr};
        const bool hasBase = number >= entry.previousNumber || entry.previousOrder < knownUntil;
        if (!entry.previousValue.empty() && entry.record.value && hasBase) {
            if (entry.delta.empty())
                entry.delta = makeDelta(entry.previousValue, *entry.record.value);
            change.baseOrder = entry.previousOrder;
            change.delta = &entry.delta;
        }
        changes.push_back(change);
    }
    return changes;
}

std::vector<CompleteList> RecordFeed::listsSince(std::uint64_t number,
                                                 const KnownOrders &known) const
{
    std::vector<CompleteList> lists;
    for (const auto &[topic, state] : m_topics) {
        const auto found = known.find(topic);
        const std::uint64_t knownUntil = found == known.end() ? 0 : found->second;
        if (number >= state.listNumber || knownUntil >= state.removalsFrom)
            continue;
        CompleteList list{topic,         {}, state.known, state.claimedEnd, state.removalsFrom,
                          state.listedAt};
        for (auto at = m_entries.lower_bound(Key(topic, std::string()));
             at != m_entries.end() && at->first.first == topic; ++at) {
            if (at->second.record.value)
                list.keys.insert(at->first.second);
        }
        lists.push_back(std::move(list));
    }
    return lists;
}

void RecordFeed::raiseKnown(const std::string &topic, std::uint64_t order)
{
    std::uint64_t &known = m_topics[topic].known;
    known = std::max(known, std::min(order, lowestDoubt(topic).value_or(order)));
}

void RecordFeed::settleDoubts(const std::string &topic, std::uint64_t order)
{
    std::erase_if(m_doubts, [&](const Key &key) {
        Entry &entry = m_entries.at(key);
        if (key.first != topic || entry.doubtEnd > order)
            return false;
        confirmRemoval(entry, std::max(entry.record.order, entry.doubtEnd - 1));
        return true;
    });
}

void RecordFeed::forgetKnown(const std::string &topic)
{
    m_topics.erase(topic);
}

bool RecordFeed::hasDoubtsBelow(const std::string &topic, std::uint64_t order) const
{
    return std::any_of(m_doubts.begin(), m_doubts.end(), [&](const Key &key) {
        return key.first == topic && m_entries.at(key).doubtEnd <= order;
    });
}

bool RecordFeed::hasDoubts(const std::string &topic) const
{
    return lowestDoubt(topic).has_value();
}

std::optional<std::uint64_t> RecordFeed::lowestDoubt(const std::string &topic) const
{
    std::optional<std::uint64_t> lowest;
    for (const Key &key : m_doubts) {
        const std::uint64_t order = m_entries.at(key).record.order;
        if (key.first == topic && (!lowest || order < *lowest))
            lowest = order;
    }
    return lowest;
}

std::uint64_t RecordFeed::knownUntil(const std::string &topic) const
{
    const auto found = m_topics.find(topic);
    return found == m_topics.end() ? 0 : found->second.known;
}

KnownOrders RecordFeed::knownOrders() const
{
    KnownOrders known;
    for (const auto &[topic, state] : m_topics)
        known[topic] = state.known;
    return known;
}

std::uint64_t RecordFeed::nextOrder(const std::string &topic) const
{
    std::uint64_t next = 0;
    for (const auto &[key, entry] : m_entries) {
        if (entry.record.topic == topic)
            next = std::max(next, entry.record.order + 1);
    }
    return next;
}

const FeedRecord *RecordFeed::find(const std::string &topic, const std::string &key) const
{
    const auto found = m_entries.find(Key(topic, key));
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<const FeedRecord *> RecordFeed::findByPrefix(const std::string &topic,
                                                         const std::string &prefix) const
{
    std::vector<const FeedRecord *> records;
    for (auto at = m_entries.lower_bound(Key(topic, prefix));
         at != m_entries.end() && at->first.first == topic && at->first.second.starts_with(prefix);
         ++at)
        records.push_back(&at->second.record);
    return records;
}

} // namespace comfrey
