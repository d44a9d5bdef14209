// The key of a record is the server's incarnation, its order the Unix time in milliseconds at which
// a router received the announcement.
#include "gateway/leavingupdates.h"

namespace comfrey {

bool LeavingUpdates::publish(std::uint64_t wallTime)
{
    bool isNew = false;
    for (const std::string &server : m_replicas.takeNewlyLeaving())
        isNew =
            (!m_feed.find(kTopic, server) && m_feed.put({kTopic, server, std::string(), wallTime}))
            || isNew;
    return isNew;
}

void LeavingUpdates::apply(const FeedRecord &record, TimePoint now)
{
    if (m_replicas.onLeavingAnnounced(record.key, now))
        LogLine(m_log, "server-said-leaving", now)
            .add("server", record.key)
            .add("source", "another router");
}

void LeavingUpdates::dropExpired(std::uint64_t wallTime)
{
    constexpr auto retention = ReplicaTable::kLeavingRetention;
    m_feed.dropOlderThan(kTopic, wallTime - static_cast<std::uint64_t>(retention.count() / 1000));
}

} // namespace comfrey
