// What routers tell each other of backend servers that said themselves that they leave: records of
// a topic that is known to routers only. A server's word reaches routers that have not asked it.
#pragma once

#include <cstdint>

#include "dispatch/replicatable.h"
#include "routers/recordfeed.h"
#include "telemetry/eventlog.h"

namespace comfrey {

class LeavingUpdates
{
public:
    /// Never in the platform's store.
    static constexpr const char *kTopic = "~leaving";

    LeavingUpdates(ReplicaTable &replicas, RecordFeed &feed, EventLog &log)
        : m_replicas(replicas), m_feed(feed), m_log(log)
    { }

    /// Puts into the feed what servers told this router since the last call. True if it is
    /// anything. `wallTime`: Unix milliseconds.
    bool publish(std::uint64_t wallTime);
    /// Takes a record of the topic, this router's own ones too.
    void apply(const FeedRecord &record, TimePoint now);
    /// Drops records that no router needs any more.
    void dropExpired(std::uint64_t wallTime);

private:
    ReplicaTable &m_replicas;
    RecordFeed &m_feed;
    EventLog &m_log;
};

} // namespace comfrey
