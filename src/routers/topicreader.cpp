// Joins lists of the newest records with reads of the log.
#include "routers/topicreader.h"

#include <algorithm>

namespace comfrey {

namespace {

constexpr Duration kRecheckInterval =
    milliseconds(1500); // the store lists new records late for seconds after a gap
constexpr Duration kRecheckDuration = milliseconds(9000); // longer than the store's observed lag
/// Age at which a list is taken to reflect an offset. With it a removed key is out of use within
/// the shortest stable_window_ms; a key that the list showed later still is put back.
constexpr Duration kClaimAge = milliseconds(1000);

} // namespace

TopicReader::Step TopicReader::activate(TimePoint now)
{
    startList(now);
    // Records received from other routers count like those read here. While removals are in doubt
    // less may be known than was read here.
    const std::uint64_t known = m_feed.knownUntil(m_topic);
    const bool hasDoubts = m_feed.hasDoubts(m_topic);
    if (known >= m_nextOffset && !hasDoubts)
        m_recheckAt = kNever; // Another router has settled what lists left uncertain here.
    if (known > m_nextOffset || hasDoubts)
        m_nextOffset = known;
    m_hasList = m_hasList || m_nextOffset > 0;
    return m_hasList ? Step::Log : Step::List;
}

void TopicReader::startList(TimePoint now)
{
    m_listStartedAt = now;
    m_knownAtListStart = m_feed.knownUntil(m_topic);
    m_listedRecords.clear();
    m_firstPageEnd = 0;
    m_lowestPageEnd = 0;
    m_lastListedKey.clear();
    m_pageCount = 0;
}

bool TopicReader::addPage(std::vector<FeedRecord> records, bool hasMore, TimePoint now)
{
    std::uint64_t pageEnd = 0;
    for (const FeedRecord &record : records)
        pageEnd = std::max(pageEnd, record.order + 1);
    if (++m_pageCount == 1)
        m_firstPageEnd = m_lowestPageEnd = pageEnd;
    else
        m_lowestPageEnd = std::min(m_lowestPageEnd, pageEnd); // An empty page may be of any age.
    const std::string lastKey = records.empty() ? std::string() : records.back().key;
    m_listedRecords.insert(m_listedRecords.end(), std::make_move_iterator(records.begin()),
                           std::make_move_iterator(records.end()));
    if (hasMore && !lastKey.empty()) {
        m_lastListedKey = lastKey;
        return false;
    }
    finishList(now);
    return true;
}

void TopicReader::finishList(TimePoint now)
{
    m_nextOffset = std::max({m_firstPageEnd, m_firstKept, m_knownAtListStart});
    m_hasList = true;
    CompleteList list{m_topic, {}, m_lowestPageEnd, 0, m_nextOffset, now};
    for (FeedRecord &record : m_listedRecords) {
        if (record.value)
            list.keys.insert(record.key);
        m_feed.put(std::move(record), {true});
    }
    m_listedRecords.clear();
    if (isListCertain()) {
        list.end = m_nextOffset; // The log goes on there.
        m_recheckAt = kNever;
        m_confirmedAt = std::max(m_confirmedAt, m_listStartedAt);
    } else if (m_listStartedAt - m_oldestClaim.at >= kClaimAge) {
        const bool isNewestOldEnough = m_listStartedAt - m_newestClaim.at >= kClaimAge;
        const Claim next{m_nextOffset, now};
        list.claimedEnd = isNewestOldEnough ? m_newestClaim.end : m_oldestClaim.end;
        m_oldestClaim = isNewestOldEnough ? next : m_newestClaim;
        m_newestClaim = next;
    } else if (m_nextOffset > m_newestClaim.end) {
        // Its first page shows changes that its later ones may lack.
        m_newestClaim = {m_nextOffset, now};
        m_recheckAt = now + kClaimAge;
    }
    m_feed.applyList(list);
    m_feed.raiseKnown(m_topic, list.end);
    updateKnown(now);
}

Duration TopicReader::logHold(Duration limit, TimePoint now) const
{
    if (m_confirmedAt == TimePoint::min())
        return Duration(0);
    return std::max(Duration(0), limit - (now - m_confirmedAt));
}

void TopicReader::startLog(Duration hold, TimePoint now)
{
    m_logStartedAt = now;
    m_logHold = hold;
}

TopicReader::LogState TopicReader::addLog(std::uint64_t end, std::uint64_t firstKept,
                                          std::vector<FeedRecord> records, TimePoint now)
{
    const bool hasLostRecords = end < m_nextOffset;
    if (hasLostRecords) {
        m_feed.forgetKnown(m_topic);
        m_recheckAt = kNever; // Claims of the lost records do not hold.
    }
    if (hasLostRecords || firstKept > m_nextOffset || (records.empty() && end > m_nextOffset)) {
        onDropped(firstKept, now);
        return LogState::Gap;
    }
    const bool isEmpty = records.empty();
    for (FeedRecord &record : records) {
        record.order = m_nextOffset++;
        record.readAt = now;
        m_feed.put(std::move(record), {true});
    }
    if (m_nextOffset >= end)
        updateConfirmed(isEmpty, now);
    updateKnown(now);
    return LogState::Continuous;
}

void TopicReader::updateConfirmed(bool isEmpty, TimePoint now)
{
    if (m_logStartedAt == TimePoint::min())
        return;
    // An answer without records was made after the hold. It may have been delayed since, so that
    // its arrival says no more.
    const TimePoint holdEnd = m_logStartedAt + m_logHold;
    m_confirmedAt = std::max(m_confirmedAt, isEmpty && now >= holdEnd ? holdEnd : m_logStartedAt);
}

void TopicReader::onDropped(std::uint64_t firstKept, TimePoint now)
{
    m_firstKept = firstKept;
    beginRechecks(firstKept, now);
    startList(now);
}

void TopicReader::beginRechecks(std::uint64_t claimedEnd, TimePoint now)
{
    m_newestClaim = {claimedEnd, now};
    if (!isRechecking())
        m_oldestClaim = m_newestClaim;
    m_recheckUntil = now + kRecheckDuration;
    m_recheckAt = now + kClaimAge;
}

TopicReader::Step TopicReader::nextStep(TimePoint now)
{
    if (now < m_recheckAt)
        return Step::Log;
    m_recheckAt = now + kRecheckInterval;
    startList(now);
    return Step::List;
}

void TopicReader::updateKnown(TimePoint now)
{
    if (isRechecking())
        return;
    // Another router's list may have lacked a key, so this router lists as well.
    if (m_feed.hasDoubts(m_topic))
        beginRechecks(m_nextOffset, now);
    else
        m_feed.raiseKnown(m_topic, m_nextOffset);
}

} // namespace comfrey
