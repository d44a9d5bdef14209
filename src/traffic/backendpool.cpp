// The most recently used connection goes out first, so the others age and close.
#include "traffic/backendpool.h"

#include <algorithm>

namespace comfrey {

BackendPool::BackendPool(boost::asio::io_context &loop, const BackendConnectionLimits &limits,
                         Duration idleLimit)
    : m_loop(loop), m_limits(limits), m_idleLimit(idleLimit)
{ }

BackendPool::Connection BackendPool::take(const std::string &server,
                                          const BackendConnection::Endpoint &endpoint,
                                          TimePoint now)
{
    const auto found = m_idle.find(server);
    while (found != m_idle.end() && !found->second.empty()) {
        Idle idle = std::move(found->second.back());
        found->second.pop_back();
        if (idle.connection->isReusable() && now < idle.until && !idle.connection->hasUnreadBytes())
            return idle.connection;
        idle.connection->drop();
    }
    ++m_opened;
    return std::make_shared<BackendConnection>(m_loop, endpoint, m_limits);
}

void BackendPool::giveBack(const std::string &server, const Connection &connection, TimePoint now)
{
    if (!connection->isReusable()) {
        connection->drop();
        return;
    }
    // A fifth is kept for the way there and for clocks that run apart.
    const Duration limit =
        std::min(m_idleLimit, connection->keepAliveLimit().value_or(m_idleLimit) * 4 / 5);
    m_idle[server].push_back({connection, now + limit});
}

void BackendPool::probe(const std::string &server, const BackendConnection::Endpoint &endpoint,
                        Duration limit, TimePoint now,
                        std::function<void(std::optional<BreakKind>)> handler)
{
    ++m_opened;
    const auto connection = std::make_shared<BackendConnection>(m_loop, endpoint, m_limits);
    const std::weak_ptr<BackendConnection> weak = connection; // It holds the handler.
    connection->open(limit,
                     [this, server, weak, now,
                      handler = std::move(handler)](const std::optional<BreakKind> &failure) {
                         const auto opened = weak.lock();
                         if (!failure && opened)
                             giveBack(server, opened, now);
                         handler(failure);
                     });
}

bool BackendPool::hasOpenConnection(const std::string &server) const
{
    const auto found = m_idle.find(server);
    return found != m_idle.end()
        && std::any_of(found->second.begin(), found->second.end(),
                       [](const Idle &idle) { return idle.connection->isReusable(); });
}

void BackendPool::sweep(TimePoint now)
{
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [now](const Idle &idle) {
            if (idle.connection->isReusable() && now < idle.until)
                return false;
            idle.connection->drop();
            return true;
        });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

bool BackendPool::closeOneIdle()
{
    for (auto entry = m_idle.begin(); entry != m_idle.end(); entry = m_idle.erase(entry)) {
        if (entry->second.empty())
            continue;
        entry->second.front().connection->drop();
        entry->second.erase(entry->second.begin());
        return true;
    }
    return false;
}

std::size_t BackendPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[server, idle] : m_idle)
        count += idle.size();
    return count;
}

} // namespace comfrey
