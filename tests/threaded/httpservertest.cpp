// Callers that misbehave on the connection: half-closed, too large, cut off, slow.
#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

#include "common/httpserver.h"

using namespace comfrey;

namespace {

/// A caller that writes bytes as it likes.
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

std::string requestWithBody(const std::string &path, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

class HttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(callerWithClosedSendingSideGetsWholeStream);
    CPPUNIT_TEST(callerWithTooLargeBodyGetsStatus);
    CPPUNIT_TEST(callerCutOffInBodyDisturbsNobody);
    CPPUNIT_TEST(slowCallersDisturbNobody);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        HttpServerOptions options;
        options.maxThreads = 16;
        options.maxBodyBytes = kMaxBodyBytes;
        m_server = std::make_unique<HttpServer>(options);
        m_server->routes().Post("/echo", [](const httplib::Request &request, auto &response) {
            response.set_content(request.body, "text/plain");
        });
        m_server->routes().Post("/stream", [](const httplib::Request &, auto &response) {
            auto left = std::make_shared<int>(kEvents);
            response.set_chunked_content_provider("text/event-stream",
                                                  [left](std::size_t, httplib::DataSink &sink) {
                                                      if (!sink.write("event\n", 6))
                                                          return false;
                                                      if (--*left == 0)
                                                          sink.done();
                                                      return true;
                                                  });
        });
        const Result<int> port = m_server->listen("127.0.0.1:0");
        CPPUNIT_ASSERT(port.has_value());
        m_port = *port;
        m_server->start();
    }

    void tearDown() override { m_server.reset(); }

    void callerWithClosedSendingSideGetsWholeStream()
    {
        RawCaller caller(m_port);
        caller.write(requestWithBody("/stream", "x"));
        caller.closeSendingSide();
        const std::string answer = caller.readToEnd();
        CPPUNIT_ASSERT_EQUAL(kEvents, countOf(answer, "event\n"));
        CPPUNIT_ASSERT(answer.find("\r\n0\r\n\r\n") != std::string::npos);
    }

    void callerWithTooLargeBodyGetsStatus()
    {
        RawCaller caller(m_port);
        caller.write(requestWithBody("/echo", std::string(kMaxBodyBytes + 1, 'x')));
        const std::string answer = caller.readToEnd();
        CPPUNIT_ASSERT(answer.find("HTTP/1.1 413") == 0);
    }

    void callerCutOffInBodyDisturbsNobody()
    {
        {
            RawCaller caller(m_port);
            caller.write("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nshort");
        }
        assertServed();
    }

    void slowCallersDisturbNobody()
    {
        RawCaller first(m_port);
        RawCaller second(m_port);
        first.write("POST /echo HT");
        second.write("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n");
        assertServed();
    }

private:
    static constexpr std::size_t kMaxBodyBytes = 65536;
    static constexpr int kEvents = 200;

    static int countOf(const std::string &text, const std::string &part)
    {
        int count = 0;
        for (std::size_t at = text.find(part); at != std::string::npos;
             at = text.find(part, at + 1))
            ++count;
        return count;
    }

    void assertServed()
    {
        RawCaller caller(m_port);
        caller.write(requestWithBody("/echo", "hello"));
        const std::string answer = caller.readToEnd();
        CPPUNIT_ASSERT(answer.find("HTTP/1.1 200") == 0);
        CPPUNIT_ASSERT(answer.find("\r\n\r\nhello") != std::string::npos);
    }

    std::unique_ptr<HttpServer> m_server;
    int m_port = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
