// Streams that end inside an event, and what the next server answers after a stream broke off.
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "onerouter.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

using Request = ServerConnection::Request;

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) + "\n\n";
}

const std::string kTornEvent = "id: 3\ndata: tok";

std::string statusLine(unsigned status)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n";
}

std::string chunked(const std::string &text)
{
    char size[17];
    std::snprintf(size, sizeof size, "%zx", text.size());
    return std::string(size) + "\r\n" + text + "\r\n0\r\n\r\n";
}

} // namespace

class BrokenStreamTest : public CppUnit::TestFixture, protected OneRouter
{
    CPPUNIT_TEST_SUITE(BrokenStreamTest);
    CPPUNIT_TEST(streamThatEndsInsideAnEventWithItsConnectionIsVisiblyTruncated);
    CPPUNIT_TEST(chunkedStreamThatEndsInsideAnEventIsVisiblyTruncated);
    CPPUNIT_TEST(streamWithLengthThatEndsInsideAnEventIsVisiblyTruncated);
    CPPUNIT_TEST(streamThatEndsBetweenEventsIsWholeInEachFraming);
    CPPUNIT_TEST(resumableStreamThatEndsInsideAnEventContinuesAtAnotherServer);
    CPPUNIT_TEST(errorAfterABegunStreamNeverReachesTheCaller);
    CPPUNIT_TEST(wholeAnswerAfterABegunStreamNeverReachesTheCaller);
    CPPUNIT_TEST(streamResumedFromAnotherEventIsNotJoined);
    CPPUNIT_TEST(begunStreamWithoutEventIdsIsNotStartedOver);
    CPPUNIT_TEST_SUITE_END();

public:
    BrokenStreamTest() : OneRouter(settings()) { }

    void setUp() override
    {
        FleetConfig config;
        config.version = 1;
        for (const bool canResume : {false, true}) {
            Route route;
            route.name = route.pathPrefix = canResume ? "/resume/" : "/stream/";
            route.host = "a.example";
            route.kind = RouteKind::Stream;
            route.canResume = canResume;
            route.timeout = milliseconds(3000);
            route.maxAttempts = canResume ? 2 : 1;
            route.targets = {{ServiceName("s"), 1}};
            config.routes.push_back(route);
        }
        m_dispatcher.apply(std::move(config));
        CPPUNIT_ASSERT(m_listener.listen("127.0.0.1:0"));
    }

    void streamThatEndsInsideAnEventWithItsConnectionIsVisiblyTruncated()
    {
        checkTruncated("/stream/", {{"", event(1) + event(2) + kTornEvent, true}});
    }

    void chunkedStreamThatEndsInsideAnEventIsVisiblyTruncated()
    {
        checkTruncated(
            "/stream/",
            {{"Transfer-Encoding: chunked\r\n", chunked(event(1) + event(2) + kTornEvent), false}});
    }

    void streamWithLengthThatEndsInsideAnEventIsVisiblyTruncated()
    {
        checkTruncated("/stream/", {withLength(event(1) + event(2) + kTornEvent)});
    }

    void streamThatEndsBetweenEventsIsWholeInEachFraming()
    {
        const std::string events = event(1) + event(2);
        const std::string crlfEvents = "id: 1\r\ndata: a\r\n\r\n";
        for (const std::string path : {"/stream/", "/resume/"}) {
            for (const std::string &body : {events, crlfEvents, events + "\n", std::string()}) {
                for (const Answer &answer :
                     {Answer{"", body, true},
                      Answer{"Transfer-Encoding: chunked\r\n",
                             body.empty() ? "0\r\n\r\n" : chunked(body), false},
                      withLength(body)}) {
                    const auto response = exchange(path, {answer});
                    CPPUNIT_ASSERT_MESSAGE(path + answer.fields, response.whole);
                    CPPUNIT_ASSERT_EQUAL(body, response.body);
                }
            }
        }
    }

    void resumableStreamThatEndsInsideAnEventContinuesAtAnotherServer()
    {
        for (const Answer &first : {Answer{"", event(1) + event(2) + kTornEvent, true},
                                    Answer{"Transfer-Encoding: chunked\r\n",
                                           chunked(event(1) + event(2) + kTornEvent), false},
                                    withLength(event(1) + event(2) + kTornEvent)}) {
            const auto response = exchange("/resume/", {first, {"", event(3) + event(4), true}});
            CPPUNIT_ASSERT_MESSAGE(first.fields, response.whole);
            CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3) + event(4), response.body);
            CPPUNIT_ASSERT_EQUAL(std::string("2"), m_lastEventIds.back());
        }
    }

    void errorAfterABegunStreamNeverReachesTheCaller()
    {
        for (const unsigned status : {400U, 404U, 429U, 500U, 503U}) {
            for (const std::string fields : {"", "X-Not-Executed: 1\r\n"}) {
                Answer error = withLength("error text of the server");
                error.status = status;
                error.fields += fields;
                checkTruncated("/resume/", {{"", event(1) + event(2) + kTornEvent, true}, error});
            }
        }
    }

    void wholeAnswerAfterABegunStreamNeverReachesTheCaller()
    {
        Answer whole = withLength("{\"text\":\"the whole answer\"}\n\n");
        whole.contentType = "application/json";
        checkTruncated("/resume/", {{"", event(1) + event(2) + kTornEvent, true}, whole});
        checkTruncated(
            "/resume/",
            {{"", event(1) + event(2) + kTornEvent, true}, withLength("text of no event\n\n")});
        whole.status = 201;
        checkTruncated("/resume/", {{"", event(1) + event(2) + kTornEvent, true}, whole});
    }

    void streamResumedFromAnotherEventIsNotJoined()
    {
        const Answer broken{"", event(1) + event(2) + kTornEvent, true};
        checkTruncated("/resume/", {broken, {"", event(1) + event(2) + event(3), true}});
        checkTruncated("/resume/", {broken, {"", event(2) + event(3), true}});
        checkTruncated("/resume/", {broken, {"", event(5) + event(6), true}});
        checkTruncated("/resume/", {broken, {"", "data: no id\n\n", true}});
    }

    void begunStreamWithoutEventIdsIsNotStartedOver()
    {
        const std::string events = "data: a\n\ndata: b\n\n";
        const auto response = exchange("/resume/", {{"", events + "data: c", true}});
        CPPUNIT_ASSERT(!response.whole);
        CPPUNIT_ASSERT_EQUAL(events, response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_attempts);
    }

private:
    /// Every exchange of a test may retry.
    static DispatcherSettings settings()
    {
        DispatcherSettings result;
        result.retries.extraRetries = 1000;
        return result;
    }

    struct Answer
    {
        std::string fields;
        std::string body; ///< As framed on the wire.
        bool endsWithConnection = false;
        unsigned status = 200;
        std::string contentType = "text/event-stream";
    };

    /// What the caller received.
    struct Received
    {
        bool whole = false; ///< A complete response.
        std::string body;   ///< Without its framing.
    };

    static Answer withLength(const std::string &body)
    {
        Answer answer;
        answer.fields = "Content-Length: " + std::to_string(body.size()) + "\r\n";
        answer.body = body;
        return answer;
    }

    /// Sends a request whose attempts get `answers` in turn.
    Received exchange(const std::string &path, std::deque<Answer> answers)
    {
        const std::size_t expectedAttempts = answers.size();
        const std::size_t attemptsBefore = m_lastEventIds.size();
        const auto script = [&](ServerConnection &connection, const Request &request) {
            m_lastEventIds.emplace_back(request.head.valueOf("Last-Event-Id"));
            if (answers.empty()) {
                connection.close();
                return;
            }
            const Answer answer = answers.front();
            answers.pop_front();
            connection.write(statusLine(answer.status) + "X-Response-Signature: s\r\nX-Request-Id: "
                             + std::string(request.head.valueOf("X-Request-Id")) + "\r\n"
                             + "Content-Type: " + answer.contentType + "\r\n" + answer.fields
                             + "\r\n" + answer.body);
            if (answer.endsWithConnection)
                connection.close();
        };
        std::vector<std::unique_ptr<ScriptedServer>> servers;
        for (int index = 0; index < 3; ++index) {
            servers.push_back(std::make_unique<ScriptedServer>(m_loop, script));
            ReplicaRecord record = recordOf(*servers.back(), "e" + std::to_string(index));
            record.startedAtMs = ++m_starts;
            m_dispatcher.replicas().put(record, now());
        }
        RawCaller caller(m_loop, m_listener.port());
        caller.send("GET " + path + "x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q"
                    + std::to_string(++m_requests) + "\r\n\r\n");
        std::optional<RawCaller::Response> response;
        CPPUNIT_ASSERT(runUntil(m_loop, [&] {
            if (!response)
                response = caller.takeResponse();
            return response || caller.isClosed();
        }));
        m_attempts = m_lastEventIds.size() - attemptsBefore;
        CPPUNIT_ASSERT(m_attempts >= expectedAttempts);
        if (response)
            return {true, response->body};
        return {false, bodyOfChunks(caller.received())};
    }

    /// The bytes in the chunks that arrived.
    static std::string bodyOfChunks(const std::string &received)
    {
        ResponseParser parser(16384, 1 << 20);
        parser.feed(received);
        return parser.hasHead() ? parser.takeBody() : std::string();
    }

    void checkTruncated(const std::string &path, const std::deque<Answer> &answers)
    {
        const auto response = exchange(path, answers);
        CPPUNIT_ASSERT_MESSAGE("the response looks complete: " + response.body, !response.whole);
        const std::string begin = event(1) + event(2);
        CPPUNIT_ASSERT_EQUAL(begin, response.body.substr(0, begin.size()));
        CPPUNIT_ASSERT_MESSAGE("foreign bytes in the stream: " + response.body,
                               (begin + kTornEvent).compare(0, response.body.size(), response.body)
                                   == 0);
    }

    std::vector<std::string> m_lastEventIds; ///< Of the attempts' requests.
    std::size_t m_attempts = 0;              ///< Of the latest exchange.
    std::uint64_t m_starts = 0;
    int m_requests = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenStreamTest);
