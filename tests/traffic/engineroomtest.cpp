// A router before an engine whose slots fill up, over loopback: who is sent, held and refused.
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <vector>

#include "onerouter.h"

using namespace comfrey;
using namespace comfrey::loopback;

class EngineRoomTest : public CppUnit::TestFixture, protected OneRouter
{
    CPPUNIT_TEST_SUITE(EngineRoomTest);
    CPPUNIT_TEST(fullEngineRefusesWithinATenthOfASecond);
    CPPUNIT_TEST(urgentRequestIsSentToFullEngine);
    CPPUNIT_TEST(unknownSlotsSendEveryRequest);
    CPPUNIT_TEST(requestLargerThanTheEngineIsRefusedUnsent);
    CPPUNIT_TEST(callerWhoLeavesWhileHeldLeavesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        CPPUNIT_ASSERT(m_listener.listen("127.0.0.1:0"));
        m_server =
            std::make_unique<ScriptedServer>(m_loop, [](ServerConnection &, const auto &) {});
        addServer(*m_server, "e1");
    }

    void fullEngineRefusesWithinATenthOfASecond()
    {
        configure(true);
        fill();
        const auto sentAt = std::chrono::steady_clock::now();
        const RawCaller::Response response = sendAndReceive(request("/least/", "1000,50"));
        CPPUNIT_ASSERT_EQUAL(503U, response.head.status);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - sentAt < kMaxRefusal);
        CPPUNIT_ASSERT(!response.head.valueOf("Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(kSlots, m_server->requestCount());
    }

    void urgentRequestIsSentToFullEngine()
    {
        configure(true);
        fill();
        RawCaller caller(m_loop, m_listener.port());
        caller.send(request("/urgent/", "1000,50"));
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_server->requestCount() == kSlots + 1; }));
    }

    void unknownSlotsSendEveryRequest()
    {
        configure(false);
        fill();
        RawCaller caller(m_loop, m_listener.port());
        caller.send(request("/least/", "1000,50"));
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_server->requestCount() == kSlots + 1; }));
    }

    void requestLargerThanTheEngineIsRefusedUnsent()
    {
        configure(true);
        const RawCaller::Response response = sendAndReceive(request("/urgent/", "9990,50"));
        CPPUNIT_ASSERT_EQUAL(503U, response.head.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_server->requestCount());
    }

    void callerWhoLeavesWhileHeldLeavesNothing()
    {
        configure(true);
        fill();
        {
            RawCaller caller(m_loop, m_listener.port());
            caller.send(request("/least/", "1000,50"));
            CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_gateway.inFlight() == kSlots + 1; }));
        }
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_gateway.inFlight() == kSlots; }));
        CPPUNIT_ASSERT_EQUAL(kSlots, m_server->requestCount());
    }

private:
    static constexpr std::size_t kSlots = 8;
    static constexpr std::chrono::milliseconds kMaxRefusal{1000}; ///< Of a loaded test machine.

    void configure(bool hasTraits)
    {
        FleetConfig config;
        config.version = 1;
        for (const auto &[prefix, priority] :
             {std::pair{"/urgent/", 0U}, std::pair{"/least/", 2U}}) {
            Route route;
            route.name = prefix;
            route.host = "a.example";
            route.pathPrefix = prefix;
            route.kind = RouteKind::Stream;
            route.timeout = milliseconds(10000);
            route.objective = milliseconds(800);
            route.priority = priority;
            route.targets = {{ServiceName("s"), 1}};
            config.routes.push_back(route);
        }
        ServiceTraits traits;
        traits.name = ServiceName("s");
        if (hasTraits)
            traits.engine = EngineTraits{kSlots, 10000};
        config.services.push_back(traits);
        m_dispatcher.apply(std::move(config));
    }

    /// Callers of both routes take all slots; while they do, the last of them find the engine full
    /// but are urgent.
    void fill()
    {
        for (std::size_t count = 0; count < kSlots; ++count) {
            m_callers.push_back(std::make_unique<RawCaller>(m_loop, m_listener.port()));
            m_callers.back()->send(request(count < 3 ? "/least/" : "/urgent/", "1000,50"));
            CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_server->requestCount() == count + 1; }));
        }
    }

    std::string request(const std::string &path, const std::string &usage)
    {
        const std::string id = "r" + std::to_string(++m_requests);
        return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
            + "\r\nX-Model: m\r\nX-Token-Usage: " + usage
            + "\r\nX-Prompt-Prefix: 5c1e07a2:800,e4402b7" + std::to_string(m_requests)
            + ":200\r\nX-Deadline-Ms: 10000\r\nContent-Length: 0\r\n\r\n";
    }

    std::unique_ptr<ScriptedServer> m_server;
    std::vector<std::unique_ptr<RawCaller>> m_callers;
    std::size_t m_requests = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineRoomTest);
