// What every program's main does alike: logs to stderr, stop signals, and the line that tells its
// address.
#pragma once

#include <string>

namespace comfrey {

/// glog to stderr, one line per event.
void startLogging(const char *program);

/// Blocks SIGTERM and SIGINT for this and all later threads, and ignores SIGPIPE. Call before any
/// thread starts.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT; returns its number.
int waitForStopSignal();

/// Prints "ready NAME=IP:port" to stdout, for scripts that start the program with port 0.
void announceReady(const std::string &name, const std::string &listenAddress, int port);

/// Ends the process with `code` after its logs are flushed, without waiting for threads that serve
/// idle connections.
[[noreturn]] void exitNow(int code);

} // namespace comfrey
