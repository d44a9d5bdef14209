// Records indexed by key and by the number of their last change.
#include "routers/recordfeed.h"

#include <algorithm>

#include "routers/valuedelta.h"

namespace comfrey {

bool RecordFeed::put(FeedRecord record)
{
    auto [found, isNew] = m_entries.try_emplace(Key(record.topic, record.key));
    Entry &entry = found->second;
    if (!isNew) {
        if (record.order <= entry.record.order)
            return false;
        m_byNumber.erase(entry.number);
        const bool isDeltaWorthwhile =
            entry.record.value && entry.record.value->size() >= kMinDeltaValueBytes;
        entry.previousValue = isDeltaWorthwhile ? std::move(*entry.record.value) : std::string();
        entry.previousOrder = entry.record.order;
        entry.previousNumber = entry.number;
        entry.delta.clear();
    }
    entry.record = std::move(record);
    entry.number = ++m_number;
    m_byNumber[entry.number] = &entry;
    return true;
}

void RecordFeed::removeMissing(const std::string &topic, const std::vector<std::string> &listed,
                               std::uint64_t end, TimePoint now)
{
    if (end == 0)
        return;
    std::vector<std::string> missing;
    for (const auto &[key, entry] : m_entries) {
        if (entry.record.topic == topic && entry.record.value
            && std::find(listed.begin(), listed.end(), entry.record.key) == listed.end())
            missing.push_back(entry.record.key);
    }
    for (std::string &key : missing)
        put({topic, std::move(key), std::nullopt, end - 1, now});
}

void RecordFeed::dropOlderThan(const std::string &topic, std::uint64_t order)
{
    std::erase_if(m_entries, [&](const auto &keyed) {
        const Entry &entry = keyed.second;
        if (entry.record.topic != topic || entry.record.order >= order)
            return false;
        m_byNumber.erase(entry.number);
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
        if (entry.record.order < knownUntil)
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

void RecordFeed::setKnownUntil(const std::string &topic, std::uint64_t order)
{
    std::uint64_t &known = m_known[topic];
    known = std::max(known, order);
}

std::uint64_t RecordFeed::knownUntil(const std::string &topic) const
{
    const auto found = m_known.find(topic);
    return found == m_known.end() ? 0 : found->second;
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
