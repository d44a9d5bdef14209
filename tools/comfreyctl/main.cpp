// comfreyctl: the operators' client. It reads and writes the platform's log and asks routers on
// their operator ports; it needs no router to publish.
#include <array>
#include <iostream>

#include <tclap/CmdLine.h>

#include "comfrey/settings.h"
#include "commands.h"

namespace {

using comfrey::ctl::ExitCode;
using comfrey::ctl::Options;

struct Command
{
    const char *name;
    ExitCode (*run)(const Options &options);
    std::size_t fewestArguments;
    std::size_t mostArguments;
    bool needsPlatform;
};

constexpr std::size_t kManyFiles = 1000;

constexpr std::array<Command, 9> kCommands = {{
    {"validate", comfrey::ctl::validateFiles, 1, kManyFiles, false},
    {"check", comfrey::ctl::checkConfiguration, 1, kManyFiles, false},
    {"diff", comfrey::ctl::showDifference, 1, kManyFiles, true},
    {"publish", comfrey::ctl::publishChange, 1, kManyFiles, true},
    {"show", comfrey::ctl::showLists, 0, 0, true},
    {"history", comfrey::ctl::showHistory, 0, 0, true},
    {"status", comfrey::ctl::showStatus, 0, 0, true},
    {"dump", comfrey::ctl::showDumps, 0, 1, true},
    {"claim", comfrey::ctl::showClaim, 2, 2, true},
}};

constexpr const char *kAbout =
    "Operators' client of comfreylanding.\n"
    "  validate FILE...      check lists without any other process\n"
    "  check FILE...         faults, entries that never match, contradictions, differences\n"
    "  diff FILE...          what publishing the files would change\n"
    "  publish FILE...       make the files' lists the lists in force\n"
    "  show                  the lists in force, as a file to edit\n"
    "  history               the newest changes and what became of them\n"
    "  status                revision in force on each live router\n"
    "  dump [ROUTER]         the state of one router or of all\n"
    "  claim CUSTOMER KEY    who ran a call that may not be repeated, and its outcome\n"
    "Exit codes: 0 done, 1 refused or conflict, 2 usage, 3 not known yet, 4 unreachable";

int usageError(const std::string &text)
{
    std::cerr << "comfreyctl: " << text << "\n";
    return static_cast<int>(ExitCode::Usage);
}

int run(int argc, char **argv)
{
    TCLAP::CmdLine line(kAbout, ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> platform("p", "platform", "Address of the platform", false, "",
                                          "IP:port", line);
    TCLAP::SwitchArg json("j", "json", "Print JSON", line);
    TCLAP::SwitchArg wait("w", "wait", "publish: until every live router has it", line);
    TCLAP::ValueArg<std::string> changeId(
        "c", "change-id", "publish: the change's id; the same again finds out what became of it",
        false, "", "ID", line);
    TCLAP::ValueArg<std::string> author("a", "author", "publish: who makes the change", false,
                                        "operator", "NAME", line);
    TCLAP::ValueArg<int> timeout("t", "timeout-ms", "publish: longest time in all", false, 10000,
                                 "MS", line);
    TCLAP::ValueArg<int> partitions(
        "", "partitions", "claim: outcome.partitions of the routers", false,
        static_cast<int>(comfrey::settings::OutcomeT().partitions), "COUNT", line);
    TCLAP::ValueArg<std::string> inForce(
        "", "in-force", "check: a file that holds the version in force", false, "", "FILE", line);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "Command and its arguments", true,
                                                "COMMAND [ARGUMENT...]", line);
    line.parse(argc, argv);

    const std::string name = words.getValue().front();
    Options options;
    options.arguments.assign(words.getValue().begin() + 1, words.getValue().end());
    options.platform = comfrey::Endpoint(platform.getValue());
    options.asJson = json.getValue();
    options.wait = wait.getValue();
    options.changeId = changeId.getValue();
    options.author = author.getValue();
    options.inForceFile = inForce.getValue();
    options.timeout = std::chrono::milliseconds(timeout.getValue());
    options.partitions = static_cast<std::uint32_t>(partitions.getValue());
    if (timeout.getValue() <= 0 || partitions.getValue() <= 0)
        return usageError("--timeout-ms and --partitions must be over 0");
    for (const Command &command : kCommands) {
        if (name != command.name)
            continue;
        const std::size_t given = options.arguments.size();
        if (given < command.fewestArguments || given > command.mostArguments)
            return usageError("command \"" + name + "\" does not take " + std::to_string(given)
                              + " arguments");
        if (command.needsPlatform && options.platform.isEmpty())
            return usageError("command \"" + name + "\" needs --platform IP:port");
        return static_cast<int>(command.run(options));
    }
    return usageError("unknown command \"" + name + "\"");
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const TCLAP::ArgException &error) {
        return usageError(error.error() + " " + error.argId());
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    }
}
