// standin-service: takes the place of a dispatch or booking service and counts its runs.
#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include "common/program.h"
#include "standin-service/serviceserver.h"

using namespace comfrey;
using namespace comfrey::standin;

int main(int argc, char **argv)
{
    ServiceOptions options;
    TCLAP::CmdLine line("Stand-in of a plain service that counts its runs", ' ', "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to serve on", false, "127.0.0.1:0",
                                        "IP:PORT", line);
    TCLAP::ValueArg<int> delay("", "delay-ms", "Time of a call", false, 0, "MS", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of random faults", false, 1, "SEED",
                                        line);
    line.parse(argc, argv);
    options.faults.delay = std::chrono::milliseconds(delay.getValue());
    options.seed = seed.getValue();
    startLogging("standin-service");
    blockStopSignals();
    ServiceServer server(options);
    const Result<int> port = server.start(listen.getValue());
    if (!port) {
        LOG(ERROR) << "event=start-failed reason=\"" << port.error().text << "\"";
        exitNow(1);
    }
    announceReady("standin-service", listen.getValue(), *port);
    const int signal = waitForStopSignal();
    LOG(INFO) << "event=stopped signal=" << signal;
    exitNow(0);
}
