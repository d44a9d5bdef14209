// Runs every registered CppUnit test and prints one closing line that CI reads. A failure that
// KNOWN-RED.txt lists is printed apart and not counted.
#include <fstream>
#include <iostream>
#include <set>
#include <string>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

namespace {

/// Test names in KNOWN-RED.txt: the first word of each line that is no comment.
std::set<std::string> knownRed()
{
    std::set<std::string> names;
    std::ifstream file(std::string(SOURCE_FOLDER) + "/KNOWN-RED.txt");
    for (std::string line; std::getline(file, line);) {
        if (!line.empty() && line.front() != '#' && line.front() != ' ')
            names.insert(line.substr(0, line.find(' ')));
    }
    return names;
}

/// Prints the failures that are known and returns how many they are.
int reportKnownRed(const CppUnit::TestResultCollector &collector)
{
    const std::set<std::string> known = knownRed();
    std::set<std::string> red;
    for (const CppUnit::TestFailure *failure : collector.failures()) {
        if (known.count(failure->failedTestName()) > 0)
            red.insert(failure->failedTestName());
    }
    for (const std::string &name : red)
        std::cout << "known red: " << name << " (see KNOWN-RED.txt)\n";
    return static_cast<int>(red.size());
}

} // namespace

int main(int argc, char **argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    const std::string path = argc > 1 ? argv[1] : "";
    runner.run(controller, path);
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const int red = reportKnownRed(collector);
    const int failed = collector.testFailuresTotal() - red;
    std::cout << collector.runTests() - failed - red << " passed, " << failed << " failed"
              << std::endl;
    return failed == 0 ? 0 : 1;
}
