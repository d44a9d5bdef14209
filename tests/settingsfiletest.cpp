// The settings loader: what it takes, and each kind of fault that it refuses.
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "settings/settingsfile.h"
#include "settings/settingspage.h"
#include "settings/settingstable.h"

using namespace comfrey;

class SettingsFileTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsFileTest);
    CPPUNIT_TEST(fileWithRequiredKeysHasDefaults);
    CPPUNIT_TEST(fileWithValueOverridesDefault);
    CPPUNIT_TEST(fileWithUnknownKeyIsRefusedWithLine);
    CPPUNIT_TEST(fileWithUnknownSectionIsRefused);
    CPPUNIT_TEST(fileWithSeveralFaultsListsAllInOrder);
    CPPUNIT_TEST(fileWithoutRequiredKeyIsRefused);
    CPPUNIT_TEST(fileWithBrokenSyntaxNamesLine);
    CPPUNIT_TEST(fileWithContradictoryTimesIsRefused);
    CPPUNIT_TEST(fileWithSameAddressTwiceIsRefused);
    CPPUNIT_TEST(everyCountOutOfItsRangeIsRefused);
    CPPUNIT_TEST(fileThatDoesNotExistIsRefused);
    CPPUNIT_TEST(pageInDocsMatchesTable);
    CPPUNIT_TEST(tableHasEveryFieldOfTheSchema);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::string minimal()
    {
        return "[router]\nid = \"r1\"\nzone = \"z1\"\ncaller_address = \"127.0.0.1:8080\"\n"
               "operator_address = \"127.0.0.1:8081\"\npeer_address = \"127.0.0.1:8082\"\n"
               "[platform]\naddress = \"127.0.0.1:9000\"\n";
    }

    static std::string faultsOf(const std::string &text)
    {
        const Result<Settings> settings = parseSettings(text, "router.toml");
        CPPUNIT_ASSERT(!settings.has_value());
        CPPUNIT_ASSERT(settings.error().code == ErrorCode::InvalidSettings);
        return settings.error().text;
    }

    static std::string contentOf(const std::string &path)
    {
        std::ifstream file(std::string(SOURCE_FOLDER) + "/" + path);
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

    void fileWithRequiredKeysHasDefaults()
    {
        const Result<Settings> settings = parseSettings(minimal(), "router.toml");
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), settings->router.id);
        CPPUNIT_ASSERT_EQUAL(std::string("bounded-affinity"), settings->placement.policy);
        CPPUNIT_ASSERT_EQUAL(settings::MembershipT().heartbeatIntervalMs,
                             settings->membership.heartbeatIntervalMs);
    }

    void fileWithValueOverridesDefault()
    {
        const Result<Settings> settings =
            parseSettings(minimal() + "[health]\neject_ratio = 4\nmax_ejected = 0.5\n", "r");
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(4.0F, settings->health.ejectRatio);
        CPPUNIT_ASSERT_EQUAL(0.5F, settings->health.maxEjected);
    }

    void fileWithUnknownKeyIsRefusedWithLine()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("router.toml:10: health.ejectratio: unknown key"),
                             faultsOf(minimal() + "[health]\nejectratio = 4\n"));
    }

    void fileWithUnknownSectionIsRefused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("router.toml:9: helth: unknown section"),
                             faultsOf(minimal() + "[helth]\neject_ratio = 4\n"));
    }

    void fileWithSeveralFaultsListsAllInOrder()
    {
        const std::string text = minimal()
            + "[membership]\ngossip_fanout = 0\nheartbeat_interval_ms = \"often\"\n"
              "[placement]\npolicy = \"nearest\"\nload_multiple = 0.5\n";
        const std::string expected =
            "router.toml:10: membership.gossip_fanout: 0 is not in the range of 1 to 16\n"
            "router.toml:11: membership.heartbeat_interval_ms: must be a whole number\n"
            "router.toml:13: placement.policy: \"nearest\" is none of \"bounded-affinity\", "
            "\"hash-only\", \"round-robin\", \"random\", \"p2c\", \"least-reported-load\"\n"
            "router.toml:14: placement.load_multiple: 0.5 is not in the range of 1 to 10";
        CPPUNIT_ASSERT_EQUAL(expected, faultsOf(text));
    }

    void fileWithoutRequiredKeyIsRefused()
    {
        const std::string faults = faultsOf("[router]\nid = \"r 1\"\n");
        CPPUNIT_ASSERT(faults.find("router.zone: is missing") != std::string::npos);
        CPPUNIT_ASSERT(faults.find("platform.address: is missing") != std::string::npos);
        CPPUNIT_ASSERT(faults.find("router.toml:2: router.id: \"r 1\"") != std::string::npos);
    }

    void fileWithBrokenSyntaxNamesLine()
    {
        const std::string faults = faultsOf(minimal() + "[health\n");
        CPPUNIT_ASSERT_EQUAL(std::string("router.toml:9: "), faults.substr(0, 15));
    }

    void fileWithContradictoryTimesIsRefused()
    {
        const std::string faults = faultsOf(
            minimal() + "[membership]\nheartbeat_interval_ms = 1000\nsuspect_after_ms = 1500\n");
        CPPUNIT_ASSERT_EQUAL(std::string("router.toml:11: membership.suspect_after_ms: must be "
                                         "over twice membership.heartbeat_interval_ms"),
                             faults);
    }

    void fileWithSameAddressTwiceIsRefused()
    {
        std::string text = minimal();
        text.replace(text.find("8082"), 4, "8081");
        CPPUNIT_ASSERT_EQUAL(std::string("router.toml:6: router.peer_address: is the same as "
                                         "router.operator_address"),
                             faultsOf(text));
    }

    void everyCountOutOfItsRangeIsRefused()
    {
        for (const SettingDescriptor &setting : settingsTable()) {
            const auto *count = std::get_if<CountSetting>(&setting.kind);
            if (count == nullptr || setting.section == "router")
                continue;
            const std::string value = std::to_string(std::uint64_t(count->highest) + 1);
            const std::string faults = faultsOf(
                minimal().substr(0, minimal().find("[platform]"))
                + "[platform]\naddress = \"127.0.0.1:9000\"\n"
                + (setting.section == "platform" ? std::string() : "[" + setting.section + "]\n")
                + setting.key + " = " + value + "\n");
            CPPUNIT_ASSERT_MESSAGE(faults, faults.find(setting.key) != std::string::npos);
        }
    }

    void fileThatDoesNotExistIsRefused()
    {
        const Result<Settings> settings = readSettings("/nonexistent/router.toml");
        CPPUNIT_ASSERT(!settings.has_value());
    }

    void pageInDocsMatchesTable()
    {
        CPPUNIT_ASSERT_EQUAL(settingsPage(), contentOf("docs/CONFIGURATION.md"));
    }

    void tableHasEveryFieldOfTheSchema()
    {
        std::set<std::string> known;
        for (const SettingDescriptor &setting : settingsTable())
            known.insert(setting.section + "." + setting.key);
        std::set<std::string> expected;
        std::string section;
        std::istringstream schema(contentOf("schema/settings.fbs"));
        const std::regex table("^table (\\w+) .*");
        const std::regex field("^  (\\w+):.*");
        std::smatch match;
        for (std::string line; std::getline(schema, line);) {
            if (std::regex_match(line, match, table))
                section = std::string(1, static_cast<char>(std::tolower(match[1].str()[0])))
                    + match[1].str().substr(1);
            else if (std::regex_match(line, match, field))
                expected.insert(section + "." + match[1].str());
        }
        CPPUNIT_ASSERT(!expected.empty());
        CPPUNIT_ASSERT(known == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsFileTest);
