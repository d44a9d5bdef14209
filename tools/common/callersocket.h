// The server side of a connection. cpp-httplib's own takes a caller that closed its sending side
// for one that has left; here such a caller still gets its whole answer.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

#include <httplib.h>

namespace comfrey {

struct SocketTimeouts
{
    std::chrono::milliseconds read{5000};
    std::chrono::milliseconds write{5000};
    std::chrono::milliseconds idle{5000}; ///< Of a kept-alive connection between two requests.
};

/// A connected socket as a stream with a read buffer. Does not own the socket.
class CallerSocket : public httplib::Stream
{
public:
    CallerSocket(int socket, const SocketTimeouts &timeouts);

    /// True if bytes can be read, or the caller closed its sending side.
    bool is_readable() const override; // NOLINT(readability-identifier-naming)
    /// False if the connection was reset, or closed in both directions.
    bool is_writable() const override; // NOLINT(readability-identifier-naming)
    ssize_t read(char *data, std::size_t size) override;
    ssize_t write(const char *data, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, // NOLINT(readability-identifier-naming)
                                int &port) const override;
    void get_local_ip_and_port(std::string &ip, // NOLINT(readability-identifier-naming)
                               int &port) const override;
    socket_t socket() const override { return m_socket; }

    /// Waits for the first byte of a next request, at most for `limit`.
    bool waitForBytes(std::chrono::milliseconds limit) const;
    /// Ends the connection. Unread bytes are drained first for a short time: closing with bytes
    /// unread would reset the connection and could destroy an answer on its way.
    void shutDown();

private:
    bool waitFor(short events, std::chrono::milliseconds limit) const;

    const int m_socket;
    const SocketTimeouts m_timeouts;
    std::array<char, 4096> m_buffer;
    std::size_t m_begin = 0; ///< m_begin <= m_end <= m_buffer.size(); unread bytes are between.
    std::size_t m_end = 0;
};

/// A server whose connections are CallerSockets.
class CallerSocketServer : public httplib::Server
{
public:
    void setTimeouts(const SocketTimeouts &timeouts) { m_timeouts = timeouts; }

private:
    bool
    process_and_close_socket(socket_t socket) override; // NOLINT(readability-identifier-naming)

    SocketTimeouts m_timeouts; ///< Set before the server listens.
};

/// Shuts the connection that the calling thread serves, so that its answer is lost.
void dropConnection();

/// True if the caller of the connection that the calling thread serves closed its sending side: it
/// may have left.
bool hasCallerClosed();

} // namespace comfrey
