// The commands that only read.
#include "commands.h"

#include <iostream>

#include "config/changebetween.h"
#include "config/validate.h"
#include "outcome/claimtable.h"
#include "report.h"
#include "settings/listsfile.h"
#include "wire/envelope.h"

namespace comfrey::ctl {

namespace {

const char *nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

Result<ClaimTable> readClaims(const PlatformClient &platform, const StreamId &stream)
{
    ClaimTable table;
    LogOffset next(1);
    while (true) {
        const Result<LogRead> read = platform.read(stream, next);
        if (!read)
            return tl::make_unexpected(read.error());
        if (read->firstOffset > next) {
            table.restart(0);
            next = read->firstOffset;
        }
        for (const LogRecord &item : read->records) {
            if (const Result<record::RecordT> record = decodeRecord(item.payload); record)
                table.apply(item.offset, *record);
            next = item.offset.next();
        }
        if (read->records.empty() || next >= read->endOffset)
            return table;
    }
}

nlohmann::json toJson(const ClaimState &state)
{
    nlohmann::json json = {{"router", state.holder.router.value()},
                           {"incarnation", state.holder.incarnation.value()},
                           {"offset", state.offset.value()},
                           {"outcome", "none recorded"}};
    if (state.outcome) {
        json["outcome"] = nameOf(state.outcome->outcome);
        json["outcome_offset"] = state.outcome->offset.value();
        json["status"] = state.outcome->status;
    }
    return json;
}

} // namespace

void printJson(const nlohmann::json &value)
{
    std::cout << value.dump(2) << "\n";
}

ExitCode reportError(const Options &options, const Error &error)
{
    const ExitCode code = exitCodeOf(error);
    if (options.asJson)
        printJson({{"error", error.text}, {"exit_code", static_cast<int>(code)}});
    else
        std::cerr << error.text << "\n";
    return code;
}

ExitCode validateFiles(const Options &options)
{
    const Result<Lists> lists = readListsFiles(options.arguments);
    if (!lists)
        return reportError(options, lists.error());
    if (const Result<void> valid = validateLists(*lists); !valid)
        return reportError(options, valid.error());
    if (options.asJson)
        printJson({{"valid", true},
                   {"plans", lists->plans.size()},
                   {"entitlements", lists->entitlements.size()}});
    else
        std::cout << "valid: " << lists->plans.size() << " plans, " << lists->entitlements.size()
                  << " entitlements\n";
    return ExitCode::Ok;
}

ExitCode showDifference(const Options &options)
{
    const Result<Lists> wanted = readListsFiles(options.arguments);
    if (!wanted)
        return reportError(options, wanted.error());
    LogFollower follower;
    if (const Result<void> read = PlatformClient(options.platform).follow(follower); !read)
        return reportError(options, read.error());
    const Result<record::ChangeT> change =
        changeBetween(follower.state(), *wanted, ChangeId("diff"), options.author);
    if (!change)
        return reportError(options, change.error());
    if (const Result<Lists> valid = validate(*change, follower.state()); !valid)
        return reportError(options, valid.error());
    if (options.asJson)
        printJson(toJson(*change));
    else
        std::cout << (isEmpty(*change) ? "nothing differs\n" : toText(*change));
    return ExitCode::Ok;
}

ExitCode showLists(const Options &options)
{
    LogFollower follower;
    if (const Result<void> read = PlatformClient(options.platform).follow(follower); !read)
        return reportError(options, read.error());
    if (options.asJson)
        printJson(toJson(follower.state().lists));
    else
        std::cout << listsToToml(follower.state().lists);
    return ExitCode::Ok;
}

ExitCode showHistory(const Options &options)
{
    LogFollower follower;
    if (const Result<void> read = PlatformClient(options.platform).follow(follower); !read)
        return reportError(options, read.error());
    nlohmann::json all = nlohmann::json::array();
    for (const SeenChange &seen : follower.state().seen) {
        const bool accepted = seen.refusal.empty();
        if (!options.asJson)
            std::cout << "offset " << seen.offset.value() << "  "
                      << (accepted ? "revision " + std::to_string(seen.revision.value())
                                   : std::string("refused"))
                      << "  " << seen.change.value() << "  by " << seen.author
                      << (accepted ? "" : "  " + seen.refusal) << "\n";
        all.push_back({{"offset", seen.offset.value()},
                       {"revision", seen.revision.value()},
                       {"change_id", seen.change.value()},
                       {"author", seen.author},
                       {"refusal", seen.refusal}});
    }
    if (options.asJson)
        printJson(all);
    return ExitCode::Ok;
}

ExitCode showStatus(const Options &options)
{
    const Result<std::vector<RouterAddress>> routers = PlatformClient(options.platform).routers();
    if (!routers)
        return reportError(options, routers.error());
    ExitCode code = ExitCode::Ok;
    nlohmann::json all = nlohmann::json::array();
    for (const RouterAddress &router : *routers) {
        const Result<nlohmann::json> dump = fetchDump(router);
        nlohmann::json line = {{"router", router.id.value()}, {"reachable", dump.has_value()}};
        if (dump) {
            const nlohmann::json config = dump->value("config", nlohmann::json::object());
            line["ready"] = dump->value("ready", false);
            line["revision"] = config.value("revision", std::uint64_t(0));
            line["offset"] = config.value("offset", std::uint64_t(0));
        } else {
            code = ExitCode::Unreachable;
        }
        if (!options.asJson)
            std::cout << router.id.value()
                      << (dump ? "  revision " + line["revision"].dump() + "  offset "
                                  + line["offset"].dump() + "  ready " + line["ready"].dump()
                               : "  " + dump.error().text)
                      << "\n";
        all.push_back(std::move(line));
    }
    if (options.asJson)
        printJson(all);
    return code;
}

ExitCode showDumps(const Options &options)
{
    const Result<std::vector<RouterAddress>> routers = PlatformClient(options.platform).routers();
    if (!routers)
        return reportError(options, routers.error());
    const std::string wanted = options.arguments.empty() ? "" : options.arguments.front();
    nlohmann::json all = nlohmann::json::object();
    ExitCode code = ExitCode::Ok;
    for (const RouterAddress &router : *routers) {
        if (!wanted.empty() && router.id.value() != wanted)
            continue;
        const Result<nlohmann::json> dump = fetchDump(router);
        all[router.id.value()] = dump ? *dump : nlohmann::json{{"error", dump.error().text}};
        if (!dump)
            code = ExitCode::Unreachable;
    }
    if (!wanted.empty() && all.empty())
        return reportError(options,
                           {ErrorCode::NotFound, "router \"" + wanted + "\" is not in the list"});
    printJson(all);
    return code;
}

ExitCode showClaim(const Options &options)
{
    const ClaimKey key{CustomerId(options.arguments.at(0)),
                       IdempotencyKey(options.arguments.at(1))};
    const StreamId stream = claimStream(partitionOf(key, options.partitions));
    const Result<ClaimTable> table = readClaims(PlatformClient(options.platform), stream);
    if (!table)
        return reportError(options, table.error());
    const ClaimState *state = table->find(key);
    if (state == nullptr)
        return reportError(options,
                           {ErrorCode::NotFound,
                            "stream \"" + stream.value() + "\" holds no claim of customer \""
                                + key.customer.value() + "\" with key \"" + key.key.value() + '"'});
    nlohmann::json json = toJson(*state);
    json["stream"] = stream.value();
    if (options.asJson)
        printJson(json);
    else
        std::cout << stream.value() << "  offset " << json["offset"] << "  router "
                  << state->holder.router.value() << "  outcome "
                  << json["outcome"].get<std::string>() << "\n";
    return ExitCode::Ok;
}

} // namespace comfrey::ctl
