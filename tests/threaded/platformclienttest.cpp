// What the platform's interfaces answer is read without trust in the writers of single entries.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/httpserver.h"
#include "daemon/platformclient.h"
#include "lastevent.h"

using namespace comfrey;

namespace {

constexpr std::size_t kNesting = 200000;
const std::string kNested = std::string(kNesting, '[') + std::string(kNesting, ']');

} // namespace

class PlatformClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformClientTest);
    CPPUNIT_TEST(oddEntryAmongInstancesHidesNoOther);
    CPPUNIT_TEST(malformedListIsAFailedRead);
    CPPUNIT_TEST(malformedLogAnswerIsAFailedRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void oddEntryAmongInstancesHidesNoOther()
    {
        for (const std::string &odd : std::vector<std::string>{
                 std::string("7"), std::string("null"), kNested, R"({"id":7})",
                 R"({"id":"x","slots":"8"})", R"({"id":"x","slots":-1})",
                 R"({"id":"x","slots":4294967297})", R"({"id":"x","slots":1e300})",
                 R"({"id":"x","models":[7]})", R"({"id":"x","models":)" + kNested + '}',
                 R"({"id":"x","checks_fencing":"yes"})",
                 R"({"id":"x","address":"127.0.0.1:70000"})", R"({"id":"x","address":{"port":1}})",
                 R"({"id":"x","state":[]})"}) {
            m_answer =
                R"({"version":3,"instances":[{"id":"e1","address":"127.0.0.1:80","slots":8},)" + odd
                + R"(,{"id":"e2","address":"127.0.0.1:81","slots":8}]})";
            m_client->readInstances();
            const auto event = m_sink.wait();
            CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 60),
                                   event && std::holds_alternative<InstanceListRead>(*event));
            const auto &instances = std::get<InstanceListRead>(*event).instances;
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), instances.size());
            CPPUNIT_ASSERT_EQUAL(std::string("e2"), instances.back().id);
        }
    }

    void malformedListIsAFailedRead()
    {
        for (const std::string &text :
             std::vector<std::string>{std::string("[]"), std::string(R"({"instances":7})"), kNested,
                                      std::string("\xff")}) {
            m_answer = text;
            m_client->readInstances();
            const auto event = m_sink.wait();
            CPPUNIT_ASSERT(event && std::holds_alternative<InstanceListFailed>(*event));
        }
    }

    void malformedLogAnswerIsAFailedRead()
    {
        for (const std::string &text : std::vector<std::string>{
                 std::string(R"({"records":[7]})"), std::string(R"({"records":[{"payload":7}]})"),
                 std::string(R"({"records":[],"end":"x"})"),
                 std::string(R"({"records":[{"payload":"","offset":1e300}]})"),
                 R"({"records":)" + kNested + '}'}) {
            m_answer = text;
            m_client->read({StreamId("config"), LogOffset(1), false});
            const auto event = m_sink.wait();
            CPPUNIT_ASSERT_MESSAGE(text.substr(0, 60),
                                   event && std::holds_alternative<LogReadFailed>(*event));
        }
    }

    void setUp() override
    {
        m_server = std::make_unique<HttpServer>(HttpServerOptions{});
        const auto answer = [this](const auto &, auto &response) {
            response.set_content(m_answer, "application/json");
        };
        m_server->routes().Get("/instances", answer);
        m_server->routes().Get(R"(/log/streams/.*)", answer);
        const auto port = m_server->listen("127.0.0.1:0");
        m_server->start();
        m_client = std::make_unique<PlatformClient>(Endpoint("127.0.0.1:" + std::to_string(*port)),
                                                    std::chrono::milliseconds(5000), m_sink);
    }

    void tearDown() override
    {
        m_client.reset();
        m_server.reset();
    }

private:
    LastEvent m_sink;
    std::string m_answer;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<PlatformClient> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);
