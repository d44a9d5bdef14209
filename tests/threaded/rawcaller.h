// A caller on a plain socket that writes bytes as it likes.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace comfrey {

class RawCaller
{
public:
    explicit RawCaller(int port) : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CPPUNIT_ASSERT_EQUAL(
            0, ::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)));
    }
    ~RawCaller() { ::close(m_socket); }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    /// False if the other side has closed.
    bool write(const std::string &text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count =
                ::send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    void closeSendingSide() { ::shutdown(m_socket, SHUT_WR); }

    std::string readToEnd()
    {
        std::string text;
        char buffer[4096];
        ssize_t count = 0;
        while ((count = ::recv(m_socket, buffer, sizeof(buffer), 0)) > 0)
            text.append(buffer, static_cast<std::size_t>(count));
        return text;
    }

private:
    int m_socket;
};

inline std::string requestWithBody(const std::string &path, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline int countOf(const std::string &text, const std::string &part)
{
    int count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace comfrey
