// standin-platform: takes the place of the platform's log, list of instances and weight store.
#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include "common/program.h"
#include "standin-platform/platformserver.h"

using namespace comfrey;
using namespace comfrey::standin;

namespace {

struct Arguments
{
    std::string listen;
    PlatformOptions options;
};

Arguments parseArguments(int argc, char **argv)
{
    Arguments result;
    LogLimits &log = result.options.log;
    TCLAP::CmdLine line("Stand-in of the platform: log, list of instances, weight store", ' ',
                        "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to serve on", false, "127.0.0.1:0",
                                        "IP:PORT", line);
    TCLAP::ValueArg<std::size_t> retention("", "retention", "Records kept by stream", false,
                                           log.recordsKept, "RECORDS", line);
    TCLAP::ValueArg<double> appends("", "appends-per-second", "Appends a second over all streams",
                                    false, log.appendsPerSecond, "RATE", line);
    TCLAP::ValueArg<double> weights("", "weight-fetches-per-minute", "Weight fetches a minute",
                                    false, result.options.weightFetchesPerMinute, "RATE", line);
    TCLAP::ValueArg<int> lag("", "instances-lag-ms", "Age of the list of instances", false, 0, "MS",
                             line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of random faults", false, 1, "SEED",
                                        line);
    line.parse(argc, argv);
    result.listen = listen.getValue();
    log.recordsKept = std::max<std::size_t>(1, retention.getValue());
    log.appendsPerSecond = appends.getValue();
    result.options.weightFetchesPerMinute = weights.getValue();
    result.options.faults.instancesLag = std::chrono::milliseconds(lag.getValue());
    result.options.seed = seed.getValue();
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = parseArguments(argc, argv);
    startLogging("standin-platform");
    blockStopSignals();
    PlatformServer server(arguments.options);
    const Result<int> port = server.start(arguments.listen);
    if (!port) {
        LOG(ERROR) << "event=start-failed reason=\"" << port.error().text << "\"";
        exitNow(1);
    }
    announceReady("standin-platform", arguments.listen, *port);
    const int signal = waitForStopSignal();
    LOG(INFO) << "event=stopped signal=" << signal;
    exitNow(0);
}
