// Accepts callers on one address and keeps their connections until they close.
#pragma once

#include <functional>
#include <list>
#include <memory>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "comfrey/error.h"
#include "comfrey/units.h"
#include "traffic/callerconnection.h"

namespace comfrey {

class CallerListener
{
public:
    using Clock = std::function<TimePoint()>;

    CallerListener(boost::asio::io_context &loop, RequestHandler &handler, Clock clock,
                   std::size_t maxConnections);

    /// Listens on "IP:port".
    Result<void> listen(const std::string &address);
    void stopListening();
    void closeIdle();
    /// Applies time limits; to be called a few times a second.
    void sweep(TimePoint now);
    std::size_t connectionCount() const { return m_connections.size(); }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    static constexpr std::size_t kFewConnections = 1024;

    void accept();
    void onAccepted(boost::asio::ip::tcp::socket socket);
    /// True if a newcomer may be kept; callers that wait are closed for it if need be.
    bool makeRoom();
    /// Forgets closed connections, at a cost that stays small beside that of accepting them.
    void forgetClosed();

    boost::asio::io_context &m_loop;
    RequestHandler &m_handler;
    Clock m_clock;
    std::size_t m_maxConnections;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<std::shared_ptr<CallerConnection>>
        m_connections; ///< Closed ones go at the next sweep, or when there are many.
    std::size_t m_forgetAt = kFewConnections; ///< So many connections are looked through.
    bool m_isWaiting = false; ///< No descriptor was left; the next sweep accepts again.
};

Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address);

} // namespace comfrey
