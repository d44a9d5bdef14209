// Exchange between routers about requests that crash the backend servers that run them, as records
// of a topic that only routers share.
#pragma once

#include <cstdint>
#include <string>

#include "dispatch/dispatcher.h"
#include "gateway/keptcrashes.h"
#include "gateway/promptcrashupdates.h"
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

    CrashUpdates(Dispatcher &dispatcher, RecordFeed &feed, EventLog &log, Metrics &metrics)
        : m_guard(dispatcher.crashGuard()), m_feed(feed), m_log(log), m_metrics(metrics),
          m_promptCrashes(dispatcher, feed, log, metrics), m_kept(dispatcher, feed, log, metrics)
    { }

    /// Adds the crashes and cleared requests that this router detected since the last call to the
    /// feed. True if there are any. `wallTime` is in Unix milliseconds.
    bool publish(std::uint64_t wallTime, TimePoint now);
    /// Applies a record of the topic or of those of PromptCrashUpdates, and ignores all others;
    /// records of this router are applied too.
    void apply(const FeedRecord &record, TimePoint now);
    /// To be called after records were applied, and regularly.
    void update(TimePoint now) { m_kept.onVerdicts(m_promptCrashes.update(now), now); }
    /// The crashes that outlast the routers.
    KeptCrashes &kept() { return m_kept; }
    /// Drops records older than the memory of crashes. `wallTime` is in Unix
    /// milliseconds.
    void dropExpired(std::uint64_t wallTime);

private:
    /// Order of a new record of the request, behind all that are known: clocks of routers differ.
    std::uint64_t nextOrder(const std::string &fingerprint, bool isCleared,
                            std::uint64_t wallTime) const;
    void applyCleared(const FeedRecord &record, Fingerprint request, TimePoint now);

    CrashGuard &m_guard;
    RecordFeed &m_feed;
    EventLog &m_log;
    Metrics &m_metrics;
    PromptCrashUpdates m_promptCrashes;
    KeptCrashes m_kept;
};

} // namespace comfrey
