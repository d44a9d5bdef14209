// The server side of a connection.
#include "common/callersocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace comfrey {

namespace {

constexpr std::chrono::milliseconds kIdleSlice{100}; // between two looks at whether to stop
constexpr std::chrono::milliseconds kDrainLimit{500};
constexpr std::size_t kDrainBytes = 8 << 20;

// The connection that this thread serves; cpp-httplib does not hand it to handlers.
thread_local int servedSocket = -1;

using AddressReader = int (*)(int, sockaddr *, socklen_t *);

void readAddress(AddressReader reader, int socket, std::string &ip, int &port)
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(storage);
    auto *address = reinterpret_cast<sockaddr *>(&storage);
    if (reader(socket, address, &size) != 0 || storage.ss_family != AF_INET)
        return;
    const auto *v4 = reinterpret_cast<const sockaddr_in *>(&storage);
    std::array<char, INET_ADDRSTRLEN> text{};
    if (::inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size()) != nullptr)
        ip = text.data();
    port = ntohs(v4->sin_port);
}

} // namespace

CallerSocket::CallerSocket(int socket, const SocketTimeouts &timeouts)
    : m_socket(socket), m_timeouts(timeouts), m_buffer()
{ }

bool CallerSocket::waitFor(short events, std::chrono::milliseconds limit) const
{
    pollfd entry{m_socket, events, 0};
    int ready = 0;
    do {
        ready = ::poll(&entry, 1, static_cast<int>(limit.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0 && (entry.revents & events) != 0
        && (entry.revents & (POLLERR | POLLNVAL)) == 0;
}

bool CallerSocket::is_readable() const
{
    return m_begin < m_end || waitFor(POLLIN, m_timeouts.read);
}

bool CallerSocket::is_writable() const
{
    pollfd entry{m_socket, POLLOUT, 0};
    if (::poll(&entry, 1, static_cast<int>(m_timeouts.write.count())) <= 0)
        return false;
    return (entry.revents & (POLLERR | POLLHUP | POLLNVAL)) == 0;
}

ssize_t CallerSocket::read(char *data, std::size_t size)
{
    if (m_begin == m_end) {
        if (!is_readable())
            return -1;
        const ssize_t count = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        if (count <= 0)
            return count;
        m_begin = 0;
        m_end = static_cast<std::size_t>(count);
    }
    const std::size_t count = std::min(size, m_end - m_begin);
    std::copy_n(m_buffer.data() + m_begin, count, data);
    m_begin += count;
    return static_cast<ssize_t>(count);
}

ssize_t CallerSocket::write(const char *data, std::size_t size)
{
    if (!is_writable())
        return -1;
    return ::send(m_socket, data, size, MSG_NOSIGNAL);
}

void CallerSocket::get_remote_ip_and_port(std::string &ip, int &port) const
{
    readAddress(&::getpeername, m_socket, ip, port);
}

void CallerSocket::get_local_ip_and_port(std::string &ip, int &port) const
{
    readAddress(&::getsockname, m_socket, ip, port);
}

bool CallerSocket::waitForBytes(std::chrono::milliseconds limit) const
{
    return m_begin < m_end || waitFor(POLLIN, limit);
}

void CallerSocket::shutDown()
{
    ::shutdown(m_socket, SHUT_WR);
    const auto end = std::chrono::steady_clock::now() + kDrainLimit;
    std::size_t drained = 0;
    while (drained < kDrainBytes && std::chrono::steady_clock::now() < end) {
        // The first look does not wait: only a caller that has sent more is drained.
        if (!waitFor(POLLIN, drained == 0 ? std::chrono::milliseconds(0) : kIdleSlice))
            break;
        const ssize_t count = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        if (count <= 0)
            break;
        drained += static_cast<std::size_t>(count);
    }
    ::shutdown(m_socket, SHUT_RDWR);
}

bool CallerSocketServer::process_and_close_socket(socket_t socket)
{
    servedSocket = socket;
    CallerSocket stream(socket, m_timeouts);
    std::chrono::milliseconds idle{0};
    bool isOpen = true;
    while (isOpen && svr_sock_ != INVALID_SOCKET && idle < m_timeouts.idle) {
        if (!stream.waitForBytes(kIdleSlice)) {
            idle += kIdleSlice;
            continue;
        }
        idle = std::chrono::milliseconds(0);
        bool connectionClosed = false;
        isOpen = process_request(stream, false, connectionClosed, nullptr) && !connectionClosed;
    }
    stream.shutDown();
    servedSocket = -1;
    ::close(socket);
    return true;
}

void dropConnection()
{
    ::shutdown(servedSocket, SHUT_RDWR);
}

bool hasCallerClosed()
{
    char byte = 0;
    return ::recv(servedSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace comfrey
