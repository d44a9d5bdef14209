// Crowds before comfreyd's callers' port: its memory and descriptors stay bounded, nothing runs
// that was not whole, and an ordinary caller is answered meanwhile.
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>

#include <cppunit/extensions/HelperMacros.h>

#include "childprocess.h"
#include "crowd.h"

using namespace comfrey;
using namespace comfrey::crowd;
using loopback::RawCaller;

namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20;
constexpr std::size_t kMemory = 96 * kMebibyte; ///< router.memory_mb
constexpr std::size_t kMaxBody = 2 * kMebibyte; ///< router.max_body_bytes
constexpr std::size_t kCallers = 60;            ///< With kMaxBody each: more than kMemory.
constexpr std::size_t kDescriptors = 1024;      ///< The usual limit of a process.
constexpr std::size_t kFarOver = 100 * kMaxBody;
constexpr std::size_t kMaxHeader = 16384;
const std::string kTarget = "/v1/services/dispatch/x";
const std::string kFields = "Authorization: Bearer herder-key\r\nIdempotency-Key: k1\r\n";

} // namespace

class DaemonCrowdTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DaemonCrowdTest);
    CPPUNIT_TEST(oneLargestRequestInCalmIsServed);
    CPPUNIT_TEST(wholeBodiesStayUnderMemory);
    CPPUNIT_TEST(bodiesInPiecesStayUnderMemory);
    CPPUNIT_TEST(largeChunksStayUnderMemory);
    CPPUNIT_TEST(oneByteChunksStayUnderMemory);
    CPPUNIT_TEST(announcedBodiesOverLimitAreRefusedUnread);
    CPPUNIT_TEST(endlessChunksAreRefusedUnderMemory);
    CPPUNIT_TEST(headsOfTinyFieldsStayUnderMemory);
    CPPUNIT_TEST(idleCallersStayUnderDescriptors);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::signal(SIGPIPE, SIG_IGN);
        m_folder = newFolder("daemon");
        constexpr int firstPort = 20000;
        constexpr int portsOfFleet = 600;
        constexpr int fleets = 20;
        const int ports = firstPort + ::getpid() % fleets * portsOfFleet;
        m_fleet = std::make_unique<ChildProcess>(
            std::vector<std::string>{"/bin/bash", "tests/crowd/daemonfleet.sh", m_folder,
                                     std::to_string(ports), BUILD_FOLDER, std::to_string(kMaxBody),
                                     std::to_string(kMemory / kMebibyte)},
            m_folder + "/fleet.log", [] {
                if (::chdir(SOURCE_FOLDER) != 0)
                    ::_exit(126);
            });
        const bool isReady = loopback::runUntil(m_loop, [this] {
            loopback::runFor(m_loop, milliseconds(50));
            std::ifstream(m_folder + "/pid") >> m_router;
            return m_router > 0;
        });
        CPPUNIT_ASSERT_MESSAGE("the fleet is not ready; see " + m_folder, isReady);
        constexpr int callerPort = 100; // of the first router, from the fleet's first one
        m_endpoint = {boost::asio::ip::address_v4::loopback(),
                      static_cast<std::uint16_t>(ports + callerPort)};
    }

    void tearDown() override
    {
        m_crowd.reset();
        m_loop.restart();
        m_loop.poll();
        m_fleet->endInput();
        m_fleet.reset();
    }

    void oneLargestRequestInCalmIsServed()
    {
        checkAnswerTo(kMaxBody);
        checkUse();
    }

    void wholeBodiesStayUnderMemory()
    {
        play(kCallers, wholeBodies(kTarget, kFields, kMaxBody));
        checkAll();
    }

    void bodiesInPiecesStayUnderMemory()
    {
        play(kCallers, bodiesInPieces(kTarget, kFields, kMaxBody));
        checkAll();
    }

    void largeChunksStayUnderMemory()
    {
        play(kCallers, largeChunks(kTarget, kFields, kMaxBody));
        checkAll();
    }

    void oneByteChunksStayUnderMemory()
    {
        play(kCallers, oneByteChunks(kTarget, kFields, kMaxBody));
        checkAll();
    }

    void announcedBodiesOverLimitAreRefusedUnread()
    {
        play(kCallers, announcedBodies(kTarget, kFields, kFarOver));
        CPPUNIT_ASSERT_EQUAL(m_crowd->size(), m_crowd->closed());
        CPPUNIT_ASSERT_EQUAL(m_crowd->size(), m_crowd->answeredWith("HTTP/1.1 413 "));
        checkAll();
    }

    void endlessChunksAreRefusedUnderMemory()
    {
        play(kCallers, endlessChunks(kTarget, kFields, kFarOver));
        CPPUNIT_ASSERT_EQUAL(m_crowd->size(), m_crowd->closed());
        checkAll();
    }

    void headsOfTinyFieldsStayUnderMemory()
    {
        constexpr std::size_t callers = 400; // 262,144 bytes of fields each
        play(callers, tinyFields(kTarget, kFields, kMaxHeader));
        checkAll();
    }

    void idleCallersStayUnderDescriptors()
    {
        constexpr std::size_t callers = 1500;
        play(callers, {"POST ", {}, 0, {}});
        checkAll();
    }

private:
    void play(std::size_t callers, Script script)
    {
        m_crowd = std::make_unique<Crowd>(m_loop, m_endpoint, callers, std::move(script));
        m_crowd->settle(m_router);
    }

    void checkAnswerTo(std::size_t bytes)
    {
        RawCaller caller(m_loop, m_endpoint);
        caller.send(announcedHead(kTarget,
                                  "Authorization: Bearer herder-key\r\nIdempotency-Key: k"
                                      + std::to_string(++m_keys + 1) + "\r\n",
                                  bytes)
                    + std::string(bytes, 'b'));
        std::optional<RawCaller::Response> answer;
        loopback::runUntil(m_loop, [&] {
            answer = caller.takeResponse();
            return answer.has_value() || caller.isClosed();
        });
        CPPUNIT_ASSERT_MESSAGE("an ordinary request is not answered", answer.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->body, 200U, answer->head.status);
    }

    void checkUse()
    {
        CPPUNIT_ASSERT_MESSAGE("the router has ended", isAlive(m_router));
        const ProcessUse use = useOf(m_router);
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
        checkAnswerTo(usualBody);
        checkUse();
    }

    boost::asio::io_context m_loop;
    std::string m_folder;
    std::unique_ptr<ChildProcess> m_fleet; ///< The script that owns the fleet's processes.
    pid_t m_router = 0;
    std::unique_ptr<Crowd> m_crowd;
    boost::asio::ip::tcp::endpoint m_endpoint;
    int m_keys = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonCrowdTest);
