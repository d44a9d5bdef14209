// Bodies that nobody is given: of an answer to another request, and of a refusal. They take no
// memory, however long they are, and do not keep a request from its own answer.
#include <cppunit/extensions/HelperMacros.h>

#include <malloc.h>

#include "onerouter.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

using Request = ServerConnection::Request;

constexpr std::size_t kSent = std::size_t{64} << 20;
constexpr std::size_t kMostHeld = std::size_t{1} << 20;
const std::string kEndlessChunk = "Transfer-Encoding: chunked\r\n\r\n40000000\r\n";

/// Bytes that the process has allocated.
std::size_t allocatedBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::string requestFor(const std::string &id)
{
    return "GET /x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\n\r\n";
}

std::string headOf(const std::string &id)
{
    return "HTTP/1.1 200 X\r\nX-Request-Id: " + id + "\r\nX-Response-Signature: s\r\n";
}

} // namespace

class DiscardedBodyTest : public CppUnit::TestFixture, private OneRouter
{
    CPPUNIT_TEST_SUITE(DiscardedBodyTest);
    CPPUNIT_TEST(endlessAnswerToAnotherRequestTakesNoMemory);
    CPPUNIT_TEST(answerAfterALongOneToAnotherRequestIsDelivered);
    CPPUNIT_TEST(endlessBodyOfARefusalDoesNotDelayTheRetry);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        Route route;
        route.name = "once";
        route.host = "a.example";
        route.pathPrefix = "/";
        route.kind = RouteKind::AtMostOnce;
        route.timeout =
            milliseconds(60000); // Far beyond each test: the time limit is no help here.
        route.maxAttempts = 2;
        route.targets = {{ServiceName("s"), 1}};
        FleetConfig config;
        config.version = 1;
        config.routes = {std::move(route)};
        m_dispatcher.apply(std::move(config));
        CPPUNIT_ASSERT(m_listener.listen("127.0.0.1:0"));
    }

    /// A late copy of an earlier answer whose chunks did not end was collected until the process
    /// ended for lack of memory.
    void endlessAnswerToAnotherRequestTakesNoMemory()
    {
        ScriptedServer server(m_loop, [](ServerConnection &connection, const Request &request) {
            if (request.head.valueOf("X-Request-Id") == "r1")
                connection.answer(request, "first");
            else
                connection.write(headOf("r1") + kEndlessChunk);
        });
        addServer(server, "e0");
        CPPUNIT_ASSERT_EQUAL(200U, sendAndReceive(requestFor("r1")).head.status);
        RawCaller caller(m_loop, m_listener.port());
        caller.send(requestFor("r2"));
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return server.requestCount() == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connectionCount());
        CPPUNIT_ASSERT(mostHeldDuring(server.connection(0)) < kMostHeld);
        CPPUNIT_ASSERT(server.connection(0).isClosedByPeer());
        // It may have run, so that no status may promise the opposite.
        CPPUNIT_ASSERT_EQUAL(502U, receive(caller).head.status);
    }

    void answerAfterALongOneToAnotherRequestIsDelivered()
    {
        const std::string late(1 << 20, 'l');
        ScriptedServer server(m_loop, [&](ServerConnection &connection, const Request &request) {
            if (request.head.valueOf("X-Request-Id") == "r2")
                connection.write(headOf("r1") + "Content-Length: " + std::to_string(late.size())
                                 + "\r\n\r\n" + late);
            connection.answer(request, "own");
        });
        addServer(server, "e0");
        CPPUNIT_ASSERT_EQUAL(200U, sendAndReceive(requestFor("r1")).head.status);
        const RawCaller::Response response = sendAndReceive(requestFor("r2"));
        CPPUNIT_ASSERT_EQUAL(200U, response.head.status);
        CPPUNIT_ASSERT_EQUAL(std::string("own"), response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connectionCount());
    }

    /// The request waited for the end of the refusal's body until its time limit.
    void endlessBodyOfARefusalDoesNotDelayTheRetry()
    {
        std::size_t refusals = 0;
        const auto refuseFirst = [&](ServerConnection &connection, const Request &request) {
            if (refusals++ > 0)
                connection.answer(request, "second");
            else
                connection.write("HTTP/1.1 503 X\r\nX-Request-Id: r1\r\nX-Not-Executed: 1\r\n"
                                 + kEndlessChunk);
        };
        ScriptedServer one(m_loop, refuseFirst);
        ScriptedServer other(m_loop, refuseFirst);
        addServer(one, "e0");
        addServer(other, "e1");
        RawCaller caller(m_loop, m_listener.port());
        caller.send(requestFor("r1"));
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return refusals == 1; }));
        ScriptedServer &refusing = one.requestCount() == 1 ? one : other;
        CPPUNIT_ASSERT(mostHeldDuring(refusing.connection(0)) < kMostHeld);
        const RawCaller::Response response = receive(caller);
        CPPUNIT_ASSERT_EQUAL(200U, response.head.status);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, refusals);
    }

private:
    /// Sends body bytes until the router closes the connection, or `kSent` of them. Returns the
    /// most that was allocated meanwhile.
    std::size_t mostHeldDuring(ServerConnection &connection)
    {
        const std::size_t before = allocatedBytes();
        std::size_t most = before;
        std::size_t sent = 0;
        const TimePoint begun = now();
        while (sent < kSent && !connection.isClosedByPeer()
               && now() - begun < milliseconds(15000)) {
            sent += connection.writeEndless("x");
            m_loop.restart();
            m_loop.poll();
            most = std::max(most, allocatedBytes());
        }
        runFor(m_loop, milliseconds(20));
        return most - before;
    }

    RawCaller::Response receive(RawCaller &caller)
    {
        std::optional<RawCaller::Response> response;
        CPPUNIT_ASSERT(
            runUntil(m_loop, [&] { return (response = caller.takeResponse()).has_value(); }));
        return *response;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiscardedBodyTest);
