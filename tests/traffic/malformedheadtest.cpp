// Heads of answers that are no HTTP: statuses outside the range, lines that are no field, bodies of
// interim answers; and trailers, which are no part of a head. No caller may get any part of a
// malformed answer, nor may a call of this process.
#include <cppunit/extensions/HelperMacros.h>

#include <initializer_list>
#include <string_view>

#include "onerouter.h"
#include "traffic/httpcall.h"

using namespace comfrey;
using namespace comfrey::loopback;

namespace {

using Request = ServerConnection::Request;

const std::string kOwnFields = "X-Request-Id: r1\r\nX-Response-Signature: s\r\n";
const std::string kSoundAnswer =
    "HTTP/1.1 200 OK\r\n" + kOwnFields + "Content-Length: 5\r\n\r\nwhole";

/// The framings of a body "forged".
const std::vector<std::string> kFramedBodies = {
    "Content-Length: 6\r\n\r\nforged", "Transfer-Encoding: chunked\r\n\r\n6\r\nforged\r\n0\r\n\r\n",
    "\r\nforged", "Content-Length: 0\r\n\r\n"};

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts)
        text += part;
    return text;
}

/// Lines whose name has `invalid` inside it, at its end or at its start.
std::vector<std::string> linesWith(char invalid)
{
    const std::string text(1, invalid);
    std::vector<std::string> lines = {"X-Sta" + text + "ge: v", "X-Stage" + text + ": v"};
    if (invalid != ' ' && invalid != '\t') // A folded line otherwise.
        lines.push_back(text + "X-Stage: v");
    return lines;
}

} // namespace

class MalformedHeadTest : public CppUnit::TestFixture, private OneRouter
{
    CPPUNIT_TEST_SUITE(MalformedHeadTest);
    CPPUNIT_TEST(statusOutsideTheRangeIsNoAnswer);
    CPPUNIT_TEST(statusOutsideTheRangeIsNoInterimAnswer);
    CPPUNIT_TEST(switchOfProtocolsThatNobodyAskedForIsNoInterimAnswer);
    CPPUNIT_TEST(bodyOfAnInterimAnswerIsNoPartOfTheAnswer);
    CPPUNIT_TEST(soundInterimAnswersAreSkipped);
    CPPUNIT_TEST(invalidByteInTheNameOfAFieldIsNoAnswer);
    CPPUNIT_TEST(foldedLineIsNoAnswer);
    CPPUNIT_TEST(foldedLineSplitAnywhereIsRefused);
    CPPUNIT_TEST(blankAtTheStartOfABodyLineIsNoFold);
    CPPUNIT_TEST(callGetsNoAnswerFromAMalformedHead);
    CPPUNIT_TEST(trailerIsNoPartOfTheHead);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listenWithARouteOfEachKind(milliseconds(5000)); }

    void statusOutsideTheRangeIsNoAnswer()
    {
        for (const std::string status : {"000", "001", "099", "600", "999"}) {
            for (const std::string &body : kFramedBodies)
                checkRefused(joined({"HTTP/1.1 ", status, " X\r\n", kOwnFields, body}), true);
        }
    }

    void statusOutsideTheRangeIsNoInterimAnswer()
    {
        for (const std::string status : {"000", "001", "099", "600", "999"}) {
            for (const std::string &body : kFramedBodies)
                checkRefused(
                    joined({"HTTP/1.1 ", status, " X\r\n", kOwnFields, body, kSoundAnswer}), false);
        }
    }

    void switchOfProtocolsThatNobodyAskedForIsNoInterimAnswer()
    {
        checkRefused("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + kSoundAnswer,
                     false);
    }

    void bodyOfAnInterimAnswerIsNoPartOfTheAnswer()
    {
        for (const std::string status : {"100", "103"}) {
            for (const std::string body :
                 {"Content-Length: 6\r\n\r\nforged",
                  "Transfer-Encoding: chunked\r\n\r\n6\r\nforged\r\n0\r\n\r\n"})
                checkRefused(joined({"HTTP/1.1 ", status, " X\r\n", body, kSoundAnswer}), false);
        }
    }

    void soundInterimAnswersAreSkipped()
    {
        const RawCaller::Response response = answerTo(
            "/once/x",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n" + kSoundAnswer);
        CPPUNIT_ASSERT_EQUAL(200U, response.head.status);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.body);
        CPPUNIT_ASSERT(!response.head.find("Link"));
    }

    void invalidByteInTheNameOfAFieldIsNoAnswer()
    {
        std::vector<std::string> lines = {": v", "X-Stage"};
        for (const char invalid : {' ', '\t', '\0', '\x01', '\x1f', '\x7f', '\x80', '\r', '\n'}) {
            for (std::string &line : linesWith(invalid))
                lines.push_back(std::move(line));
        }
        for (const std::string &line : lines)
            checkLine(line);
    }

    void foldedLineIsNoAnswer()
    {
        for (const std::string before :
             {"X-Response-Signature: s", "X-Request-Id: r1", "Content-Type: text/plain",
              "Content-Length: 5", "Content-Encoding: identity", "X-Replica-Load: 1,0,8",
              "Connection: close", "Retry-After: 1"}) {
            for (const std::string fold : {" X-Stage: v", "\tX-Stage: v", " : v", " ", "\t", "  v"})
                checkLine(joined({before, "\r\n", fold}));
        }
    }

    void foldedLineSplitAnywhereIsRefused()
    {
        const std::string head =
            "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-B: 2\r\nContent-Length: 0\r\n\r\n";
        for (std::size_t splitAt = 0; splitAt <= head.size(); ++splitAt) {
            ResponseParser parser(1000, 1000);
            std::string unparsed = head.substr(0, splitAt);
            unparsed.erase(0, parser.feed(unparsed));
            unparsed += head.substr(splitAt);
            parser.feed(unparsed);
            CPPUNIT_ASSERT_MESSAGE("split at " + std::to_string(splitAt),
                                   parser.fault() == ParseFault::Malformed);
        }
    }

    void blankAtTheStartOfABodyLineIsNoFold()
    {
        const std::string body = " a\r\n b\r\n\r\n\tc";
        const RawCaller::Response response =
            answerTo("/once/x",
                     "HTTP/1.1 200 OK\r\n" + kOwnFields
                         + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        CPPUNIT_ASSERT_EQUAL(200U, response.head.status);
        CPPUNIT_ASSERT_EQUAL(body, response.body);
    }

    void callGetsNoAnswerFromAMalformedHead()
    {
        for (const std::string start :
             {"HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 600 X\r\n",
              "HTTP/1.1 101 X\r\n", "HTTP/1.1 200 OK\r\nX A: v\r\n",
              "HTTP/1.1 200 OK\r\nX-A: v\r\n X-B: v\r\n"}) {
            for (const std::string &body : kFramedBodies) {
                checkCallFails(joined({start, body}), true);
                checkCallFails(joined({start, body, kSoundAnswer}), false);
            }
        }
    }

    void trailerIsNoPartOfTheHead()
    {
        const std::string chunks = "5\r\nwhole\r\n0\r\n";
        const std::string start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
        checkRefused(
            start + "X-Request-Id: r1\r\n\r\n" + chunks + "X-Response-Signature: s\r\n\r\n", false);
        const RawCaller::Response response = answerTo(
            "/once/x",
            start + kOwnFields + "\r\n" + chunks + "X-Not-Executed: 1\r\nX-Late: v\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(200U, response.head.status);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.body);
        CPPUNIT_ASSERT(!response.head.find("X-Late"));
        RequestParser request(1000, 1000);
        request.feed("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
                     + "X-Late: v\r\n\r\n");
        CPPUNIT_ASSERT(request.isComplete());
        CPPUNIT_ASSERT(!request.head().find("X-Late"));
    }

private:
    /// A server's answer to every request, with or without the end of the connection after it.
    ServerConnection::Script scriptOf(const std::string &bytes, bool closes)
    {
        return [bytes, closes](ServerConnection &connection, const Request &) {
            connection.write(bytes);
            if (closes)
                connection.close();
        };
    }

    RawCaller::Response answerTo(const std::string &path, const std::string &bytes,
                                 bool closes = false)
    {
        ScriptedServer server(m_loop, scriptOf(bytes, closes));
        ReplicaRecord record = recordOf(server, "e0");
        record.startedAtMs = ++m_starts;
        m_dispatcher.replicas().put(record, now());
        // Each request has a path of its own, or it would count as one that crashes its servers.
        return sendAndReceive("GET " + path + std::to_string(m_starts)
                              + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n\r\n");
    }

    void checkRefused(const std::string &bytes, bool closes)
    {
        for (const std::string path : {"/once/x", "/again/x", "/stream/x"}) {
            const RawCaller::Response response = answerTo(path, bytes, closes);
            const std::string what = joined({path, " got ", std::to_string(response.head.status),
                                             " \"", response.body, "\" for ", bytes});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 502U, response.head.status);
            CPPUNIT_ASSERT_MESSAGE(what, response.body.find("forged") == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(what, !response.head.find("X-Response-Signature"));
        }
    }

    /// The line stands first, in the middle or last in an answer's head.
    void checkLine(const std::string &line)
    {
        const std::string start = "HTTP/1.1 200 OK\r\n";
        const std::string length = "Content-Length: 5\r\n";
        const std::string added = line + "\r\n";
        checkRefused(start + added + kOwnFields + length + "\r\nwhole", true);
        checkRefused(start + kOwnFields + added + length + "\r\nwhole", true);
        checkRefused(start + kOwnFields + length + added + "\r\nwhole", true);
    }

    void checkCallFails(const std::string &bytes, bool closes)
    {
        ScriptedServer server(m_loop, scriptOf(bytes, closes));
        HttpCaller caller(m_loop, {milliseconds(1000), milliseconds(3000), 16384}, now);
        HttpCaller::Call call;
        call.to = {boost::asio::ip::address_v4::loopback(), server.port()};
        call.target = "/";
        call.timeout = milliseconds(3000);
        std::optional<CallAnswer> answer;
        caller.start(std::move(call), [&](CallAnswer given) { answer = std::move(given); });
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return answer.has_value(); }));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->body + " for " + bytes, 0U, answer->status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("connection broke"), answer->problem);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, true, answer->wasSent);
    }

    std::uint64_t m_starts = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedHeadTest);
