// Publishing a change: nothing is called accepted before it was read back from the log.
#include <iostream>
#include <optional>
#include <random>
#include <thread>

#include "commands.h"
#include "config/changebetween.h"
#include "config/fold.h"
#include "config/validate.h"
#include "report.h"
#include "settings/listsfile.h"
#include "wire/envelope.h"

namespace comfrey::ctl {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kReadBackInterval(50);
constexpr std::chrono::milliseconds kAppendAgainAfter(1000); // when nothing was read back
constexpr std::chrono::milliseconds kStatusInterval(100);

ChangeId newChangeId()
{
    std::random_device device;
    const std::uint64_t high = device();
    return ChangeId("change-" + std::to_string((high << 32U) | device()));
}

/// Appends the change until the fold has met it or the time is over. A second append of the same
/// change id is harmless.
Result<SeenChange> appendAndReadBack(const PlatformClient &platform, LogFollower &follower,
                                     const record::ChangeT &change, Clock::time_point deadline)
{
    const ChangeId id(change.changeId);
    const Bytes payload = encodeRecord(recordOf(change));
    std::optional<Clock::time_point> appendedAt;
    bool mayBeInLog = false;
    while (Clock::now() < deadline) {
        if (!appendedAt || Clock::now() >= *appendedAt + kAppendAgainAfter) {
            appendedAt = Clock::now();
            if (platform.append(StreamId("config"), payload) != AppendResult::Refused)
                mayBeInLog = true;
        }
        const Result<void> read = platform.follow(follower);
        if (const SeenChange *seen = follower.state().find(id); read && seen != nullptr)
            return *seen;
        std::this_thread::sleep_for(kReadBackInterval);
    }
    if (!mayBeInLog)
        return failure(ErrorCode::Unavailable,
                       "the platform's log took no append of change \"" + id.value()
                           + "\": it is certainly not published");
    return failure(ErrorCode::Unknown,
                   "it is not known whether change \"" + id.value()
                       + "\" was accepted; publish again with --change-id " + id.value());
}

/// Names of the live routers that have not applied the revision yet.
Result<std::vector<std::string>> routersBehind(const PlatformClient &platform, Revision revision)
{
    const Result<std::vector<RouterAddress>> routers = platform.routers();
    if (!routers)
        return tl::make_unexpected(routers.error());
    std::vector<std::string> behind;
    for (const RouterAddress &router : *routers) {
        const Result<nlohmann::json> dump = fetchDump(router);
        const nlohmann::json config =
            dump ? dump->value("config", nlohmann::json::object()) : nlohmann::json::object();
        if (config.value("revision", std::uint64_t(0)) < revision.value())
            behind.push_back(router.id.value());
    }
    return behind;
}

/// Prints what became of the change, and waits for the routers if that is asked for.
class PublishReport
{
public:
    PublishReport(const Options &options, Clock::time_point deadline)
        : m_options(options), m_deadline(deadline)
    { }

    ExitCode finish(const SeenChange &seen)
    {
        m_json["change_id"] = seen.change.value();
        m_json["offset"] = seen.offset.value();
        if (!seen.refusal.empty()) {
            m_json["result"] = "refused";
            m_json["error"] = seen.refusal;
            return print("refused: " + seen.refusal, ExitCode::Refused);
        }
        m_json["result"] = "accepted";
        m_json["revision"] = seen.revision.value();
        const std::string accepted = "accepted: change \"" + seen.change.value() + "\" is revision "
            + std::to_string(seen.revision.value());
        if (!m_options.wait)
            return print(accepted, ExitCode::Ok);
        return waitForRouters(seen.revision, accepted);
    }

private:
    ExitCode waitForRouters(Revision revision, const std::string &accepted)
    {
        const PlatformClient platform(m_options.platform);
        const Clock::time_point start = Clock::now();
        std::string behindText = "the instance list was not read";
        nlohmann::json behindNames = nlohmann::json::array();
        do {
            const Result<std::vector<std::string>> behind = routersBehind(platform, revision);
            if (behind && behind->empty()) {
                const auto took =
                    std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start);
                m_json["in_force_everywhere"] = true;
                m_json["in_force_after_ms"] = took.count();
                return print(accepted + ", in force on every live router after "
                                 + std::to_string(took.count()) + " ms",
                             ExitCode::Ok);
            }
            if (behind) {
                behindNames = *behind;
                behindText = "not yet in force on";
                for (const std::string &name : *behind)
                    behindText += " " + name;
            }
            std::this_thread::sleep_for(kStatusInterval);
        } while (Clock::now() < m_deadline);
        m_json["in_force_everywhere"] = false;
        m_json["behind"] = behindNames;
        return print(accepted + ", " + behindText, ExitCode::Unknown);
    }

    ExitCode print(const std::string &text, ExitCode code)
    {
        if (m_options.asJson)
            printJson(m_json);
        else
            std::cout << text << "\n";
        return code;
    }

    const Options &m_options;
    const Clock::time_point m_deadline;
    nlohmann::json m_json = nlohmann::json::object();
};

ExitCode reportNoDifference(const Options &options, const ConfigState &state)
{
    if (options.asJson)
        printJson({{"result", "nothing"}, {"revision", state.lists.revision.value()}});
    else
        std::cout << "nothing differs from revision " << state.lists.revision.value() << "\n";
    return ExitCode::Ok;
}

} // namespace

ExitCode publishChange(const Options &options)
{
    const Clock::time_point deadline = Clock::now() + options.timeout;
    const Result<Lists> wanted = readListsFiles(options.arguments);
    if (!wanted)
        return reportError(options, wanted.error());
    const PlatformClient platform(options.platform);
    LogFollower follower;
    if (const Result<void> read = platform.follow(follower); !read)
        return reportError(options, read.error());
    PublishReport report(options, deadline);
    const ChangeId id = options.changeId.empty() ? newChangeId() : ChangeId(options.changeId);
    if (const SeenChange *seen = follower.state().find(id); seen != nullptr)
        return report.finish(*seen);
    const Result<record::ChangeT> change =
        changeBetween(follower.state(), *wanted, id, options.author);
    if (!change)
        return reportError(options, change.error());
    if (isEmpty(*change))
        return reportNoDifference(options, follower.state());
    if (const Result<Lists> valid = validate(*change, follower.state()); !valid)
        return reportError(options, valid.error());
    const Result<SeenChange> seen = appendAndReadBack(platform, follower, *change, deadline);
    if (!seen)
        return reportError(options, seen.error());
    return report.finish(*seen);
}

} // namespace comfrey::ctl
