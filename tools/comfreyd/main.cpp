// comfreyd: the router process. Reads its settings, serves until SIGTERM, stops gracefully.
#include <iostream>

#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include "common/program.h"
#include "daemon/daemon.h"
#include "settings/settingsfile.h"
#include "traffic/allocator.h"

namespace {

constexpr int kExitInvalidSettings = 2;
constexpr int kExitCannotStart = 3;
constexpr int kExitCut = 4; // the stop limit passed with requests in flight

int serve(const comfrey::Settings &settings)
{
    comfrey::blockStopSignals();
    comfrey::Daemon daemon(settings);
    if (const auto started = daemon.start(); !started) {
        LOG(ERROR) << "event=start-failed error=\"" << started.error().text << '"';
        return kExitCannotStart;
    }
    LOG(INFO) << "event=started router=" << settings.router.id
              << " callers=" << settings.router.callerAddress;
    std::cout << "ready " << settings.router.id << '=' << settings.router.callerAddress
              << std::endl;
    comfrey::waitForStopSignal();
    LOG(INFO) << "event=stopping router=" << settings.router.id;
    const bool whole = daemon.stop();
    LOG(INFO) << "event=stopped router=" << settings.router.id << " whole=" << whole;
    comfrey::exitNow(whole ? 0 : kExitCut);
}

} // namespace

int main(int argc, char **argv)
{
    comfrey::startLogging("comfreyd");
    TCLAP::CmdLine commandLine("Router between callers and back ends", ' ', COMFREY_VERSION);
    TCLAP::ValueArg<std::string> config("c", "config", "Settings file (TOML)", true, "", "FILE",
                                        commandLine);
    TCLAP::SwitchArg check("", "check", "Check the settings and end", commandLine);
    commandLine.parse(argc, argv);
    const auto settings = comfrey::readSettings(config.getValue());
    if (!settings) {
        std::cerr << settings.error().text << '\n';
        return kExitInvalidSettings;
    }
    if (check.getValue()) {
        std::cout << config.getValue() << ": the settings are valid\n";
        return 0;
    }
    comfrey::keepAllocatorSmall();
    return serve(*settings);
}
