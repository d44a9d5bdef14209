// Statuses that promise callers that a request did not run. A backend server's own 503 for a
// request that it had run was relayed; callers sent the request again and it ran twice.
#include <cppunit/extensions/HelperMacros.h>

#include "onerouter.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

using Request = ServerConnection::Request;

Route route(const std::string &prefix, RouteKind kind, std::uint32_t attempts)
{
    Route result;
    result.name = prefix;
    result.host = "a.example";
    result.pathPrefix = prefix;
    result.kind = kind;
    result.timeout = milliseconds(5000);
    result.maxAttempts = attempts;
    result.targets = {{ServiceName("s"), 1}};
    return result;
}

std::string requestFor(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n\r\n";
}

const std::string kRefusal =
    "HTTP/1.1 503 X\r\nX-Request-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

class NotRunPromiseTest : public CppUnit::TestFixture, private OneRouter
{
    CPPUNIT_TEST_SUITE(NotRunPromiseTest);
    CPPUNIT_TEST(promiseForARequestThatRanIsWithheld);
    CPPUNIT_TEST(longPromiseForARequestThatRanIsWithheld);
    CPPUNIT_TEST(endlessPromiseForARequestThatRanIsWithheld);
    CPPUNIT_TEST(withheldPromiseIsAFailureThatRepeatableRequestsSurvive);
    CPPUNIT_TEST(refusalAfterAWithheldPromiseIsNoPromise);
    CPPUNIT_TEST(earlierFailureIsRelayedInsteadOfAWithheldPromise);
    CPPUNIT_TEST(refusalOfTheServerIsToldAsNotRun);
    CPPUNIT_TEST(otherStatusesAreRelayedUnchanged);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        FleetConfig config;
        config.version = 1;
        config.routes = {
            route("/once/", RouteKind::AtMostOnce, 1), route("/again/", RouteKind::Retryable, 2),
            route("/stream/", RouteKind::Stream, 1), route("/resume/", RouteKind::Stream, 2)};
        config.routes[3].canResume = true;
        m_dispatcher.apply(std::move(config));
        CPPUNIT_ASSERT(m_listener.listen("127.0.0.1:0"));
    }

    void promiseForARequestThatRanIsWithheld()
    {
        int status = 0;
        ScriptedServer server(m_loop, [&](ServerConnection &connection, const Request &request) {
            connection.answer(request, "busy", "Retry-After: 0\r\n", status);
        });
        addServer(server, "e0");
        std::size_t runs = 0;
        for (const int promise : {408, 429, 503}) {
            status = promise;
            for (const std::string path : {"/once/x", "/again/x", "/stream/x", "/resume/x"}) {
                checkWithheld(sendAndReceive(requestFor(path)));
                CPPUNIT_ASSERT_EQUAL(++runs, server.requestCount());
            }
        }
    }

    void longPromiseForARequestThatRanIsWithheld()
    {
        ScriptedServer server(m_loop, [](ServerConnection &connection, const Request &request) {
            connection.answer(request, std::string(400000, 'x'), {}, 503);
        });
        addServer(server, "e0");
        checkWithheld(sendAndReceive(requestFor("/once/x")));
    }

    void endlessPromiseForARequestThatRanIsWithheld()
    {
        ScriptedServer server(m_loop, [](ServerConnection &connection, const Request &) {
            connection.write("HTTP/1.1 503 X\r\nX-Request-Id: r1\r\nX-Response-Signature: s\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n40000000\r\n"
                             + std::string(100000, 'x'));
        });
        addServer(server, "e0");
        checkWithheld(sendAndReceive(requestFor("/once/x"))); // Not 504 at the time limit.
    }

    void withheldPromiseIsAFailureThatRepeatableRequestsSurvive()
    {
        std::size_t answers = 0;
        const auto answerFirstWith503 = [&](ServerConnection &connection, const Request &request) {
            connection.answer(request, "body", {}, answers++ == 0 ? 503 : 200);
        };
        ScriptedServer one(m_loop, answerFirstWith503);
        ScriptedServer other(m_loop, answerFirstWith503);
        addServer(one, "e0");
        addServer(other, "e1");
        CPPUNIT_ASSERT_EQUAL(200U, sendAndReceive(requestFor("/again/x")).head.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answers);
    }

    void refusalAfterAWithheldPromiseIsNoPromise()
    {
        std::size_t answers = 0;
        const auto answer = [&](ServerConnection &connection, const Request &request) {
            if (answers++ == 0)
                connection.answer(request, "body", {}, 503);
            else
                connection.write(kRefusal);
        };
        ScriptedServer one(m_loop, answer);
        ScriptedServer other(m_loop, answer);
        addServer(one, "e0");
        addServer(other, "e1");
        checkWithheld(sendAndReceive(requestFor("/again/x")));
        CPPUNIT_ASSERT(answers >= 2);
    }

    void earlierFailureIsRelayedInsteadOfAWithheldPromise()
    {
        std::size_t answers = 0;
        const auto answer = [&](ServerConnection &connection, const Request &request) {
            connection.answer(request, "body", {}, answers++ == 0 ? 500 : 503);
        };
        ScriptedServer one(m_loop, answer);
        ScriptedServer other(m_loop, answer);
        addServer(one, "e0");
        addServer(other, "e1");
        const RawCaller::Response response = sendAndReceive(requestFor("/again/x"));
        CPPUNIT_ASSERT_EQUAL(500U, response.head.status);
        CPPUNIT_ASSERT_EQUAL(std::string("s"),
                             std::string(response.head.valueOf("X-Response-Signature")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answers);
    }

    void refusalOfTheServerIsToldAsNotRun()
    {
        ScriptedServer server(m_loop, [](ServerConnection &connection, const Request &) {
            connection.write(kRefusal);
        });
        addServer(server, "e0");
        const RawCaller::Response response = sendAndReceive(requestFor("/once/x"));
        CPPUNIT_ASSERT_EQUAL(503U, response.head.status);
        CPPUNIT_ASSERT(!response.head.valueOf("Retry-After").empty());
    }

    void otherStatusesAreRelayedUnchanged()
    {
        int status = 0;
        ScriptedServer server(m_loop, [&](ServerConnection &connection, const Request &request) {
            connection.answer(request, "body", {}, status);
        });
        addServer(server, "e0");
        for (const int relayed : {201, 400, 404, 409, 500, 502, 504}) {
            status = relayed;
            const RawCaller::Response response = sendAndReceive(requestFor("/once/x"));
            CPPUNIT_ASSERT_EQUAL(static_cast<unsigned>(status), response.head.status);
            CPPUNIT_ASSERT_EQUAL(std::string("body"), response.body);
            CPPUNIT_ASSERT(!response.head.valueOf("X-Response-Signature").empty());
        }
    }

private:
    /// Neither the status nor the signature of the server may reach the caller.
    static void checkWithheld(const RawCaller::Response &response)
    {
        CPPUNIT_ASSERT_EQUAL(502U, response.head.status);
        CPPUNIT_ASSERT(response.head.valueOf("X-Response-Signature").empty());
        CPPUNIT_ASSERT(response.head.valueOf("Retry-After").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NotRunPromiseTest);
