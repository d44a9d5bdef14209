// standin-engine: takes the place of a model engine with continuous batching and a prefix cache.
#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include "common/program.h"
#include "standin-engine/engineserver.h"

using namespace comfrey;
using namespace comfrey::standin;

namespace {

struct Arguments
{
    std::string listen;
    EngineOptions options;
};

Arguments parseArguments(int argc, char **argv)
{
    Arguments result;
    EngineOptions &options = result.options;
    TCLAP::CmdLine line("Stand-in of a model engine", ' ', "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to serve on", false, "127.0.0.1:0",
                                        "IP:PORT", line);
    TCLAP::MultiArg<std::string> models("", "model", "Model that is loaded at the start", false,
                                        "MODEL", line);
    TCLAP::ValueArg<std::size_t> slots("", "slots", "Requests that run at once", false,
                                       options.model.slots, "COUNT", line);
    TCLAP::ValueArg<std::size_t> queue("", "queue-limit", "Requests that may wait", false,
                                       options.model.queueLimit, "COUNT", line);
    TCLAP::ValueArg<Tokens> cache("", "cache-tokens", "Memory of the prefix cache", false,
                                  options.model.cacheTokens, "TOKENS", line);
    TCLAP::ValueArg<double> scale("", "time-scale", "Factor on all modelled times", false, 1,
                                  "FACTOR", line);
    TCLAP::ValueArg<int> lag("", "report-lag-ms", "Age of load reports", false, 0, "MS", line);
    TCLAP::ValueArg<double> loss("", "cache-event-loss", "Share of cache events never reported",
                                 false, options.cacheEventLoss, "SHARE", line);
    TCLAP::SwitchArg ignores("", "ignore-fencing", "Take orders with old fencing numbers", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of random gaps", false, 1, "SEED", line);
    line.parse(argc, argv);
    result.listen = listen.getValue();
    options.models = models.getValue();
    options.model.slots = slots.getValue();
    options.model.queueLimit = queue.getValue();
    options.model.cacheTokens = cache.getValue();
    options.model.timeScale = scale.getValue();
    options.faults.reportLag = std::chrono::milliseconds(lag.getValue());
    options.cacheEventLoss = loss.getValue();
    options.checksFencing = !ignores.getValue();
    options.seed = seed.getValue();
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = parseArguments(argc, argv);
    startLogging("standin-engine");
    blockStopSignals();
    EngineServer server(arguments.options);
    const Result<int> port = server.start(arguments.listen);
    if (!port) {
        LOG(ERROR) << "event=start-failed reason=\"" << port.error().text << "\"";
        exitNow(1);
    }
    announceReady("standin-engine", arguments.listen, *port);
    const int signal = waitForStopSignal();
    LOG(INFO) << "event=stopped signal=" << signal;
    exitNow(0);
}
