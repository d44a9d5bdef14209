// Exchange between routers about backend servers that announced that they are leaving, as records
// of a topic that only routers share. So the announcement reaches routers that sent the server no
// request.
#pragma once

#include <cstdint>

#include "dispatch/replicatable.h"
#include "routers/recordfeed.h"
#include "telemetry/eventlog.h"

namespace comfrey {

/// Publishes the announcements that this router received and applies those of other routers.
class LeavingUpdates
{
public:
    /// Topic of the records; it is never in the platform's store.
    static constexpr const char *kTopic = "~leaving";

    LeavingUpdates(ReplicaTable &replicas, RecordFeed &feed, EventLog &log)
        : m_replicas(replicas), m_feed(feed), m_log(log)
    { }

    /// Adds the announcements that servers sent to this router since the last call to the feed.
    /// True if one is new to the feed. `wallTime` is in Unix milliseconds.
    bool publish(std::uint64_t wallTime);
    /// Passes a record of the topic to the replica table; records of this router are applied too.
    void apply(const FeedRecord &record, TimePoint now);
    /// Drops records older than the replica table keeps announcements. `wallTime` is in Unix
    /// milliseconds.
    void dropExpired(std::uint64_t wallTime);

private:
    ReplicaTable &m_replicas;
    RecordFeed &m_feed;
    EventLog &m_log;
};

} // namespace comfrey
