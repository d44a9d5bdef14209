// Servers that answer a long upload early and without a length, and break the connection while the
// upload is still being written. What came of such an answer must not look complete.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/steady_timer.hpp>

#include "onerouter.h"
#include "traffic/httpcall.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

using Request = ServerConnection::Request;

/// More than the sockets of a connection hold on loopback.
constexpr std::size_t kUploadBytes = std::size_t{12} << 20;
constexpr std::size_t kSmallPart = 2000;
constexpr std::size_t kStreamedPart = 400000; ///< More than is buffered.
constexpr Duration kWaitBeforeBreak = milliseconds(60);

/// How a server breaks off after the part of its answer.
enum class Break : std::uint8_t {
    ResetAtOnce,
    ResetLater,
    CloseAtOnce, ///< With unread bytes, so the kernel resets the connection.
    CloseLater,
    EndThenReset, ///< Ends its side cleanly, reads no more and resets later.
};

const std::vector<Break> kBreaks = {Break::ResetAtOnce, Break::ResetLater, Break::CloseAtOnce,
                                    Break::CloseLater, Break::EndThenReset};

std::string headWithoutLength(const Request &request)
{
    return "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: "
        + std::string(request.head.valueOf("X-Request-Id")) + "\r\n\r\n";
}

} // namespace

class BrokenUploadTest : public CppUnit::TestFixture, private OneRouter
{
    CPPUNIT_TEST_SUITE(BrokenUploadTest);
    CPPUNIT_TEST(partOfAnAnswerBeforeAResetIsNoAnswer);
    CPPUNIT_TEST(partOfALongAnswerBeforeAResetIsVisiblyTruncated);
    CPPUNIT_TEST(partOfAStreamBeforeAResetIsVisiblyTruncated);
    CPPUNIT_TEST(callGetsNoAnswerFromAPartBeforeAReset);
    CPPUNIT_TEST(wholeAnswerWithALengthBeforeAResetIsDelivered);
    CPPUNIT_TEST(wholeAnswerIsDeliveredIfTheServerReadsOn);
    CPPUNIT_TEST(wholeAnswerAfterTheUploadIsDelivered);
    CPPUNIT_TEST(partBeforeAResetIsNoAnswerWhileMoreOfTheRequestWaits);
    CPPUNIT_TEST(connectionWhoseUploadBrokeIsNotReused);
    CPPUNIT_TEST(callerOfTestsTakesNoPartBeforeAResetForAnAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        CallerLimits limits;
        limits.maxBodyBytes = 2 * kUploadBytes;
        listenWithARouteOfEachKind(milliseconds(10000), limits);
    }

    void partOfAnAnswerBeforeAResetIsNoAnswer()
    {
        for (const std::string path : {"/once/", "/again/"}) {
            for (const Break how : kBreaks) {
                ScriptedServer server(m_loop, partThenBreak(std::string(kSmallPart, 'p'), how));
                const auto response = upload(server, path);
                CPPUNIT_ASSERT(response);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(what(path, how), 502U, response->head.status);
            }
        }
    }

    void partOfALongAnswerBeforeAResetIsVisiblyTruncated()
    {
        for (const std::string path : {"/once/", "/again/"}) {
            for (const Break how : kBreaks) {
                ScriptedServer server(m_loop, partThenBreak(std::string(kStreamedPart, 'p'), how));
                const auto response = upload(server, path);
                CPPUNIT_ASSERT_MESSAGE(what(path, how), !response || response->head.status == 502);
            }
        }
    }

    void partOfAStreamBeforeAResetIsVisiblyTruncated()
    {
        for (const Break how : kBreaks) {
            ScriptedServer server(m_loop, partThenBreak("id: 1\ndata: a\n\n", how));
            const auto response = upload(server, "/stream/");
            CPPUNIT_ASSERT_MESSAGE(what("/stream/", how),
                                   !response || response->head.status == 502);
        }
    }

    void callGetsNoAnswerFromAPartBeforeAReset()
    {
        for (const Break how : kBreaks) {
            ScriptedServer server(m_loop, partThenBreak(std::string(kSmallPart, 'p'), how));
            server.actOnHeads();
            HttpCaller caller(m_loop, {milliseconds(1000), milliseconds(3000), 16384}, now);
            HttpCaller::Call call;
            call.to = {boost::asio::ip::address_v4::loopback(), server.port()};
            call.method = "POST";
            call.target = "/";
            call.body = std::string(kUploadBytes, 'x');
            call.timeout = milliseconds(5000);
            std::optional<CallAnswer> answer;
            caller.start(std::move(call), [&](CallAnswer given) { answer = std::move(given); });
            CPPUNIT_ASSERT(runUntil(m_loop, [&] { return answer.has_value(); }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what("call", how), 0U, answer->status);
            CPPUNIT_ASSERT_EQUAL(std::string("connection broke"), answer->problem);
            CPPUNIT_ASSERT(answer->wasSent);
        }
    }

    void wholeAnswerWithALengthBeforeAResetIsDelivered()
    {
        for (const Break how : {Break::ResetLater, Break::CloseLater}) {
            ScriptedServer server(m_loop,
                                  [&](ServerConnection &connection, const Request &request) {
                                      connection.stopReading();
                                      connection.answer(request, "whole");
                                      breakOff(connection, how);
                                  });
            const auto response = upload(server, "/once/");
            CPPUNIT_ASSERT(response);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what("/once/", how), 200U, response->head.status);
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), response->body);
        }
    }

    void wholeAnswerIsDeliveredIfTheServerReadsOn()
    {
        for (const std::string path : {"/once/", "/again/", "/stream/"}) {
            ScriptedServer server(m_loop, [](ServerConnection &connection, const Request &request) {
                connection.write(headWithoutLength(request) + "id: 1\ndata: a\n\n");
                connection.closeSendingSide();
            });
            const auto response = upload(server, path);
            CPPUNIT_ASSERT_MESSAGE(path, response);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 200U, response->head.status);
            CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), response->body);
        }
    }

    void wholeAnswerAfterTheUploadIsDelivered()
    {
        for (const std::string path : {"/once/", "/again/", "/stream/"}) {
            ScriptedServer server(m_loop, [](ServerConnection &connection, const Request &request) {
                connection.write(headWithoutLength(request) + std::to_string(request.body.size())
                                 + "\n\n");
                connection.close();
            });
            const auto response = upload(server, path, false);
            CPPUNIT_ASSERT_MESSAGE(path, response);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 200U, response->head.status);
            CPPUNIT_ASSERT_EQUAL(std::to_string(kUploadBytes) + "\n\n", response->body);
        }
    }

    /// The first write of the request is not done when the next one is added.
    void partBeforeAResetIsNoAnswerWhileMoreOfTheRequestWaits()
    {
        const std::string rest(kStreamedPart, 'y');
        ScriptedServer server(m_loop, partThenBreak("part", Break::EndThenReset));
        server.actOnHeads();
        const BackendPool::Connection connection =
            m_pool.take("e0", {boost::asio::ip::address_v4::loopback(), server.port()}, now());
        KeptAnswer answer(*connection);
        connection->send("POST /1 HTTP/1.1\r\nX-Request-Id: r1\r\nContent-Length: "
                             + std::to_string(kUploadBytes + rest.size()) + "\r\n\r\n"
                             + std::string(kUploadBytes, 'x'),
                         std::make_shared<const std::string>(rest), false, &answer);
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return answer.hasEnded; }));
        CPPUNIT_ASSERT(answer.isBroken);
    }

    void connectionWhoseUploadBrokeIsNotReused()
    {
        ScriptedServer server(m_loop, [&](ServerConnection &connection, const Request &request) {
            connection.stopReading();
            connection.answer(request, "early");
            breakOff(connection, Break::ResetLater);
        });
        // The answer is read only after the reset has ended the write.
        const BackendPool::Connection connection =
            m_pool.take("e0", {boost::asio::ip::address_v4::loopback(), server.port()}, now());
        server.actOnHeads();
        KeptAnswer answer(*connection);
        connection->send("POST /1 HTTP/1.1\r\nX-Request-Id: r1\r\nContent-Length: "
                             + std::to_string(kUploadBytes) + "\r\n\r\n",
                         std::make_shared<const std::string>(kUploadBytes, 'x'), false, &answer);
        connection->setPaused(true);
        runFor(m_loop, 4 * kWaitBeforeBreak);
        connection->setPaused(false);
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return answer.hasEnded; }));
        CPPUNIT_ASSERT_EQUAL(std::string("early"), answer.body);
        CPPUNIT_ASSERT(!answer.wasReusable);
    }

    /// A stand-in that misses a reset would hide such a fault of the router.
    void callerOfTestsTakesNoPartBeforeAResetForAnAnswer()
    {
        RawCaller *sender = nullptr;
        ScriptedServer server(m_loop, [&](ServerConnection &connection, const Request &request) {
            connection.write(headWithoutLength(request) + "part");
            connection.reset();
            sender->send("more"); // The write meets the reset.
        });
        RawCaller caller(m_loop, server.port());
        sender = &caller;
        caller.send("GET / HTTP/1.1\r\nX-Request-Id: r1\r\n\r\n");
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return caller.isClosed(); }));
        CPPUNIT_ASSERT(!caller.takeResponse());
    }

private:
    /// Keeps an answer, and whether its connection could be used again when it ended.
    class KeptAnswer : public BackendListener
    {
    public:
        explicit KeptAnswer(const BackendConnection &connection) : m_connection(connection) { }
        bool acceptsHead(const HttpHead &) override { return true; }
        void onHead(HttpHead &) override { }
        void onBody(std::string_view bytes) override { body.append(bytes); }
        void onEnd() override
        {
            hasEnded = true;
            wasReusable = m_connection.isReusable();
        }
        void onBroken(BreakKind) override { hasEnded = isBroken = true; }

        std::string body;
        bool hasEnded = false;
        bool isBroken = false;
        bool wasReusable = false;

    private:
        const BackendConnection &m_connection;
    };

    static std::string what(const std::string &path, Break how)
    {
        return path + ", break " + std::to_string(static_cast<int>(how));
    }

    void breakOff(ServerConnection &connection, Break how)
    {
        const bool isReset = how != Break::CloseAtOnce && how != Break::CloseLater;
        if (how == Break::EndThenReset)
            connection.closeSendingSide();
        const auto end = [isReset, kept = connection.shared_from_this()] {
            isReset ? kept->reset() : kept->close();
        };
        if (how == Break::ResetAtOnce || how == Break::CloseAtOnce) {
            end();
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(
            m_loop,
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(kWaitBeforeBreak));
        timer->async_wait([timer, end](const boost::system::error_code &) { end(); });
    }

    ServerConnection::Script partThenBreak(const std::string &part, Break how)
    {
        return [this, part, how](ServerConnection &connection, const Request &request) {
            connection.stopReading();
            connection.write(headWithoutLength(request) + part);
            breakOff(connection, how);
        };
    }

    /// What a caller gets for an upload; nothing if its answer does not end properly.
    std::optional<RawCaller::Response> upload(ScriptedServer &server, const std::string &path,
                                              bool isAnsweredEarly = true)
    {
        if (isAnsweredEarly)
            server.actOnHeads();
        ReplicaRecord record = recordOf(server, "e0");
        record.startedAtMs = ++m_starts;
        m_dispatcher.replicas().put(record, now());
        RawCaller caller(m_loop, m_listener.port());
        // Each request has a path of its own, or it would count as one that crashes its servers.
        caller.sendInBackground("POST " + path + std::to_string(m_starts)
                                + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n"
                                  "Content-Length: "
                                + std::to_string(kUploadBytes) + "\r\n\r\n"
                                + std::string(kUploadBytes, 'x'));
        std::optional<RawCaller::Response> response;
        CPPUNIT_ASSERT(runUntil(m_loop, [&] {
            if (!response)
                response = caller.takeResponse();
            return response || caller.isClosed();
        }));
        return response ? response : caller.takeResponse();
    }

    std::uint64_t m_starts = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenUploadTest);
