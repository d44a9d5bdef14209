#include "common/program.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <glog/logging.h>

#include "common/endpoint.h"

namespace comfrey {

namespace {

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void startLogging(const char *program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

void blockStopSignals()
{
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int waitForStopSignal()
{
    const sigset_t set = stopSignals();
    int signal = 0;
    sigwait(&set, &signal);
    return signal;
}

void announceReady(const std::string &name, const std::string &listenAddress, int port)
{
    const Result<HostPort> parsed = parseEndpoint(listenAddress);
    const std::string host = parsed ? parsed->host : listenAddress;
    std::cout << "ready " << name << "=" << host << ":" << port << std::endl; // flushed for readers
}

void exitNow(int code)
{
    google::FlushLogFiles(google::INFO);
    std::cout.flush();
    std::_Exit(code);
}

} // namespace comfrey
