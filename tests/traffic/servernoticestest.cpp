// What a server says of itself in its answers: that it leaves, and that it wants nothing for a
// while.
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

const std::string kLeaving = "Server-Leaving: 1\r\n";

void refuse(ServerConnection &connection, const std::string &fields)
{
    connection.write("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n" + fields
                     + "Content-Length: 0\r\n\r\n");
}

} // namespace

class ServerNoticesTest : public CppUnit::TestFixture, protected OneRouter
{
    CPPUNIT_TEST_SUITE(ServerNoticesTest);
    CPPUNIT_TEST(serverThatSaysSoInASuccessGetsNothingNew);
    CPPUNIT_TEST(serverThatSaysSoInAFailureGetsNothingNew);
    CPPUNIT_TEST(serverThatSaysSoInARefusalGetsNothingNew);
    CPPUNIT_TEST(serverThatSaysSoInAStreamsHeadGetsNothingNew);
    CPPUNIT_TEST(serverThatSaysSoInADiscardedAnswerGetsNothingNew);
    CPPUNIT_TEST(listDoesNotUndoTheServersWord);
    CPPUNIT_TEST(laterStartOfTheServerIsNotLeaving);
    CPPUNIT_TEST(serverThatLeavesIsNotTheLastChoice);
    CPPUNIT_TEST(wordOfLeavingDoesNotReachCallers);
    CPPUNIT_TEST(otherRoutersHearThatTheServerLeaves);
    CPPUNIT_TEST(pausedServerGetsNothingUntilItsPauseEnds);
    CPPUNIT_TEST(pauseWithFractionsOfASecondIsKept);
    CPPUNIT_TEST(routerThatWasFrozenInAPauseKeepsItForWhatWaitedInItsSockets);
    CPPUNIT_TEST(routerThatWasFrozenPastAPauseServesWhatWaitedInItsSockets);
    CPPUNIT_TEST(valuesThatAreNoSecondsArePlainRefusals);
    CPPUNIT_TEST(callerHearsAtOnceWhenTheFirstServerTakesWorkAgain);
    CPPUNIT_TEST(callersWithLessTimeLeftComeBackFirst);
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

    void serverThatSaysSoInASuccessGetsNothingNew()
    {
        checkNothingNew("/once/", [](ServerConnection &connection, const Request &request) {
            connection.answer(request, "ran", kLeaving);
        });
    }

    void serverThatSaysSoInAFailureGetsNothingNew()
    {
        checkNothingNew("/once/", [](ServerConnection &connection, const Request &request) {
            connection.answer(request, "broken inside", kLeaving, 500);
        });
    }

    void serverThatSaysSoInARefusalGetsNothingNew()
    {
        checkNothingNew("/once/", [](ServerConnection &connection, const Request &) {
            refuse(connection, kLeaving);
        });
    }

    void serverThatSaysSoInAStreamsHeadGetsNothingNew()
    {
        checkNothingNew("/stream/", [](ServerConnection &connection, const Request &request) {
            connection.answer(request, "id: 1\ndata: x\n\n", kLeaving);
        });
    }

    void serverThatSaysSoInADiscardedAnswerGetsNothingNew()
    {
        checkNothingNew("/once/", [](ServerConnection &connection, const Request &request) {
            connection.write("HTTP/1.1 200 X\r\nX-Request-Id: other\r\nX-Response-Signature: s\r\n"
                             + kLeaving + "Content-Length: 0\r\n\r\n");
            connection.answer(request, "ran");
        });
    }

    void listDoesNotUndoTheServersWord()
    {
        ScriptedServer server(m_loop, leavingServer());
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

    void laterStartOfTheServerIsNotLeaving()
    {
        ScriptedServer server(m_loop, leavingServer());
        addServer(server, "e0");
        call("/once/");
        ReplicaRecord record = recordOf(server, "e0");
        record.startedAtMs = 2;
        m_dispatcher.replicas().put(record, now());
        CPPUNIT_ASSERT_EQUAL(200U, call("/once/").head.status);
    }

    void serverThatLeavesIsNotTheLastChoice()
    {
        ScriptedServer server(m_loop, leavingServer());
        addServer(server, "e0");
        call("/once/");
        for (const char *path : {"/once/", "/again/", "/stream/"})
            CPPUNIT_ASSERT_EQUAL(503U, call(path).head.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requestCount());
    }

    void wordOfLeavingDoesNotReachCallers()
    {
        for (const char *path : {"/once/", "/stream/"}) {
            ScriptedServer server(m_loop, leavingServer());
            addServer(server, path);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), call(path).head.count("Server-Leaving"));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requestCount());
        }
    }

    void otherRoutersHearThatTheServerLeaves()
    {
        CrashingFleet fleet(m_loop, 3, 2, milliseconds(800));
        fleet.leave(0);
        std::size_t round = 0;
        while (fleet.requestsAt(0) == 0) {
            fleet.send(0, "/once/", "word " + std::to_string(++round));
            CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        }
        fleet.run(milliseconds(300));
        for (std::size_t count = 0; count < 24; ++count)
            fleet.send(count % 3, "/once/", "later");
        CPPUNIT_ASSERT(fleet.runUntilDone([&] { return fleet.openCalls() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.requestsAt(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(24), fleet.statuses("later").size());
    }

    void pausedServerGetsNothingUntilItsPauseEnds() { checkPause("1", milliseconds(1000)); }
    void pauseWithFractionsOfASecondIsKept() { checkPause("0.45", milliseconds(450)); }

    void valuesThatAreNoSecondsArePlainRefusals()
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

    void callerHearsAtOnceWhenTheFirstServerTakesWorkAgain()
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
            const double after = std::stod(std::string(response.head.valueOf("Retry-After")));
            const double passed = static_cast<double>((now() - start).count()) / 1e6;
            CPPUNIT_ASSERT(after > 1.95 - passed && after < 2.5);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), one.requestCount() + other.requestCount());
    }

    void routerThatWasFrozenInAPauseKeepsItForWhatWaitedInItsSockets()
    {
        ScriptedServer server(m_loop, pausingOnce("2"));
        addServer(server, "e0");
        call("/once/");
        for (const auto &response : callFrozen(milliseconds(800))) {
            CPPUNIT_ASSERT_EQUAL(503U, response.head.status);
            const double after = std::stod(std::string(response.head.valueOf("Retry-After")));
            CPPUNIT_ASSERT(after <= 2.0 - 0.8 + 0.3); // What is left of the pause, and the spread.
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requestCount());
    }

    void routerThatWasFrozenPastAPauseServesWhatWaitedInItsSockets()
    {
        ScriptedServer server(m_loop, pausingOnce("0.5"));
        addServer(server, "e0");
        call("/once/");
        for (const auto &response : callFrozen(milliseconds(800)))
            CPPUNIT_ASSERT_EQUAL(200U, response.head.status);
        CPPUNIT_ASSERT_EQUAL(1 + kFrozenCalls, server.requestCount());
    }

    void callersWithLessTimeLeftComeBackFirst()
    {
        ScriptedServer server(m_loop, [](ServerConnection &connection, const Request &) {
            refuse(connection, "Retry-After: 1\r\n");
        });
        addServer(server, "e0");
        call("/once/");
        const auto afterOf = [&](const std::string &patience) {
            const auto response = call("/once/", "X-Deadline-Ms: " + patience + "\r\n");
            return std::stod(std::string(response.head.valueOf("Retry-After")));
        };
        // Asked later, so the pause itself is shorter by then.
        const double hurried = afterOf("1500");
        CPPUNIT_ASSERT(hurried + 0.1 < afterOf("4900"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requestCount());
    }

private:
    static constexpr std::size_t kFrozenCalls = 4;

    /// Turns the first request away for so many seconds and answers all others.
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

    /// Requests that reach the router's sockets while it stands still for that long.
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

    static ServerConnection::Script leavingServer()
    {
        return [](ServerConnection &connection, const Request &request) {
            connection.answer(request, "ran", kLeaving);
        };
    }

    /// After one answer by `script`, requests go to a server that stays.
    void checkNothingNew(const std::string &path, const ServerConnection::Script &script)
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
            + std::to_string(++m_ids) + "\r\n" + fields + "\r\n";
    }

    std::uint64_t m_ids = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerNoticesTest);
