// Callers that misbehave on the connection: half-closed, too large, cut off, slow.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "common/httpserver.h"
#include "rawcaller.h"

using namespace comfrey;

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
