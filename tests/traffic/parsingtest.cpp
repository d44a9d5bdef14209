// Tests the parsers of HTTP responses and event streams with input that is split at any byte, the
// decoders of the platform's records and header fields, and the format of event log lines.
#include <cppunit/extensions/HelperMacros.h>

#include "decoders.h"
#include "gateway/eventsplitter.h"
#include "headers.h"
#include "telemetry/eventlog.h"
#include "traffic/httpparser.h"

#include <unistd.h>

using namespace comfrey;

namespace {

const std::string kChunkedResponse =
    "HTTP/1.1 200 OK\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n6;ext=1\r\n world\r\n0\r\nX-Trailer: t\r\n\r\n";

} // namespace

class ParsingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ParsingTest);
    CPPUNIT_TEST(chunkedResponseSplitAnywhereIsParsed);
    CPPUNIT_TEST(bytesAfterResponseAreNotConsumed);
    CPPUNIT_TEST(responseWithoutLengthCompletesAtConnectionEnd);
    CPPUNIT_TEST(responseThatEndsEarlyIsIncomplete);
    CPPUNIT_TEST(responseToHeadHasNoBody);
    CPPUNIT_TEST(eventStreamSplitAnywhereYieldsWholeEvents);
    CPPUNIT_TEST(replicaRecordWithInvalidMemberIsRejected);
    CPPUNIT_TEST(replicaRecordIsDecoded);
    CPPUNIT_TEST(configIsDecoded);
    CPPUNIT_TEST(allowedRegionsOfRoutesAndOrganisationsAreDecoded);
    CPPUNIT_TEST(configWithUnreadableRegionsIsRejected);
    CPPUNIT_TEST(engineWithoutSlotsHasUnknownSlots);
    CPPUNIT_TEST(configWithoutRequiredMemberIsRejected);
    CPPUNIT_TEST(evacuatedZoneIsReadFromKey);
    CPPUNIT_TEST(requestFactsAreReadFromHeaders);
    CPPUNIT_TEST(requestWithInvalidHostIdOrTargetIsRejected);
    CPPUNIT_TEST(answerFactsAreReadFromHeaders);
    CPPUNIT_TEST(logLineValuesAreQuotedAndLineCountIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void chunkedResponseSplitAnywhereIsParsed()
    {
        for (std::size_t splitAt = 0; splitAt <= kChunkedResponse.size(); ++splitAt) {
            ResponseParser parser(1000, 1000);
            std::string unparsed = kChunkedResponse.substr(0, splitAt);
            unparsed.erase(0, parser.feed(unparsed));
            CPPUNIT_ASSERT_EQUAL(splitAt == kChunkedResponse.size(), parser.isComplete());
            unparsed += kChunkedResponse.substr(splitAt);
            unparsed.erase(0, parser.feed(unparsed));
            CPPUNIT_ASSERT(parser.isComplete());
            CPPUNIT_ASSERT(unparsed.empty());
            CPPUNIT_ASSERT_EQUAL(std::string("hello world"), parser.takeBody());
            CPPUNIT_ASSERT(parser.head().isChunked);
        }
    }

    void bytesAfterResponseAreNotConsumed()
    {
        ResponseParser parser(1000, 1000);
        const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500";
        CPPUNIT_ASSERT_EQUAL(bytes.size() - 12, parser.feed(bytes));
        CPPUNIT_ASSERT(parser.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), parser.takeBody());
    }

    void responseWithoutLengthCompletesAtConnectionEnd()
    {
        ResponseParser parser(1000, 1000);
        parser.feed("HTTP/1.1 200 OK\r\n\r\nsome");
        CPPUNIT_ASSERT(!parser.isComplete());
        CPPUNIT_ASSERT(parser.head().endsWithConnection());
        parser.feedEnd();
        CPPUNIT_ASSERT(parser.isComplete());
    }

    void responseThatEndsEarlyIsIncomplete()
    {
        for (const std::string lengthField :
             {"Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n"}) {
            ResponseParser parser(1000, 1000);
            parser.feed("HTTP/1.1 200 OK\r\n" + lengthField + "\r\n4\r\nhalf\r\n");
            parser.feedEnd();
            CPPUNIT_ASSERT_EQUAL(lengthField[0] == 'C',
                                 parser.isComplete() && parser.body().size() == 9);
            CPPUNIT_ASSERT(lengthField[0] == 'C' || parser.fault() == ParseFault::Malformed);
        }
    }

    void responseToHeadHasNoBody()
    {
        ResponseParser parser(1000, 1000);
        parser.expectNoBody();
        parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
        CPPUNIT_ASSERT(parser.isComplete());
    }

    void eventStreamSplitAnywhereYieldsWholeEvents()
    {
        const std::string events =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: none\n\nid:3\ndata: part";
        for (std::size_t splitAt = 0; splitAt <= events.size(); ++splitAt) {
            EventSplitter splitter;
            std::string completeEvents = splitter.feed(events.substr(0, splitAt));
            completeEvents += splitter.feed(events.substr(splitAt));
            CPPUNIT_ASSERT_EQUAL(events.substr(0, events.find("id:3")), completeEvents);
            CPPUNIT_ASSERT_EQUAL(std::string("2"), splitter.lastEventId());
            CPPUNIT_ASSERT_EQUAL(std::string("id:3\ndata: part"), splitter.incompleteEvent());
        }
    }

    void replicaRecordWithInvalidMemberIsRejected()
    {
        const std::string validRecord =
            R"({"service":"s","address":"127.0.0.1:1","zone":"z","slots":8,"state":"ready","seq":4,"born":9})";
        CPPUNIT_ASSERT(platform::decodeReplica("e", validRecord));
        const std::vector<std::pair<std::string, std::string>> invalidations = {
            {"\"service\":\"s\"", "\"service\":7"},
            {"\"slots\":8", "\"slots\":\"8\""},
            {"\"slots\":8", "\"slots\":-8"},
            {"\"ready\"", "\"resting\""},
            {"\"seq\":4", "\"seq\":null"},
            {"\"zone\":\"z\",", ""},
            {"{", "["},
            {"\"born\":9", "\"born\":\"x\""}};
        for (const auto &[from, to] : invalidations) {
            std::string invalidRecord = validRecord;
            invalidRecord.replace(invalidRecord.find(from), from.size(), to);
            CPPUNIT_ASSERT_MESSAGE(invalidRecord, !platform::decodeReplica("e", invalidRecord));
        }
        CPPUNIT_ASSERT(!platform::decodeReplica("e", "\xff\x00 no"));
    }

    void replicaRecordIsDecoded()
    {
        const auto record = platform::decodeReplica(
            "e",
            R"({"service":"s","address":"127.0.0.1:1","zone":"z","slots":8,"state":"draining","seq":4,"born":9,"new":1})");
        CPPUNIT_ASSERT(record);
        CPPUNIT_ASSERT(record->isDraining);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(8), record->slots);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), record->startedAtMs);
    }

    void configIsDecoded()
    {
        const auto config = platform::decodeConfig(
            R"({"version":7,"routes":[{"name":"r","host":"H.example","path_prefix":"/x/","kind":"streaming","timeout_ms":12000,
                "target_latency_ms":500,"priority":1,"traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}],
                "max_attempts":2,"public":false,"can_resume":true,"target_gap_ms":200},
               {"name":"q","host":"h","path_prefix":"/","kind":"something new","timeout_ms":1,"service":"a"}],
               "services":[{"name":"a","max_connections":250,"engine":{"slots":32,"kv_capacity_tokens":811330}}],
               "limits":{"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k"],"priority":1}]})");
        CPPUNIT_ASSERT(config);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), config->version);
        CPPUNIT_ASSERT_EQUAL(std::string("h.example"), config->routes[0].host);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), config->routes[0].targets.size());
        CPPUNIT_ASSERT(config->routes[0].mayRetry());
        CPPUNIT_ASSERT(config->routes[1].kind == RouteKind::AtMostOnce);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(32), config->services[0].engine->slots);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), *config->organisations[0].priority);
    }

    void allowedRegionsOfRoutesAndOrganisationsAreDecoded()
    {
        const auto config = platform::decodeConfig(
            R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","timeout_ms":1,"service":"a",
                "allowed_regions":["north","south"]}],"tenants":[{"name":"t","api_keys":["k"],"allowed_regions":["south"]},
                {"name":"u","allowed_regions":null}]})");
        CPPUNIT_ASSERT(config);
        CPPUNIT_ASSERT(config->routes[0].allowedRegions
                       == std::vector<RegionId>({RegionId("north"), RegionId("south")}));
        CPPUNIT_ASSERT(config->organisations[0].allowedRegions
                       == std::vector<RegionId>({RegionId("south")}));
        CPPUNIT_ASSERT(config->organisations[1].allowedRegions.empty());
    }

    /// A limit that cannot be read must not be lifted.
    void configWithUnreadableRegionsIsRejected()
    {
        for (const char *regions : {R"("north")", "[1]", R"([""])", R"(["north",null])", "{}"}) {
            const std::string text = R"({"version":1,"tenants":[{"name":"t","allowed_regions":)"
                + std::string(regions) + "}]}";
            CPPUNIT_ASSERT_MESSAGE(regions, !platform::decodeConfig(text));
        }
    }

    void engineWithoutSlotsHasUnknownSlots()
    {
        const auto config = platform::decodeConfig(
            R"({"version":7,"routes":[],"services":[{"name":"a","engine":{"kv_capacity_tokens":811330}}]})");
        CPPUNIT_ASSERT(config);
        CPPUNIT_ASSERT(config->services[0].engine);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), config->services[0].engine->slots);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(811330), config->services[0].engine->cacheTokens);
    }

    void configWithoutRequiredMemberIsRejected()
    {
        CPPUNIT_ASSERT(!platform::decodeConfig("{}"));
        CPPUNIT_ASSERT(!platform::decodeConfig("not json"));
        const auto config = platform::decodeConfig(R"({"version":1,"routes":[{"name":"r"}]})");
        CPPUNIT_ASSERT(!config);
        CPPUNIT_ASSERT(config.error().text.find("host") != std::string::npos);
    }

    void evacuatedZoneIsReadFromKey()
    {
        CPPUNIT_ASSERT(platform::evacuatedZone("evacuate/ub-east") == ZoneId("ub-east"));
        for (const char *other : {"config", "evacuate/", "evacuate", "x/evacuate/ub-east"})
            CPPUNIT_ASSERT_MESSAGE(other, !platform::evacuatedZone(other));
    }

    void requestFactsAreReadFromHeaders()
    {
        HttpHead head;
        head.method = "POST";
        head.target = "/x/y";
        head.fields = {
            {"host", "A.example:1"},      {"x-request-id", "r1"},
            {"X-Deadline-Ms", "1500"},    {"Authorization", "Bearer k"},
            {"X-Token-Usage", "1460,80"}, {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"}};
        const auto facts = m_headers.readRequest(head, "body");
        CPPUNIT_ASSERT(facts);
        CPPUNIT_ASSERT_EQUAL(std::string("a.example"), facts->host);
        CPPUNIT_ASSERT_EQUAL(std::string("k"), facts->apiKey);
        CPPUNIT_ASSERT(milliseconds(1500) == *facts->callerTimeout);
        CPPUNIT_ASSERT_EQUAL(Tokens(80), facts->maxOutputTokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), facts->prompt.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0x5c1e07a2), facts->prompt[0].id);
        CPPUNIT_ASSERT(m_headers.readRequest(head, "other")->fingerprint != facts->fingerprint);
    }

    void requestWithInvalidHostIdOrTargetIsRejected()
    {
        HttpHead head;
        head.target = "/";
        head.fields = {{"Host", "a"}, {"X-Request-Id", "1"}};
        CPPUNIT_ASSERT(m_headers.readRequest(head, ""));
        head.add("X-Request-Id", "2");
        CPPUNIT_ASSERT(!m_headers.readRequest(head, ""));
        head.fields = {{"Host", "a"}, {"Host", "b"}, {"X-Request-Id", "1"}};
        CPPUNIT_ASSERT(!m_headers.readRequest(head, ""));
        head.fields = {{"Host", "a"}, {"X-Request-Id", "1"}};
        head.target = "*";
        CPPUNIT_ASSERT(!m_headers.readRequest(head, ""));
    }

    void answerFactsAreReadFromHeaders()
    {
        HttpHead head;
        head.status = 200;
        head.fields = {{"X-Response-Signature", "s"}, {"X-Replica-Load", "3, 1,8,100"}};
        const AnswerFacts facts = m_headers.readAnswer(head);
        CPPUNIT_ASSERT(facts.isGenuine);
        CPPUNIT_ASSERT(!facts.isNotRun);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), facts.load->waiting);
        head.status = 421;
        head.fields.clear();
        CPPUNIT_ASSERT(m_headers.readAnswer(head).isFromOtherServer);
        CPPUNIT_ASSERT(!m_headers.readAnswer(head).load);
    }

    void logLineValuesAreQuotedAndLineCountIsBounded()
    {
        int pipeEnds[2];
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipeEnds));
        EventLog log(pipeEnds[1]);
        {
            LogLine line(log, "e", TimePoint());
            line.add("text", "a \"b\"\n").add("n", std::int64_t(-3)).add("d", milliseconds(15));
        }
        for (int count = 0; count < 3000; ++count)
            const LogLine line(log, "many", TimePoint());
        log.flush();
        std::string text(4096, '\0');
        text.resize(static_cast<std::size_t>(::read(pipeEnds[0], text.data(), text.size())));
        CPPUNIT_ASSERT_EQUAL(std::string("t=0.0 event=e text=\"a \\\"b\\\" \" n=-3 d_ms=15.0"),
                             text.substr(0, text.find('\n')));
        {
            const LogLine line(log, "next", TimePoint(milliseconds(1000)));
        }
        std::string rest(1 << 20, '\0');
        ::close(pipeEnds[1]);
        std::size_t lines = 0;
        for (ssize_t count = 0; (count = ::read(pipeEnds[0], rest.data(), rest.size())) > 0;)
            lines += static_cast<std::size_t>(std::count(rest.begin(), rest.begin() + count, '\n'));
        CPPUNIT_ASSERT(lines < 1600);
        ::close(pipeEnds[0]);
    }

private:
    platform::PlatformHeaders m_headers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParsingTest);
