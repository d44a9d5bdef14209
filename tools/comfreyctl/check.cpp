// The command `check`: faults of a configuration before it is sent, and what it would change.
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include "commands.h"
#include "config/changebetween.h"
#include "configcheck/fleetconfigcheck.h"
#include "configcheck/listscheck.h"
#include "decoders.h"
#include "report.h"
#include "settings/listsfile.h"
#include "storeclient.h"

namespace comfrey::ctl {

namespace {

Result<std::string> readFile(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
        return failure(ErrorCode::NotFound, "cannot read file " + name);
    return std::string(std::istreambuf_iterator<char>(file), {});
}

Result<FleetConfig> decodeConfigOf(const std::string &source, const std::string &json)
{
    auto config = platform::decodeConfig(json);
    if (!config)
        return failure(ErrorCode::InvalidList, source + ": " + config.error().text);
    return config;
}

Result<FleetConfig> readConfigFile(const std::string &name)
{
    const Result<std::string> text = readFile(name);
    if (!text)
        return tl::make_unexpected(text.error());
    return decodeConfigOf(name, *text);
}

/// The version in force; nothing if the options name none to compare with.
Result<std::optional<FleetConfig>> configInForce(const Options &options)
{
    if (options.inForceFile.empty() && options.platform.isEmpty())
        return std::optional<FleetConfig>();
    if (!options.inForceFile.empty()) {
        auto config = readConfigFile(options.inForceFile);
        if (!config)
            return tl::make_unexpected(config.error());
        return std::optional<FleetConfig>(std::move(*config));
    }
    const Result<std::string> json = fetchConfigInForce(options.platform);
    if (!json)
        return tl::make_unexpected(json.error());
    auto config = decodeConfigOf("the version in force", *json);
    if (!config)
        return tl::make_unexpected(config.error());
    return std::optional<FleetConfig>(std::move(*config));
}

const char *nameOf(ConfigDifference::Change change)
{
    switch (change) {
    case ConfigDifference::Change::Added:
        return "added";
    case ConfigDifference::Change::Removed:
        return "removed";
    case ConfigDifference::Change::Changed:
        return "changed";
    }
    return "changed";
}

/// Findings and differences, as text or JSON.
class CheckReport
{
public:
    void add(const Findings &findings)
    {
        m_hasErrors = m_hasErrors || hasErrors(findings);
        for (const Finding &finding : findings) {
            m_json["findings"].push_back({{"kind", comfrey::nameOf(finding.kind)},
                                          {"entry", finding.entry},
                                          {"text", finding.text}});
            m_text += std::string(comfrey::nameOf(finding.kind)) + ": " + finding.entry + ": "
                + finding.text + "\n";
        }
    }

    void add(const std::vector<ConfigDifference> &changes)
    {
        m_json["differences"] = nlohmann::json::array();
        for (const ConfigDifference &change : changes) {
            m_json["differences"].push_back({{"change", nameOf(change.change)},
                                             {"entry", change.entry},
                                             {"fields", change.fields}});
            m_text += std::string(nameOf(change.change)) + ": " + change.entry + "\n";
            for (const std::string &field : change.fields)
                m_text += "  " + field + "\n";
        }
        if (changes.empty())
            m_text += "nothing differs from the version in force\n";
    }

    void add(const record::ChangeT &change)
    {
        m_json["differences"] = toJson(change);
        m_text += isEmpty(change) ? "nothing differs from the lists in force\n" : toText(change);
    }

    ExitCode print(const Options &options)
    {
        if (m_json["findings"].empty())
            m_text = "no fault found\n" + m_text;
        m_json["sendable"] = !m_hasErrors;
        if (options.asJson)
            printJson(m_json);
        else
            std::cout << m_text;
        return m_hasErrors ? ExitCode::Refused : ExitCode::Ok;
    }

private:
    nlohmann::json m_json = {{"findings", nlohmann::json::array()}};
    std::string m_text;
    bool m_hasErrors = false;
};

ExitCode checkPlatformConfig(const Options &options)
{
    CheckReport report;
    const Result<FleetConfig> wanted = readConfigFile(options.arguments.front());
    if (!wanted) {
        if (wanted.error().code == ErrorCode::NotFound)
            return reportError(options, wanted.error());
        report.add({{FindingKind::Error, "configuration", wanted.error().text}});
        return report.print(options);
    }
    report.add(checkFleetConfig(*wanted));
    const Result<std::optional<FleetConfig>> inForce = configInForce(options);
    if (!inForce)
        return reportError(options, inForce.error());
    if (*inForce) {
        report.add(checkSuccessor(**inForce, *wanted));
        report.add(differences(**inForce, *wanted));
    }
    return report.print(options);
}

/// The lists in force as the state of the log; nothing if the options name none.
Result<std::optional<ConfigState>> listsInForce(const Options &options)
{
    if (!options.inForceFile.empty()) {
        Result<Lists> lists = readListsFiles({options.inForceFile});
        if (!lists)
            return tl::make_unexpected(lists.error());
        ConfigState state;
        state.lists = std::move(*lists);
        return std::optional<ConfigState>(std::move(state));
    }
    if (options.platform.isEmpty())
        return std::optional<ConfigState>();
    LogFollower follower;
    if (const Result<void> read = PlatformClient(options.platform).follow(follower); !read)
        return tl::make_unexpected(read.error());
    return std::optional<ConfigState>(follower.state());
}

ExitCode checkListFiles(const Options &options)
{
    CheckReport report;
    Result<Lists> wanted = readListsFiles(options.arguments);
    if (!wanted) {
        if (wanted.error().code == ErrorCode::NotFound)
            return reportError(options, wanted.error());
        report.add({{FindingKind::Error, "lists", wanted.error().text}});
        return report.print(options);
    }
    report.add(checkLists(*wanted));
    const Result<std::optional<ConfigState>> inForce = listsInForce(options);
    if (!inForce)
        return reportError(options, inForce.error());
    if (*inForce) {
        // A file has no revisions of its entries, so conflicts cannot be found there.
        if (!options.inForceFile.empty())
            wanted->revision = Revision();
        const auto change = changeBetween(**inForce, *wanted, ChangeId("check"), options.author);
        if (change)
            report.add(*change);
        else
            report.add({{FindingKind::Error, "lists", change.error().text}});
    }
    return report.print(options);
}

} // namespace

ExitCode checkConfiguration(const Options &options)
{
    const bool isPlatformConfig = options.arguments.front().ends_with(".json");
    if (isPlatformConfig && options.arguments.size() > 1)
        return reportError(options,
                           {ErrorCode::InvalidList, "a configuration in JSON is one file"});
    return isPlatformConfig ? checkPlatformConfig(options) : checkListFiles(options);
}

} // namespace comfrey::ctl
