// Callers' connections by themselves: a caller that takes nothing, one that closed its sending
// side.
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>

#include "loopback.h"
#include "traffic/callerlistener.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

/// Answers each request with a body of `bytes`, in one piece or left open.
class BodyHandler : public RequestHandler, public CallerWatcher
{
public:
    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead, std::string) override
    {
        caller->watch(this);
        HttpHead head;
        head.status = 200;
        caller->startResponse(head);
        caller->writeBody(std::string(bytes, 'x'));
        if (!leavesOpen)
            caller->finishResponse();
        connection = caller;
    }
    const CallerLimits &limits() const override { return m_limits; }
    bool isStopping() const override { return false; }
    bool servesHalfClosed() const override { return servesHalfClosedCallers; }
    void onCallerGone() override { ++gone; }
    void onCallerDrained() override { }

    std::size_t bytes = 0;
    bool leavesOpen = false;
    bool servesHalfClosedCallers = false;
    int gone = 0;
    std::shared_ptr<CallerConnection> connection; ///< Of the last request.

private:
    CallerLimits m_limits;
};

const std::string kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

class CallerConnectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerConnectionTest);
    CPPUNIT_TEST(callerThatTakesNothingIsDroppedAfterItsTime);
    CPPUNIT_TEST(callerThatTakesSlowlyIsKept);
    CPPUNIT_TEST(halfClosedCallerIsGoneUnlessTheHandlerServesIt);
    CPPUNIT_TEST(halfClosedCallerThatLeftIsFoundByTheNextWrites);
    CPPUNIT_TEST(refusedHeadRequestGetsNoBody);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { CPPUNIT_ASSERT(m_listener.listen("127.0.0.1:0")); }

    void callerThatTakesNothingIsDroppedAfterItsTime()
    {
        m_handler.bytes = kMoreThanBuffers;
        boost::asio::ip::tcp::socket silent = connectAndSend();
        runUntil(m_loop, [this] { return m_handler.connection != nullptr; });
        const TimePoint begin = now();
        m_listener.sweep(begin);
        m_listener.sweep(begin + milliseconds(29000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_listener.connectionCount());
        m_listener.sweep(begin + milliseconds(31000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_listener.connectionCount());
    }

    void callerThatTakesSlowlyIsKept()
    {
        m_handler.bytes = kMoreThanBuffers;
        m_handler.leavesOpen = true;
        boost::asio::ip::tcp::socket slow = connectAndSend();
        runUntil(m_loop, [this] { return m_handler.connection != nullptr; });
        TimePoint at = now();
        std::vector<char> buffer(kMoreThanBuffers);
        for (int round = 0; round < 3; ++round) {
            m_listener.sweep(at);
            // Everything is taken, and as much is waiting again.
            std::size_t taken = 0;
            runUntil(m_loop, [&] {
                boost::system::error_code error;
                taken += slow.read_some(boost::asio::buffer(buffer), error);
                return m_handler.connection->backlog() == 0;
            });
            m_handler.connection->writeBody(std::string(kMoreThanBuffers, 'x'));
            at += milliseconds(25000);
        }
        m_listener.sweep(at);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_listener.connectionCount());
        CPPUNIT_ASSERT_EQUAL(0, m_handler.gone);
    }

    void halfClosedCallerIsGoneUnlessTheHandlerServesIt()
    {
        m_handler.leavesOpen = true;
        boost::asio::ip::tcp::socket first = connectAndSend();
        first.shutdown(boost::asio::socket_base::shutdown_send);
        runUntil(m_loop, [this] { return m_handler.gone == 1; });
        m_handler.servesHalfClosedCallers = true;
        m_handler.connection = nullptr;
        boost::asio::ip::tcp::socket second = connectAndSend();
        second.shutdown(boost::asio::socket_base::shutdown_send);
        runUntil(m_loop, [this] { return m_handler.connection != nullptr; });
        runFor(m_loop, milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(1, m_handler.gone);
        m_handler.connection->writeBody("last");
        m_handler.connection->finishResponse();
        std::string got;
        runUntil(m_loop, [&] {
            char buffer[256];
            boost::system::error_code error;
            const std::size_t count = second.read_some(boost::asio::buffer(buffer), error);
            got.append(buffer, count);
            return error == boost::asio::error::eof;
        });
        CPPUNIT_ASSERT(got.find("last") != std::string::npos);
    }

    void halfClosedCallerThatLeftIsFoundByTheNextWrites()
    {
        m_handler.leavesOpen = true;
        m_handler.servesHalfClosedCallers = true;
        {
            boost::asio::ip::tcp::socket caller = connectAndSend();
            runUntil(m_loop, [this] { return m_handler.connection != nullptr; });
        }
        runUntil(m_loop, [this] {
            m_handler.connection->writeBody("still there?");
            m_listener.sweep(now());
            return m_handler.gone == 1;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_listener.connectionCount());
    }

    void refusedHeadRequestGetsNoBody()
    {
        RawCaller caller(m_loop, m_listener.port());
        caller.send("HEAD /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        runFor(m_loop, milliseconds(20));
        caller.send("no length\r\n");
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return caller.isClosed(); }));
        CPPUNIT_ASSERT(caller.received().starts_with("HTTP/1.1 400 "));
        CPPUNIT_ASSERT(caller.received().ends_with("\r\n\r\n"));
    }

private:
    /// Over what both sockets' buffers take on loopback.
    static constexpr std::size_t kMoreThanBuffers = std::size_t{32} << 20;

    boost::asio::ip::tcp::socket connectAndSend()
    {
        boost::asio::ip::tcp::socket socket(m_loop);
        socket.connect({boost::asio::ip::address_v4::loopback(), m_listener.port()});
        boost::asio::write(socket, boost::asio::buffer(kRequest));
        socket.non_blocking(true);
        return socket;
    }

    boost::asio::io_context m_loop;
    BodyHandler m_handler;
    CallerListener m_listener{m_loop, m_handler, [] { return now(); }, 16};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerConnectionTest);
