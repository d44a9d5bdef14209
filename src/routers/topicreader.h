// Decides how a keyed topic of the platform's store is read into a RecordFeed: when the newest
// records are listed and when the log is read, and what the two show together.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "routers/recordfeed.h"

namespace comfrey {

/// Reading position in a topic, and the list that is being read. A list may lag behind the log for
/// seconds after the store dropped records that were not read. The pages of another list are in
/// order: none shows an older state than the first one.
class TopicReader
{
public:
    enum class Step : std::uint8_t { List, Log };
    enum class LogState : std::uint8_t { Continuous, Gap };

    TopicReader(std::string topic, RecordFeed &feed) : m_topic(std::move(topic)), m_feed(feed) { }

    /// Begins or resumes reading after what the feed knows from other routers.
    Step activate(TimePoint now);
    /// Begins a list; discards the pages received so far.
    void startList(TimePoint now);
    /// Takes over a page of the list; true if it was the last one.
    bool addPage(std::vector<FeedRecord> records, bool hasMore, TimePoint now);
    /// How long the store may hold a read of the log that begins at `now`, so that the confirmation
    /// is no older than `limit` when the read ends.
    Duration logHold(Duration limit, TimePoint now) const;
    /// A read of the log begins that the store holds for `hold` while there is no new record.
    void startLog(Duration hold, TimePoint now);
    /// Takes over the read of the log that began last, from nextOffset(). `end` and `firstKept` are
    /// the store's.
    LogState addLog(std::uint64_t end, std::uint64_t firstKept, std::vector<FeedRecord> records,
                    TimePoint now);
    /// The store has dropped the records before `firstKept`, also some that were not read.
    void onDropped(std::uint64_t firstKept, TimePoint now);
    /// What to do after a read of the log.
    Step nextStep(TimePoint now);

    const std::string &topic() const { return m_topic; }
    /// The last moment for which the store confirmed that all earlier changes are in the feed, also
    /// if the answer took long; TimePoint::min() if there was none.
    TimePoint confirmedAt() const { return m_confirmedAt; }
    std::uint64_t nextOffset() const { return m_nextOffset; }
    std::uint64_t firstKept() const { return m_firstKept; }
    int pageCount() const { return m_pageCount; }
    /// Key after which the next page begins; empty for the first page.
    const std::string &lastListedKey() const { return m_lastListedKey; }
    /// True while the list is read again, since it may lag behind the log.
    bool isRechecking() const { return m_recheckAt != kNever; }
    /// True if the list that is being read is not expected to lag behind the log.
    bool isListCertain() const { return !isRechecking() || m_listStartedAt >= m_recheckUntil; }

private:
    /// Offset whose earlier changes the store has, and since when that is known: what a list
    /// started kClaimAge later lacks is removed in doubt.
    struct Claim
    {
        std::uint64_t end = 0;
        TimePoint at = TimePoint::min();
    };

    void finishList(TimePoint now);
    /// The read of the log that began last has shown all records.
    void updateConfirmed(bool isEmpty, TimePoint now);
    /// Lists again for a while; the lists should reflect the changes below `claimedEnd`.
    void beginRechecks(std::uint64_t claimedEnd, TimePoint now);
    /// States in the feed what a list or a read of the log has made known.
    void updateKnown(TimePoint now);

    std::string m_topic;
    RecordFeed &m_feed;
    std::vector<FeedRecord> m_listedRecords; ///< Records of the pages received so far.
    std::string m_lastListedKey;             ///< Last key of those pages.
    int m_pageCount = 0;
    TimePoint m_listStartedAt = TimePoint::min();
    /// What was known when the list was started. What became known later may be newer than it.
    std::uint64_t m_knownAtListStart = 0;
    /// Offset after the newest record of the first page. In a store that answers in order every
    /// page reflects the changes below it. A record of a later page is no such bound, since the
    /// first page may be older.
    std::uint64_t m_firstPageEnd = 0;
    /// Lowest such offset of all pages, which holds even if a page lags behind the first one.
    std::uint64_t m_lowestPageEnd = 0;
    std::uint64_t m_firstKept = 0; ///< Oldest offset in the log at the last gap.
    /// Offset of the next record to read. The list and the log reflect all changes below it, but
    /// for those of [m_lowestPageEnd, m_firstKept) while the list may lag.
    std::uint64_t m_nextOffset = 0;
    /// After a gap the list is read again until then.
    TimePoint m_recheckUntil = TimePoint::min();
    TimePoint m_recheckAt = kNever; ///< Time of the next such list; kNever if the list is certain.
    /// The oldest claim that no list was old enough for, and the newest one. Further gaps replace
    /// only the newest, so they can't postpone every claim.
    Claim m_oldestClaim;
    Claim m_newestClaim;
    TimePoint m_logStartedAt = TimePoint::min(); ///< When the last read of the log began.
    Duration m_logHold{0};                       ///< Of that read.
    TimePoint m_confirmedAt = TimePoint::min();
    bool m_hasList = false;
};

} // namespace comfrey
