// Exchange between routers of the evidence on prompt parts that crash backend servers, as records
// of two topics that only routers share.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"
#include "routers/recordfeed.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace comfrey {

/// Publishes this router's evidence and applies that of all routers.
class PromptCrashUpdates
{
public:
    /// Candidates at servers that crashed. These topics are never in the platform's store.
    static constexpr const char *kCrashTopic = "~prompt-crashes";
    /// Answers that clear parts of earlier crashes.
    static constexpr const char *kSoundTopic = "~sound-parts";

    PromptCrashUpdates(Dispatcher &dispatcher, RecordFeed &feed, EventLog &log, Metrics &metrics)
        : m_dispatcher(dispatcher), m_feed(feed), m_log(log), m_metrics(metrics)
    { }

    /// Adds the evidence of the findings, and of answers since the last call, to the feed. True if
    /// there is any. `wallTime` is in Unix milliseconds.
    bool publish(const std::vector<CrashFinding> &findings, std::uint64_t wallTime, TimePoint now);
    /// Applies a record if it is of one of the topics; records of this router are applied too.
    void apply(const FeedRecord &record, TimePoint now);
    /// Decides which parts are refused after records were applied, and logs and returns what
    /// changed.
    std::vector<PartVerdict> update(TimePoint now);
    /// Drops records older than the memory of crashes. `wallTime` is in Unix milliseconds.
    void dropExpired(std::uint64_t wallTime);

private:
    void publishSoundAnswer(const SoundAnswer &answer, std::uint64_t wallTime, TimePoint now);
    void applyCrash(const FeedRecord &record, TimePoint recordedAt, TimePoint now);
    void applySoundAnswer(const FeedRecord &record, TimePoint recordedAt, TimePoint now);

    Dispatcher &m_dispatcher;
    RecordFeed &m_feed;
    EventLog &m_log;
    Metrics &m_metrics;
    std::uint64_t m_reportCount = 0; ///< Keeps reports about one server apart.
};

} // namespace comfrey
