// Connects the crashes that are kept in the platform's store with what this router found out and
// with the records that routers share. The store's HTTP is the platform's part.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"
#include "quarantine/crashrecords.h"
#include "routers/recordfeed.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace comfrey {

/// Collects the crashes that this router writes to the store, and passes on those that it read.
class KeptCrashes
{
public:
    KeptCrashes(Dispatcher &dispatcher, RecordFeed &feed, EventLog &log, Metrics &metrics)
        : m_dispatcher(dispatcher), m_feed(feed), m_log(log), m_metrics(metrics),
          m_records(dispatcher.crashAttribution().self())
    { }

    /// Crashes that this router found and added to the feed. `wallTime` is in Unix milliseconds.
    void onFindings(const std::vector<CrashFinding> &findings, std::uint64_t wallTime,
                    TimePoint now);
    /// The request ran without a crash; crashes after `clearedAtMs` stay.
    void onRequestCleared(Fingerprint request, std::uint64_t clearedAtMs, TimePoint now);
    /// Prompt parts whose verdict changed.
    void onVerdicts(const std::vector<PartVerdict> &verdicts, TimePoint now);

    /// Records to append to the store in one call; empty if none is due. `readsStore` as in
    /// CrashRecords::takeBatch().
    std::vector<StoredCrash> takeBatch(bool readsStore, std::uint64_t wallTime, TimePoint now);
    /// The call ended; `problem` says why it did not succeed.
    void onWritten(std::size_t records, CrashWrite outcome, const std::string &problem,
                   TimePoint now);
    /// Adds all records of the store to those that routers share. True if the feed changed.
    bool onRead(const std::vector<StoredCrash> &records, std::uint64_t wallTime, TimePoint now);

private:
    void recallRequest(const RecalledCrash &recalled, TimePoint now);
    void recallPart(const RecalledCrash &recalled, TimePoint now);

    Dispatcher &m_dispatcher;
    RecordFeed &m_feed;
    EventLog &m_log;
    Metrics &m_metrics;
    CrashRecords m_records;
    std::set<PromptPartId> m_refusedParts; ///< Refused since the last batch was taken.
};

} // namespace comfrey
