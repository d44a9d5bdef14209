// Kept-alive connections to backend servers, by server incarnation: a restarted server, or another
// one at the same address, never gets a connection that was opened to the one before.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "traffic/backendconnection.h"

namespace comfrey {

class BackendPool
{
public:
    using Connection = std::shared_ptr<BackendConnection>;

    BackendPool(boost::asio::io_context &loop, const BackendConnectionLimits &limits,
                Duration idleLimit);

    /// An idle connection to the server, or a new one that connects when it is first used. `server`
    /// names one incarnation of it.
    Connection take(const std::string &server, const BackendConnection::Endpoint &endpoint,
                    TimePoint now);
    /// Gives a connection back after its response; one that can't be used again is forgotten.
    void giveBack(const std::string &server, const Connection &connection, TimePoint now);
    /// Connects to the server without a request; an open connection is kept for the next one.
    /// `handler` hears how it failed; nothing if it is open.
    void probe(const std::string &server, const BackendConnection::Endpoint &endpoint,
               Duration limit, TimePoint now,
               std::function<void(std::optional<BreakKind>)> handler);
    /// True if an idle connection shows that the server's process still runs.
    bool hasOpenConnection(const std::string &server) const;
    /// Closes connections that were idle for too long.
    /// Closes one idle connection. False if there is none.
    bool closeOneIdle();
    void sweep(TimePoint now);

    std::size_t idleCount() const;
    std::uint64_t openedCount() const { return m_opened; }

private:
    struct Idle
    {
        Connection connection;
        TimePoint until; ///< The server may close it after that.
    };

    boost::asio::io_context &m_loop;
    BackendConnectionLimits m_limits;
    Duration m_idleLimit;
    std::map<std::string, std::vector<Idle>> m_idle; ///< Last used at the back.
    std::uint64_t m_opened = 0;
};

} // namespace comfrey
