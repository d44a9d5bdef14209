// The commands of comfreyctl. Each prints its result and returns the exit code.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "exitcode.h"
#include "platformclient.h"

namespace comfrey::ctl {

struct Options
{
    Endpoint platform;
    std::vector<std::string> arguments; ///< After the command's name.
    bool asJson = false;
    bool wait = false;
    std::string changeId; ///< Empty: a new one is made.
    std::string author;
    std::chrono::milliseconds timeout = std::chrono::seconds(10);
    std::uint32_t partitions = 0; ///< Streams of claims.
    std::string inForceFile;      ///< check: compared with instead of the platform's version.
};

ExitCode validateFiles(const Options &options);
/// Prints the faults of lists or of a configuration of the platform's operator, and the differences
/// from the version in force if the options name one.
ExitCode checkConfiguration(const Options &options);
ExitCode showDifference(const Options &options);
ExitCode publishChange(const Options &options);
ExitCode showLists(const Options &options);
ExitCode showHistory(const Options &options);
ExitCode showStatus(const Options &options);
ExitCode showDumps(const Options &options);
ExitCode showClaim(const Options &options);

/// Prints the error as text or JSON.
ExitCode reportError(const Options &options, const Error &error);
void printJson(const nlohmann::json &value);

} // namespace comfrey::ctl
