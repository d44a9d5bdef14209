// Tests of notices that a server gives in its answers: that it is leaving (Server-Leaving), and
// that it wants no requests for some time (Retry-After).
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "crashingfleet.h"
#include "onerouter.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

using Request = ServerConnection::Request;

const std::string kLeavingHeader = "Server-Leaving: 1\r\n";

void refuse(ServerConnection &connection, const std::string &fields)
{
    connection.write("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n" + fields
                     + "Content-Length: 0\r\n\r\n");
}

} // namespace

class ServerNoticesTest : public CppUnit::TestFixture, protected OneRouter
{
    CPPUNIT_TEST_SUITE(ServerNoticesTest);
    CPPUNIT_TEST(serverAnnouncingLeavingInSuccessGetsNoNewRequests);
    CPPUNIT_TEST(serverAnnouncingLeavingInFailureGetsNoNewRequests);
    CPPUNIT_TEST(serverAnnouncingLeavingInRefusalGetsNoNewRequests);
    CPPUNIT_TEST(serverAnnouncingLeavingInStreamHeadGetsNoNewRequests);
    CPPUNIT_TEST(serverAnnouncingLeavingInDiscardedAnswerGetsNoNewRequests);
    CPPUNIT_TEST(listUpdateDoesNotCancelAnnouncedLeaving);
    CPPUNIT_TEST(restartedServerIsNotLeaving);
    CPPUNIT_TEST(leavingServerIsNotUsedAsLastResort);
    CPPUNIT_TEST(leavingHeaderIsNotForwardedToCallers);
    CPPUNIT_TEST(otherRoutersStopSendingToLeavingServer);
    CPPUNIT_TEST(pausedServerGetsNoRequestsUntilPauseEnds);
    CPPUNIT_TEST(pauseWithFractionalSecondsIsKept);
    CPPUNIT_TEST(routerFrozenDuringPauseKeepsItForRequestsInSockets);
    CPPUNIT_TEST(routerFrozenPastPauseServesRequestsInSockets);
    CPPUNIT_TEST(invalidRetryAfterIsPlainRefusal);
    CPPUNIT_TEST(retryAfterReportsEarliestEndOfPauses);
    CPPUNIT_TEST(callerWithLessTimeLeftGetsShorterRetryAfter);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        FleetConfig config;
        config.version = 1;
        for (const auto &[prefix, kind] : {std::pair{"/once/", RouteKind::AtMostOnce},
                                           std::pair{"/again/", RouteKind::Retryable},
                                           std::pair{"/stream/", RouteKind::Stream}}) {
            Route route;
            route.name = prefix;
            route.host = "a.example";
            route.pathPrefix = prefix;
            route.kind = kind;
            route.timeout = milliseconds(5000);
            route.maxAttempts = 2;
            route.targets = {{ServiceName("s"), 1}};
            config.routes.push_back(route);
        }
        m_dispatcher.apply(std::move(config));
        CPPUNIT_ASSERT(m_listener.listen("127.0.0.1:0"));
    }

    void serverAnnouncingLeavingInSuccessGetsNoNewRequests()
    {
        checkNoNewRequests("/once/", [](ServerConnection &connection, const Request &request) {
            connection.answer(request, "ran", kLeavingHeader);
        });
    }

    void serverAnnouncingLeavingInFailureGetsNoNewRequests()
    {
        checkNoNewRequests("/once/", [](ServerConnection &connection, const Request &request) {
            connection.answer(request, "broken inside", kLeavingHeader, 500);
        });
    }

    void serverAnnouncingLeavingInRefusalGetsNoNewRequests()
    {
        checkNoNewRequests("/once/", [](ServerConnection &connection, const Request &) {
            refuse(connection, kLeavingHeader);
        });
    }

    void serverAnnouncingLeavingInStreamHeadGetsNoNewRequests()
    {
        checkNoNewRequests("/stream/", [](ServerConnection &connection, const Request &request) {
            connection.answer(request, "id: 1\ndata: x\n\n", kLeavingHeader);
        });
    }

    void serverAnnouncingLeavingInDiscardedAnswerGetsNoNewRequests()
    {
        checkNoNewRequests("/once/", [](ServerConnection &connection, const Request &request) {
            connection.write("HTTP/1.1 200 X\r\nX-Request-Id: other\r\nX-Response-Signature: s\r\n"
                             + kLeavingHeader + "Content-Length: 0\r\n\r\n");
            connection.answer(request, "ran");
        });
    }

    void listUpdateDoesNotCancelAnnouncedLeaving()
    {
        ScriptedServer server(m_loop, leavingScript());
        addServer(server, "e0");
        call("/once/");
        ReplicaRecord record = recordOf(server, "e0");
        record.sequence = 5;
        m_dispatcher.replicas().put(record, now());
        CPPUNIT_ASSERT_EQUAL(503U, call("/once/").head.status);
        m_dispatcher.replicas().remove(BackendId("e0"), now(), now());
        record.sequence = 6;
        m_dispatcher.replicas().put(record, now());
        CPPUNIT_ASSERT_EQUAL(503U, call("/once/").head.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requestCount());
    }

    void restartedServerIsNotLeaving()
    {
        ScriptedServer server(m_loop, leavingScript());
        addServer(server, "e0");
        call("/once/");
        ReplicaRecord record = recordOf(server, "e0");
        record.startedAtMs = 2;
        m_dispatcher.replicas().put(record, now());
        CPPUNIT_ASSERT_EQUAL(200U, call("/once/").head.status);
    }

    void leavingServerIsNotUsedAsLastResort()
    {
        ScriptedServer server(m_loop, leavingScript());
        addServer(server, "e0");
        call("/once/");
        for (const char *path : {"/once/", "/again/", "/stream/"})
            CPPUNIT_ASSERT_EQUAL(503U, call(path).head.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requestCount());
    }

    void leavingHeaderIsNotForwardedToCallers()
    {
        for (const char *path : {"/once/", "/stream/"}) {
            ScriptedServer server(m_loop, leavingScript());
            addServer(server, path);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), call(path).head.count("Server-Leaving"));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requestCount());
        }
    }

    void otherRoutersStopSendingToLeavingServer()
    {
        CrashingFleet fleet(m_loop, 3, 2, milliseconds(800));
        fleet.announceLeaving(0);
        std::size_t round = 0;
        while (fleet.requestsAt(0) == 0) {
            fleet.send(0, "/once/", "request " + std::to_string(++round));
            CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        }
        fleet.run(milliseconds(300));
        for (std::size_t count = 0; count < 24; ++count)
            fleet.send(count % 3, "/once/", "later");
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.requestsAt(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(24), fleet.statuses("later").size());
    }

    void pausedServerGetsNoRequestsUntilPauseEnds() { checkPause("1", milliseconds(1000)); }
    void pauseWithFractionalSecondsIsKept() { checkPause("0.45", milliseconds(450)); }

    void invalidRetryAfterIsPlainRefusal()
    {
        for (const char *value :
             {"-1", "soon", "Wed, 21 Oct 2015 07:28:00 GMT", "", "nan", "inf", "1 s"}) {
            bool isFull = true;
            ScriptedServer server(
                m_loop, [&](ServerConnection &connection, const Request &request) {
                    if (std::exchange(isFull, false))
                        refuse(connection, "Retry-After: " + std::string(value) + "\r\n");
                    else
                        connection.answer(request, "ran");
                });
            addServer(server, "e" + std::string(value));
            call("/once/");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, 200U, call("/once/").head.status);
            m_dispatcher.replicas().remove(BackendId("e" + std::string(value)), now(), now());
        }
    }

    void retryAfterReportsEarliestEndOfPauses()
    {
        ScriptedServer one(m_loop, [](ServerConnection &connection, const Request &) {
            refuse(connection, "Retry-After: 30\r\n");
        });
        ScriptedServer other(m_loop, [](ServerConnection &connection, const Request &) {
            refuse(connection, "Retry-After: 2\r\n");
        });
        addServer(one, "e0");
        addServer(other, "e1");
        const TimePoint start = now();
        for (const char *path : {"/once/", "/again/", "/stream/"}) {
            const auto response = call(path);
            CPPUNIT_ASSERT_EQUAL(503U, response.head.status);
            const double retryAfter = std::stod(std::string(response.head.valueOf("Retry-After")));
            const double passed = static_cast<double>((now() - start).count()) / 1e6;
            CPPUNIT_ASSERT(retryAfter > 1.95 - passed && retryAfter < 2.5);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), one.requestCount() + other.requestCount());
    }

    void routerFrozenDuringPauseKeepsItForRequestsInSockets()
    {
        ScriptedServer server(m_loop, pausingOnce("2"));
        addServer(server, "e0");
        call("/once/");
        for (const auto &response : callFrozen(milliseconds(800))) {
            CPPUNIT_ASSERT_EQUAL(503U, response.head.status);
            const double retryAfter = std::stod(std::string(response.head.valueOf("Retry-After")));
            CPPUNIT_ASSERT(retryAfter <= 2.0 - 0.8 + 0.3); // Rest of the pause and the spread.
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requestCount());
    }

    void routerFrozenPastPauseServesRequestsInSockets()
    {
        ScriptedServer server(m_loop, pausingOnce("0.5"));
        addServer(server, "e0");
        call("/once/");
        for (const auto &response : callFrozen(milliseconds(800)))
            CPPUNIT_ASSERT_EQUAL(200U, response.head.status);
        CPPUNIT_ASSERT_EQUAL(1 + kFrozenCalls, server.requestCount());
    }

    void callerWithLessTimeLeftGetsShorterRetryAfter()
    {
        ScriptedServer server(m_loop, [](ServerConnection &connection, const Request &) {
            refuse(connection, "Retry-After: 1\r\n");
        });
        addServer(server, "e0");
        call("/once/");
        const auto retryAfterFor = [&](const std::string &deadlineMs) {
            const auto response = call("/once/", "X-Deadline-Ms: " + deadlineMs + "\r\n");
            return std::stod(std::string(response.head.valueOf("Retry-After")));
        };
        // The second call is later, so the pause itself is shorter by then.
        const double shortDeadlineRetryAfter = retryAfterFor("1500");
        CPPUNIT_ASSERT(shortDeadlineRetryAfter + 0.1 < retryAfterFor("4900"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requestCount());
    }

private:
    static constexpr std::size_t kFrozenCalls = 4;

    /// Refuses the first request with a pause of the given seconds and answers all others.
    static ServerConnection::Script pausingOnce(const std::string &seconds)
    {
        return [seconds, isFirst = true](ServerConnection &connection,
                                         const Request &request) mutable {
            if (std::exchange(isFirst, false))
                refuse(connection, "Retry-After: " + seconds + "\r\n");
            else
                connection.answer(request, "ran");
        };
    }

    /// Sends requests that wait in the router's sockets while its event loop stands still for the
    /// given time, and returns their answers.
    std::vector<RawCaller::Response> callFrozen(Duration time)
    {
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (std::size_t count = 0; count < kFrozenCalls; ++count) {
            callers.push_back(std::make_unique<RawCaller>(m_loop, m_listener.port()));
            callers.back()->send(requestTo("/again/"));
        }
        std::this_thread::sleep_for(time);
        std::vector<RawCaller::Response> responses;
        for (const auto &caller : callers) {
            CPPUNIT_ASSERT(runUntil(m_loop, [&] {
                auto response = caller->takeResponse();
                if (response)
                    responses.push_back(std::move(*response));
                return response.has_value();
            }));
        }
        return responses;
    }

    static ServerConnection::Script leavingScript()
    {
        return [](ServerConnection &connection, const Request &request) {
            connection.answer(request, "ran", kLeavingHeader);
        };
    }

    /// Checks that after one answer by `script` all requests go to another server.
    void checkNoNewRequests(const std::string &path, const ServerConnection::Script &script)
    {
        ScriptedServer leaving(m_loop, script);
        addServer(leaving, "e0");
        call(path);
        ScriptedServer staying(m_loop, [](ServerConnection &connection, const Request &request) {
            connection.answer(request, "ran");
        });
        addServer(staying, "e1");
        for (int count = 0; count < 8; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, call(path).head.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), leaving.requestCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), staying.requestCount());
    }

    /// Checks that a server that refuses with this Retry-After value gets no request until `pause`
    /// has passed, and then gets requests again.
    void checkPause(const std::string &value, Duration pause)
    {
        bool isFull = true;
        ScriptedServer pausing(m_loop, [&](ServerConnection &connection, const Request &request) {
            if (isFull)
                refuse(connection, "Retry-After: " + value + "\r\n");
            else
                connection.answer(request, "ran");
        });
        addServer(pausing, "e0");
        call("/once/");
        const TimePoint pausedAt = now();
        isFull = false;
        ScriptedServer other(m_loop, [](ServerConnection &connection, const Request &request) {
            connection.answer(request, "ran");
        });
        addServer(other, "e1");
        while (now() < pausedAt + pause - milliseconds(50)) {
            CPPUNIT_ASSERT_EQUAL(200U, call("/once/").head.status);
            runFor(m_loop, milliseconds(20));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pausing.requestCount());
        m_dispatcher.replicas().remove(BackendId("e1"), now(), now());
        runFor(m_loop, milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(200U, call("/once/").head.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pausing.requestCount());
    }

    RawCaller::Response call(const std::string &path, const std::string &fields = {})
    {
        return sendAndReceive(requestTo(path, fields));
    }

    std::string requestTo(const std::string &path, const std::string &fields = {})
    {
        return "GET " + path + "x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q"
            + std::to_string(++m_lastRequestId) + "\r\n" + fields + "\r\n";
    }

    std::uint64_t m_lastRequestId = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerNoticesTest);
