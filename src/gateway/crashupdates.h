// Exchange between routers about requests that crash the backend servers that run them, as records
// of a topic that only routers share.
#pragma once

#include <cstdint>
#include <string>

#include "dispatch/crashguard.h"
#include "routers/recordfeed.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace comfrey {

/// Publishes the crashes that this router detects and applies those that other routers report.
class CrashUpdates
{
public:
    /// Topic of the records; it is never in the platform's store.
    static constexpr const char *kTopic = "~crashes";

    CrashUpdates(CrashGuard &guard, RecordFeed &feed, EventLog &log, Metrics &metrics)
        : m_guard(guard), m_feed(feed), m_log(log), m_metrics(metrics)
    { }

    /// Adds the crashes and cleared requests that this router detected since the last call to the
    /// feed. True if there are any. `wallTime` is in Unix milliseconds.
    bool publish(std::uint64_t wallTime, TimePoint now);
    /// Passes a record of the topic to the crash guard; records of this router are applied too.
    void apply(const FeedRecord &record, TimePoint now);
    /// Drops records older than the crash guard's memory of crashes. `wallTime` is in Unix
    /// milliseconds.
    void dropExpired(std::uint64_t wallTime);

private:
    CrashGuard &m_guard;
    RecordFeed &m_feed;
    EventLog &m_log;
    Metrics &m_metrics;
};

} // namespace comfrey
