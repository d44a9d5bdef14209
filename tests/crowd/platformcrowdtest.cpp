// Crowds before a router of the users' platform: its memory and descriptors stay under what its
// settings name, nothing runs that was not whole, and an ordinary caller is answered meanwhile.
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include <cppunit/extensions/HelperMacros.h>

#include "answeringserver.h"
#include "childprocess.h"
#include "crowd.h"
#include "standinstore.h"

using namespace comfrey;
using namespace comfrey::crowd;
using loopback::RawCaller;

namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20;
constexpr std::size_t kMemory = 64 * kMebibyte; ///< limits.memory_mb
constexpr std::size_t kMaxBody = 2 * kMebibyte;
constexpr std::size_t kMaxHeader = 16384;
constexpr std::size_t kDescriptors = 1000; ///< limits.max_fds
constexpr std::size_t kCallers = 40;       ///< With kMaxBody each: more than kMemory.
constexpr std::size_t kFarOver = 100 * kMaxBody;
constexpr std::size_t kAnswer = 200000;
const std::string kFields = "X-Request-Id: q1\r\n";

} // namespace

class PlatformCrowdTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformCrowdTest);
    CPPUNIT_TEST(oneLargestRequestInCalmIsServed);
    CPPUNIT_TEST(wholeBodiesStayUnderMemory);
    CPPUNIT_TEST(bodiesInPiecesStayUnderMemory);
    CPPUNIT_TEST(largeChunksStayUnderMemory);
    CPPUNIT_TEST(oneByteChunksStayUnderMemory);
    CPPUNIT_TEST(announcedBodiesOverLimitAreRefusedUnread);
    CPPUNIT_TEST(endlessChunksAreRefusedUnderMemory);
    CPPUNIT_TEST(headsOfTinyFieldsStayUnderMemory);
    CPPUNIT_TEST(unreadAnswersStayUnderMemory);
    CPPUNIT_TEST(wholeBodiesInFlightStayUnderMemory);
    CPPUNIT_TEST(requestsInFlightStayUnderDescriptors);
    CPPUNIT_TEST(idleCallersStayUnderDescriptors);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::signal(SIGPIPE, SIG_IGN);
        m_folder = newFolder("platform");
        m_store = std::make_unique<soak::StandInStore>(m_loop);
        m_server = std::make_unique<AnsweringServer>(m_loop, kAnswer);
        m_store->append(
            "keyed.op", "config",
            R"({"version":1,"routes":[{"name":"again","host":"a.example","path_prefix":"/again/",)"
            R"("kind":"idempotent","timeout_ms":100000,"service":"s","max_attempts":1}],)"
            R"("services":[{"name":"s","max_connections":100000}],"tenants":[],)"
            R"("limits":{"max_header_bytes":)"
                + std::to_string(kMaxHeader) + R"(,"max_body_bytes":)" + std::to_string(kMaxBody)
                + R"(,"header_timeout_ms":100000,"idle_timeout_ms":100000}})");
        m_store->append("keyed.servers", "e0",
                        R"({"service":"s","address":")" + m_server->address()
                            + R"(","zone":"z0","version":"v1","slots":100000,"state":"ready",)"
                              R"("seq":1,"born":1})");
        startRouter();
    }

    void tearDown() override
    {
        m_crowd.reset();
        m_router.reset();
        m_server.reset();
        m_store.reset();
        m_loop.restart();
        m_loop.poll();
    }

    void oneLargestRequestInCalmIsServed()
    {
        CPPUNIT_ASSERT_EQUAL(std::to_string(kMaxBody), bodyOfAnswerTo(kMaxBody));
        checkUse();
    }

    void wholeBodiesStayUnderMemory()
    {
        play(kCallers, wholeBodies("/again/x", kFields, kMaxBody));
        checkNothingRan();
        checkAll();
    }

    void bodiesInPiecesStayUnderMemory()
    {
        play(kCallers, bodiesInPieces("/again/x", kFields, kMaxBody));
        checkNothingRan();
        checkAll();
    }

    void largeChunksStayUnderMemory()
    {
        play(kCallers, largeChunks("/again/x", kFields, kMaxBody));
        checkNothingRan();
        checkAll();
    }

    void oneByteChunksStayUnderMemory()
    {
        play(kCallers, oneByteChunks("/again/x", kFields, kMaxBody));
        checkNothingRan();
        checkAll();
    }

    void announcedBodiesOverLimitAreRefusedUnread()
    {
        play(kCallers, announcedBodies("/again/x", kFields, kFarOver));
        CPPUNIT_ASSERT_EQUAL(m_crowd->size(), m_crowd->closed());
        CPPUNIT_ASSERT_EQUAL(m_crowd->size(), m_crowd->answeredWith("HTTP/1.1 413 "));
        checkNothingRan();
        checkAll();
    }

    void endlessChunksAreRefusedUnderMemory()
    {
        play(kCallers, endlessChunks("/again/x", kFields, kFarOver));
        CPPUNIT_ASSERT_EQUAL(m_crowd->size(), m_crowd->closed());
        checkNothingRan();
        checkAll();
    }

    void headsOfTinyFieldsStayUnderMemory()
    {
        constexpr std::size_t callers = 300; // 262,144 bytes of fields each
        play(callers, tinyFields("/again/x", kFields, kMaxHeader));
        checkNothingRan();
        checkAll();
    }

    void unreadAnswersStayUnderMemory()
    {
        constexpr std::size_t requests = 60;
        play(kCallers, unreadAnswers("/again/large", kFields, requests));
        checkAll();
    }

    void wholeBodiesInFlightStayUnderMemory()
    {
        Script script = wholeBodies("/again/hold", kFields, kMaxBody);
        script.end = "b";
        play(kCallers, std::move(script));
        checkAll();
    }

    void requestsInFlightStayUnderDescriptors()
    {
        play(kDescriptors, {announcedHead("/again/hold", kFields, 1) + "b", {}, 0, {}});
        checkUse();
        // None of the crowd's requests may be cut: a caller that comes now may be told to come
        // back.
        const RawCaller::Response answer = answerTo(1);
        const bool isRefused = answer.head.status == 503 && answer.head.count("Retry-After") == 1;
        CPPUNIT_ASSERT(answer.head.status == 200 || isRefused);
        checkUse();
    }

    void idleCallersStayUnderDescriptors()
    {
        play(kDescriptors, {"POST ", {}, 0, {}});
        checkAll();
    }

private:
    void startRouter()
    {
        const std::string ip = "127." + std::to_string(1 + ::getpid() % 200) + "."
            + std::to_string(1 + ::getpid() / 200 % 200) + ".1";
        const std::string path = m_folder + "/node.toml";
        std::ofstream(path)
            << "node = \"r0\"\nip = \"" << ip
            << "\"\nzone = \"z0\"\nbootstrap = true\nseeds = []\n[listen]\nfront = \"" << ip
            << ":8227\"\nready = \"" << ip << ":8220\"\ncontrol = \"" << ip
            << ":8229\"\n[limits]\nmemory_mb = " << kMemory / kMebibyte
            << "\nmax_fds = " << kDescriptors << "\n[platform]\naddress = \"" << m_store->address()
            << "\"\n[bounds]\ndrain_ms = 2000\nconfig_apply_ms = 2000\ngrace_s = 6\n";
        m_router = std::make_unique<ChildProcess>(
            std::vector<std::string>{ROUTER_PROGRAM}, m_folder + "/node.log",
            [&path] { ::setenv("COMFREYLANDING_SETTINGS", path.c_str(), 1); });
        m_endpoint = {boost::asio::ip::make_address(ip), 8227};
        const boost::asio::ip::tcp::endpoint ready{boost::asio::ip::make_address(ip), 8220};
        const bool isReady = loopback::runUntil(m_loop, [&] {
            m_store->tick(loopback::now());
            RawCaller caller(m_loop, ready);
            caller.send("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
            loopback::runFor(m_loop, milliseconds(50));
            const auto answer = caller.takeResponse();
            return answer && answer->head.status == 200;
        });
        CPPUNIT_ASSERT_MESSAGE("the router is not ready; see " + m_folder, isReady);
    }

    void play(std::size_t callers, Script script)
    {
        m_crowd = std::make_unique<Crowd>(m_loop, m_endpoint, callers, std::move(script));
        m_crowd->settle(m_router->id());
    }

    RawCaller::Response answerTo(std::size_t bytes)
    {
        RawCaller caller(m_loop, m_endpoint);
        caller.send(announcedHead("/again/x", "X-Request-Id: ordinary\r\n", bytes)
                    + std::string(bytes, 'b'));
        std::optional<RawCaller::Response> answer;
        loopback::runUntil(m_loop, [&] {
            answer = caller.takeResponse();
            return answer.has_value() || caller.isClosed();
        });
        CPPUNIT_ASSERT_MESSAGE("an ordinary request is not answered", answer.has_value());
        return *answer;
    }

    std::string bodyOfAnswerTo(std::size_t bytes)
    {
        const RawCaller::Response answer = answerTo(bytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200U, answer.head.status);
        return answer.body;
    }

    void checkNothingRan() { CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->runs()); }

    void checkUse()
    {
        CPPUNIT_ASSERT_MESSAGE("the router has ended", isAlive(m_router->id()));
        const ProcessUse use = useOf(m_router->id());
        std::cout << " [" << use.peakBytes / 1024 << " KiB, " << use.descriptors << " descriptors]";
        CPPUNIT_ASSERT_MESSAGE("memory at its peak: " + std::to_string(use.peakBytes) + " of "
                                   + std::to_string(kMemory) + " bytes",
                               use.peakBytes <= kMemory);
        CPPUNIT_ASSERT_MESSAGE("open descriptors: " + std::to_string(use.descriptors) + " of "
                                   + std::to_string(kDescriptors),
                               use.descriptors <= kDescriptors);
    }

    void checkAll()
    {
        checkUse();
        constexpr std::size_t usualBody = 1000;
        CPPUNIT_ASSERT_EQUAL(std::to_string(usualBody), bodyOfAnswerTo(usualBody));
        checkUse();
    }

    boost::asio::io_context m_loop;
    std::string m_folder;
    std::unique_ptr<soak::StandInStore> m_store;
    std::unique_ptr<AnsweringServer> m_server;
    std::unique_ptr<ChildProcess> m_router;
    std::unique_ptr<Crowd> m_crowd;
    boost::asio::ip::tcp::endpoint m_endpoint;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCrowdTest);
