// Runs one scenario file on a FakeFleet. A file lists steps at times and expectations; the promises
// of the system are checked at the end of every scenario. HACKING.md describes the language.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <toml++/toml.h>

#include "support/fakefleet.h"

namespace comfrey::test {

/// Reads the keys of one table of a scenario and remembers which were read, so that a misspelt key
/// is a fault of the file and never ignored.
class ScenarioTable
{
public:
    explicit ScenarioTable(const toml::table &table) : m_table(table) { }

    std::string text(const std::string &key, const std::string &byDefault = "");
    std::int64_t number(const std::string &key, std::int64_t byDefault = 0);
    double ratio(const std::string &key, double byDefault = 0);
    bool flag(const std::string &key, bool byDefault = false);
    std::set<std::string> names(const std::string &key);
    std::vector<std::int64_t> numbers(const std::string &key);
    Duration time(const std::string &key, std::int64_t byDefaultMs = 0)
    {
        return milliseconds(number(key, byDefaultMs));
    }
    bool has(const std::string &key) const { return m_table.contains(key); }
    /// Keys that nothing has read, for the fault list.
    std::vector<std::string> unread() const;

private:
    const toml::node *node(const std::string &key);

    const toml::table &m_table;
    std::set<std::string> m_read;
};

/// Follows the configuration of each router: it never goes back, and equal revisions are equal.
class ConfigWatch
{
public:
    void look(FakeFleet &fleet);
    void published(TimePoint now) { m_publishedAt.push_back(now); }
    const std::vector<std::string> &faults() const { return m_faults; }
    /// Lowest revision on a running router at the last look.
    std::uint64_t lowestRevision() const { return m_lowest; }
    /// Longest time from a publishing until every running router had it; expects every published
    /// change to be accepted.
    Duration slowestInForce() const { return m_slowest; }

private:
    struct Seen
    {
        std::uint64_t incarnation = 0;
        std::uint64_t revision = 0;
        std::uint64_t offset = 0;
    };

    std::map<std::string, Seen> m_seen;
    std::map<std::uint64_t, std::string> m_digests; ///< By revision.
    std::vector<TimePoint> m_publishedAt;           ///< The n-th makes the n-th revision.
    std::uint64_t m_inForce = 0;
    std::uint64_t m_lowest = 0;
    Duration m_slowest = Duration::zero();
    std::vector<std::string> m_faults;
};

class ScenarioRun
{
public:
    ScenarioRun(const toml::table &document, std::uint64_t seed);

    /// Returns what broke: faults of the file, failed expectations and broken promises.
    std::vector<std::string> run();

    static std::vector<std::int64_t> seedsOf(const toml::table &document);

private:
    using Step = void (ScenarioRun::*)(ScenarioTable &step, TimePoint at);

    static const std::map<std::string, Step> &steps();

    void buildFleet(ScenarioTable &fleet);
    void publishFirstLists();
    void scheduleSteps(const toml::array &list);
    void scheduleExpectations(const toml::array &list);
    void expect(const std::string &measure, const std::string &group, double least, double most);
    double valueOf(const std::string &measure, const std::string &group);
    /// The texts of the group's answers, with their numbers.
    std::string answersOf(const std::string &group) const;
    void checkPromises();
    void watchConfig();
    void noteUnread(const ScenarioTable &table, const std::string &where);
    void submit(const std::string &router, const std::string &group, const Submission &submission);
    std::string routerFor(const std::string &wanted, std::int64_t turn) const;

    void chats(ScenarioTable &step, TimePoint at);
    void calls(ScenarioTable &step, TimePoint at);
    void crash(ScenarioTable &step, TimePoint at);
    void restart(ScenarioTable &step, TimePoint at);
    void flap(ScenarioTable &step, TimePoint at);
    void pause(ScenarioTable &step, TimePoint at);
    void leave(ScenarioTable &step, TimePoint at);
    void stop(ScenarioTable &step, TimePoint at);
    void engineFault(ScenarioTable &step, TimePoint at);
    void serviceFault(ScenarioTable &step, TimePoint at);
    void logFault(ScenarioTable &step, TimePoint at);
    void netFault(ScenarioTable &step, TimePoint at);
    void cut(ScenarioTable &step, TimePoint at);
    void heal(ScenarioTable &step, TimePoint at);
    void instances(ScenarioTable &step, TimePoint at);
    void publish(ScenarioTable &step, TimePoint at);

    const toml::table &m_document;
    FakeFleet m_fleet;
    TimePoint m_start;
    ConfigWatch m_config;
    std::vector<std::string> m_routers;
    std::map<std::string, std::vector<RequestId>> m_groups;
    std::uint64_t m_lastName = 0;
    std::vector<std::string> m_faults;
};

} // namespace comfrey::test
