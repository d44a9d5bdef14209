// Runs every registered CppUnit test and prints one closing line that CI reads.
#include <iostream>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

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
    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
