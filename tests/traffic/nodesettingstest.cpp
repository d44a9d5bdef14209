// What the platform's settings file switches on.
#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "settings.h"

using namespace comfrey;

class NodeSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeSettingsTest);
    CPPUNIT_TEST(engineRequestsAreLimitedOnlyUnderPressure);
    CPPUNIT_TEST(regionsOfZonesAreRead);
    CPPUNIT_TEST(zoneWithoutNameOfItsRegionIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override { std::remove(m_path.c_str()); }

    void engineRequestsAreLimitedOnlyUnderPressure()
    {
        CPPUNIT_ASSERT(!read("")->limitsEngineRequests);
        CPPUNIT_ASSERT(!read("contracts = [\"base\", \"engine\"]\n")->limitsEngineRequests);
        CPPUNIT_ASSERT(read("contracts = [\"base\", \"pressure\"]\n")->limitsEngineRequests);
    }

    void regionsOfZonesAreRead()
    {
        const auto settings = read("[zones]\nz1 = \"north\"\nz2 = \"south\"\n");
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), settings->zoneRegions.size());
        CPPUNIT_ASSERT(settings->zoneRegions.at(ZoneId("z2")) == RegionId("south"));
    }

    void zoneWithoutNameOfItsRegionIsRejected()
    {
        CPPUNIT_ASSERT(!read("[zones]\nz1 = 3\n"));
        CPPUNIT_ASSERT(!read("[zones]\nz1 = \"\"\n"));
    }

private:
    /// Reads a settings file with the required keys and `more` behind the top-level ones.
    Result<platform::NodeSettings> read(const std::string &more)
    {
        std::ofstream(m_path) << "node = \"n\"\nip = \"127.0.0.1\"\nzone = \"z1\"\n"
                              << more
                              << "[listen]\nfront = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n"
                              << "[platform]\naddress = \"127.0.0.1:3\"\n";
        return platform::readSettings(m_path);
    }

    std::string m_path = "/tmp/nodesettingstest-" + std::to_string(::getpid()) + ".toml";
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);
