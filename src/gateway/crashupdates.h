// What routers tell each other of requests that crash the backend servers that run them: records of
// a topic that is known to routers only.
#pragma once

#include <cstdint>
#include <string>

#include "dispatch/crashguard.h"
#include "routers/recordfeed.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace comfrey {

class CrashUpdates
{
public:
    /// Never in the platform's store.
    static constexpr const char *kTopic = "~crashes";

    CrashUpdates(CrashGuard &guard, RecordFeed &feed, EventLog &log, Metrics &metrics)
        : m_guard(guard), m_feed(feed), m_log(log), m_metrics(metrics)
    { }

    /// Puts into the feed what this router found out since the last call. True if it is anything.
    /// `wallTime`: Unix milliseconds.
    bool publish(std::uint64_t wallTime, TimePoint now);
    /// Takes a record of the topic, this router's own ones too.
    void apply(const FeedRecord &record, TimePoint now);
    /// Drops records that no router needs any more.
    void dropExpired(std::uint64_t wallTime);

private:
    CrashGuard &m_guard;
    RecordFeed &m_feed;
    EventLog &m_log;
    Metrics &m_metrics;
};

} // namespace comfrey
