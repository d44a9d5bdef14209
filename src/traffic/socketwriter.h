// The sending half of a connection: writes at once what the socket takes and keeps the rest.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <utility>

#include <boost/asio/ip/tcp.hpp>

namespace comfrey {

class SocketWriter
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    /// Runs when everything was written (true) or the connection broke (false).
    using Handler = std::function<void(bool written)>;

    /// `owner` keeps the socket alive while a write is under way.
    void write(Socket &socket, std::string_view bytes, const std::shared_ptr<void> &owner);
    /// As above; what the socket doesn't take at once is kept as it is and not copied.
    void write(Socket &socket, const std::shared_ptr<const std::string> &bytes,
               const std::shared_ptr<void> &owner);

    bool isBroken() const { return m_broken; }
    /// Bytes that the socket has not taken yet.
    std::size_t backlog() const
    {
        return m_waiting.size() + (m_sending ? m_sending->size() - m_sent : 0);
    }
    /// Grows with each piece of the backlog that the socket took.
    std::uint64_t progress() const { return m_progress; }
    /// Called after each write that emptied the backlog or failed, never from within write().
    void onDrained(Handler handler) { m_drained = std::move(handler); }

private:
    /// Writes what the socket takes at once. Returns how much that was.
    std::size_t writeSome(Socket &socket, std::string_view bytes);
    void sendWaiting(Socket &socket, const std::shared_ptr<void> &owner);
    void sendRest(Socket &socket, const std::shared_ptr<void> &owner);

    std::shared_ptr<const std::string> m_sending; ///< Null while the socket has taken all.
    std::size_t m_sent = 0;                       ///< Bytes of m_sending that the socket took.
    std::string m_waiting;                        ///< Follows m_sending.
    std::uint64_t m_progress = 0;
    bool m_broken = false;
    Handler m_drained;
};

} // namespace comfrey
