// comfrey-load: sends a workload to the routers, checks every answer, and reports the measures.
#include <fstream>
#include <iostream>
#include <thread>

#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include "comfrey-load/faultinjector.h"
#include "comfrey-load/report.h"
#include "comfrey-load/runner.h"
#include "common/program.h"
#include "settings/listsfile.h"

using namespace comfrey;
using namespace comfrey::load;

namespace {

struct Arguments
{
    std::vector<std::string> workloads;
    std::vector<Endpoint> routers;
    FaultTargets targets;
    std::uint64_t seed = 1;
    double timeScale = 1;
    std::size_t maxThreads = 600;
    std::string jsonFile;
    bool printsLists = false;
    bool printsSizes = false;
};

std::vector<Endpoint> endpoints(const TCLAP::MultiArg<std::string> &argument)
{
    return {argument.getValue().begin(), argument.getValue().end()};
}

Arguments parseArguments(int argc, char **argv)
{
    Arguments result;
    TCLAP::CmdLine line("Open-loop load with checked answers", ' ', "0.1");
    TCLAP::UnlabeledMultiArg<std::string> workloads(
        "workload", "Workload files; later ones add to earlier ones", true, "FILE", line);
    TCLAP::MultiArg<std::string> routers("", "router", "Callers' address of a router", false,
                                         "IP:PORT", line);
    TCLAP::MultiArg<std::string> engines("", "engine", "Engine, to switch faults", false, "IP:PORT",
                                         line);
    TCLAP::MultiArg<std::string> services("", "service", "Service, to switch faults and count runs",
                                          false, "IP:PORT", line);
    TCLAP::ValueArg<std::string> platform("", "platform", "Platform, to switch faults", false, "",
                                          "IP:PORT", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the schedule", false, 1, "SEED", line);
    TCLAP::ValueArg<double> scale("", "time-scale", "Wall time of a model second", false, 1,
                                  "SECONDS", line);
    TCLAP::ValueArg<std::size_t> threads("", "max-threads", "Callers at once", false, 600, "COUNT",
                                         line);
    TCLAP::ValueArg<std::string> json("", "json", "Writes all figures here", false, "", "FILE",
                                      line);
    TCLAP::SwitchArg lists("", "print-lists", "Prints the lists for the routers and ends", line);
    TCLAP::SwitchArg sizes("", "print-sizes", "Prints the fleet's sizes and ends", line);
    line.parse(argc, argv);
    result.workloads = workloads.getValue();
    result.routers = endpoints(routers);
    result.targets = {endpoints(engines), endpoints(services), Endpoint(platform.getValue())};
    result.seed = seed.getValue();
    result.timeScale = scale.getValue();
    result.maxThreads = threads.getValue();
    result.jsonFile = json.getValue();
    result.printsLists = lists.getValue();
    result.printsSizes = sizes.getValue();
    return result;
}

void printSizes(const Workload &workload)
{
    std::cout << "routers=" << workload.routers << " engines=" << workload.engines
              << " slots=" << workload.slots << " zones=" << workload.zones
              << " services=" << workload.services << " cache_tokens=" << workload.cacheTokens
              << " model=" << workload.organisations.front().model;
    for (const ServiceLoad &service : workload.serviceLoads)
        std::cout << " service=" << service.name;
    std::cout << '\n';
}

nlohmann::json runWorkload(const Arguments &arguments, const Workload &workload)
{
    const std::vector<PlannedRequest> requests = planRequests(workload, arguments.seed);
    Balancer balancer(arguments.routers, arguments.seed);
    const Caller caller(workload, balancer, arguments.timeScale);
    const FaultInjector injector(workload, arguments.targets, arguments.seed);
    Runner runner(caller, arguments.maxThreads, arguments.timeScale);
    const SteadyTime start = std::chrono::steady_clock::now();
    const std::jthread faults([&] { injector.run(start, arguments.timeScale); });
    RunResult result = runner.run(requests, start);
    RunFacts facts;
    facts.timeScale = arguments.timeScale;
    facts.seed = arguments.seed;
    facts.services = arguments.targets.services;
    facts.latenessMs = std::move(result.latenessMs);
    return makeReport(workload, requests, result.samples, facts);
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = parseArguments(argc, argv);
    startLogging("comfrey-load");
    const Result<Workload> workload = readWorkload(arguments.workloads);
    if (!workload) {
        std::cerr << workload.error().text << '\n';
        return 2;
    }
    if (arguments.printsLists) {
        std::cout << listsToToml(listsOf(*workload, arguments.timeScale));
        return 0;
    }
    if (arguments.printsSizes) {
        printSizes(*workload);
        return 0;
    }
    if (arguments.routers.empty()) {
        std::cerr << "no --router is given\n";
        return 2;
    }
    const nlohmann::json report = runWorkload(arguments, *workload);
    std::cout << reportTable(report);
    if (!arguments.jsonFile.empty())
        std::ofstream(arguments.jsonFile) << report.dump(1) << '\n';
    return 0;
}
