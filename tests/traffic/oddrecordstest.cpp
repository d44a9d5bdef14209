// Records that another writer left in the platform's store: they name no server, and neither end
// the process nor keep the others from being read.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "decoders.h"

using namespace comfrey;

namespace {

constexpr std::size_t kNesting = 200000;

const std::string kServer =
    R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"ready","seq":4,"born":9,"cold_remaining_ms":5})";
const std::string kConfig =
    R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"streaming","timeout_ms":12000,"target_latency_ms":500,"priority":1,"traffic_split":[{"service":"a","weight":90}],"max_attempts":2,"target_gap_ms":200}],"services":[{"name":"s","max_connections":9,"engine":{"slots":3,"kv_capacity_tokens":8}}],"tenants":[{"name":"t","priority":2}],"limits":{"max_header_bytes":8000,"max_body_bytes":80000,"header_timeout_ms":800,"idle_timeout_ms":900}})";

/// Values that no member of a record may have, beside a number that fits.
std::vector<std::string> oddNumbers()
{
    return {"1e300",     "2e19",   "1e400", "18446744073709551616",
            "-1",        "-1e300", "true",  std::string(kNesting, '[') + std::string(kNesting, ']'),
            R"({"a":1})"};
}

/// `record` with the value of the member replaced.
std::string withMember(std::string record, const std::string &name, const std::string &value)
{
    const std::size_t at = record.find('"' + name + "\":") + name.size() + 3;
    const std::size_t end = record.find_first_of(",}", at);
    return record.replace(at, end - at, value);
}

} // namespace

class OddRecordsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OddRecordsTest);
    CPPUNIT_TEST(serverRecordWithNumberThatDoesNotFitIsRejected);
    CPPUNIT_TEST(serverRecordWithUnusableAddressIsRejected);
    CPPUNIT_TEST(deeplyNestedRecordIsRejected);
    CPPUNIT_TEST(deeplyNestedUnknownMemberIsIgnored);
    CPPUNIT_TEST(configWithNumberThatDoesNotFitIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void serverRecordWithNumberThatDoesNotFitIsRejected()
    {
        CPPUNIT_ASSERT(platform::decodeReplica("e", kServer));
        for (const std::string member : {"slots", "seq", "born", "cold_remaining_ms"}) {
            for (const std::string &value : oddNumbers())
                checkServerRejected(withMember(kServer, member, value));
        }
        checkServerRejected(withMember(kServer, "slots", "4294967297"));
        checkServerRejected(withMember(kServer, "cold_remaining_ms", "1e15"));
    }

    void serverRecordWithUnusableAddressIsRejected()
    {
        for (const std::string address :
             {"127.0.0.1:70000", "127.0.0.1:0", "127.0.0.1:-80", "127.0.0.1:80x",
              "127.0.0.1:", "127.0.0.1", "name:80", "1.2.3.400:80", ""})
            checkServerRejected(withMember(kServer, "address", '"' + address + '"'));
    }

    void deeplyNestedRecordIsRejected()
    {
        for (const std::string &text :
             {std::string(kNesting, '['), std::string(kNesting, '[') + std::string(kNesting, ']')})
            checkServerRejected(text);
        std::string objects;
        for (std::size_t depth = 0; depth < kNesting; ++depth)
            objects += "{\"a\":";
        checkServerRejected(objects);
        checkServerRejected(objects + '1' + std::string(kNesting, '}'));
        CPPUNIT_ASSERT(!platform::decodeConfig(objects + '1' + std::string(kNesting, '}')));
    }

    void deeplyNestedUnknownMemberIsIgnored()
    {
        const std::string nested = std::string(kNesting, '[') + std::string(kNesting, ']');
        CPPUNIT_ASSERT(platform::decodeReplica("e", R"({"x":)" + nested + ',' + kServer.substr(1)));
    }

    void configWithNumberThatDoesNotFitIsRejected()
    {
        CPPUNIT_ASSERT(platform::decodeConfig(kConfig));
        for (const std::string member :
             {"version", "timeout_ms", "target_latency_ms", "priority", "weight", "max_attempts",
              "target_gap_ms", "max_connections", "slots", "kv_capacity_tokens", "max_header_bytes",
              "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"}) {
            for (const std::string &value : oddNumbers()) {
                const std::string text = withMember(kConfig, member, value);
                CPPUNIT_ASSERT_MESSAGE(member + '=' + value.substr(0, 30),
                                       !platform::decodeConfig(text));
            }
        }
        for (const std::string member : {"priority", "weight", "max_attempts", "slots"})
            CPPUNIT_ASSERT_MESSAGE(
                member, !platform::decodeConfig(withMember(kConfig, member, "4294967297")));
    }

private:
    static void checkServerRejected(const std::string &record)
    {
        CPPUNIT_ASSERT_MESSAGE(record.substr(0, 160), !platform::decodeReplica("e", record));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddRecordsTest);
