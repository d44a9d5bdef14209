// The scenario runner itself: a scenario that should fail does.
#include <cppunit/extensions/HelperMacros.h>

#include "support/scenario.h"

using namespace comfrey::test;

class ScenarioRunTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ScenarioRunTest);
    CPPUNIT_TEST(scenarioWithMisspeltKeyFails);
    CPPUNIT_TEST(scenarioWithUnknownStepFails);
    CPPUNIT_TEST(scenarioWithUnknownMeasureFails);
    CPPUNIT_TEST(scenarioWithUnmetExpectationFails);
    CPPUNIT_TEST(scenarioThatEndsBeforeItsAnswersBreaksPromise);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::string faultsOf(const std::string &text)
    {
        const toml::table document = toml::parse("length_ms = 2000\n" + text);
        std::string all;
        for (const std::string &fault : ScenarioRun(document, 1).run())
            all += fault + "\n";
        return all;
    }

    void scenarioWithMisspeltKeyFails()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("unknown key \"cuont\" in step \"chats\"\n"),
                             faultsOf("[[steps]]\ndo = \"chats\"\ncount = 0\ncuont = 3\n"));
    }

    void scenarioWithUnknownStepFails()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("unknown step \"chat\"\n"),
                             faultsOf("[[steps]]\ndo = \"chat\"\n"));
    }

    void scenarioWithUnknownMeasureFails()
    {
        CPPUNIT_ASSERT(!faultsOf("[[expect]]\nmeasure = \"answerd\"\nmost = 5\n").empty());
    }

    void scenarioWithUnmetExpectationFails()
    {
        CPPUNIT_ASSERT(!faultsOf("[[expect]]\nmeasure = \"answered\"\nleast = 1\n").empty());
    }

    void scenarioThatEndsBeforeItsAnswersBreaksPromise()
    {
        const std::string faults = faultsOf("[[steps]]\nat_ms = 1900\ndo = \"chats\"\n");
        CPPUNIT_ASSERT_EQUAL(std::string("promise: 1 callers without an outcome\n"), faults);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioRunTest);
