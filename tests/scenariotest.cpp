// One test case for each file of scenarios/, run with each of its seeds.
#include <algorithm>
#include <filesystem>

#include <cppunit/TestCase.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/HelperMacros.h>

#include "support/scenario.h"

using namespace comfrey::test;

namespace {

class ScenarioCase : public CppUnit::TestCase
{
public:
    explicit ScenarioCase(const std::filesystem::path &file)
        : CppUnit::TestCase("ScenarioTest::" + file.stem().string()), m_file(file.string())
    { }

    void runTest() override
    {
        const toml::table document = toml::parse_file(m_file);
        for (const std::int64_t seed : ScenarioRun::seedsOf(document)) {
            std::string text;
            for (const std::string &fault :
                 ScenarioRun(document, static_cast<std::uint64_t>(seed)).run())
                text += "\n  seed " + std::to_string(seed) + ": " + fault;
            CPPUNIT_ASSERT_MESSAGE(m_file + text, text.empty());
        }
    }

private:
    std::string m_file;
};

class ScenarioTest
{
public:
    static CppUnit::Test *suite()
    {
        std::vector<std::filesystem::path> files;
        for (const auto &entry : std::filesystem::directory_iterator(SCENARIO_FOLDER))
            files.push_back(entry.path());
        std::sort(files.begin(), files.end());
        auto *all = new CppUnit::TestSuite("ScenarioTest");
        for (const auto &file : files)
            all->addTest(new ScenarioCase(file));
        return all;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioTest);

} // namespace
