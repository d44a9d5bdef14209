// The key of a record is the server's incarnation; its order is the time at which a router heard
// it.
#include "gateway/leavingnews.h"

namespace comfrey {

bool LeavingNews::tell(std::uint64_t wallTime)
{
    bool isNew = false;
    for (const std::string &server : m_replicas.takeNewlyLeaving())
        isNew =
            (!m_feed.find(kTopic, server) && m_feed.put({kTopic, server, std::string(), wallTime}))
            || isNew;
    return isNew;
}

void LeavingNews::take(const FeedRecord &record, TimePoint now)
{
    if (m_replicas.onLeavingAnnounced(record.key, now))
        LogLine(m_log, "server-said-leaving", now)
            .add("server", record.key)
            .add("source", "another router");
}

void LeavingNews::forgetOld(std::uint64_t wallTime)
{
    constexpr auto memory = ReplicaTable::kLeavingRetention;
    m_feed.forget(kTopic, wallTime - static_cast<std::uint64_t>(memory.count() / 1000));
}

} // namespace comfrey
