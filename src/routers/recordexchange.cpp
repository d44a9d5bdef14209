// Selects and takes over the records of polls between routers.
#include "routers/recordexchange.h"

#include <algorithm>

namespace comfrey {

RecordAnswer answerRecordPoll(RecordFeed &feed, const RecordPoll &poll, std::uint64_t startId)
{
    const std::uint64_t since = poll.source == startId ? poll.since : 0;
    return {feed.deltasSince(since, poll.known), feed.listsSince(since, poll.known)};
}

RecordPoll RecordPosition::poll(const RecordFeed &feed) const
{
    return {m_source, m_number, m_needsFullRecords ? KnownOrders() : feed.knownOrders()};
}

bool RecordPosition::apply(RecordFeed &feed, const RecordPoll &sent, ReceivedRecords received)
{
    const std::uint64_t before = feed.number();
    m_source = received.isComplete ? received.source : 0;
    m_number = received.isComplete ? received.number : 0;
    m_needsFullRecords = !received.isComplete;
    for (FeedRecord &record : received.records) {
        const auto known = received.known.find(record.topic);
        const std::uint64_t knownUntil = known == received.known.end() ? 0 : known->second;
        feed.put(std::move(record), {false, knownUntil});
    }
    for (const CompleteList &list : received.lists)
        feed.applyList(list);
    if (!received.isComplete)
        return feed.number() != before;
    const bool hadAllChanges = sent.since == 0 || sent.source != received.source;
    for (const auto &[topic, order] : received.known) {
        const auto sentKnown = sent.known.find(topic);
        const bool hadAllRecords =
            sentKnown == sent.known.end() || sentKnown->second <= feed.knownUntil(topic);
        if (feed.hasDoubtsBelow(topic, order)) {
            if (!hadAllChanges || !hadAllRecords) {
                // The other router knows whether the key exists, and may have sent its record
                // before.
                m_source = 0;
                m_number = 0;
                continue;
            }
            feed.settleDoubts(topic, order);
        }
        feed.raiseKnown(topic, order);
    }
    return feed.number() != before;
}

} // namespace comfrey
