// The course of a scenario: fleet, steps, expectations, promises.
#include "support/scenario.h"

#include <algorithm>
#include <limits>

#include "support/changes.h"

namespace comfrey::test {

namespace {

constexpr Duration kWatchInterval = milliseconds(100);
constexpr const char *kCustomers[] = {"c1", "c2", "c3"};

} // namespace

ScenarioRun::ScenarioRun(const toml::table &document, std::uint64_t seed)
    : m_document(document), m_fleet(seed), m_start(m_fleet.queue().now())
{ }

std::vector<std::int64_t> ScenarioRun::seedsOf(const toml::table &document)
{
    std::vector<std::int64_t> seeds = ScenarioTable(document).numbers("seeds");
    if (seeds.empty())
        seeds.push_back(1);
    return seeds;
}

std::vector<std::string> ScenarioRun::run()
{
    ScenarioTable top(m_document);
    top.text("about");
    top.numbers("seeds");
    const Duration length = top.time("length_ms", 10000);
    static const toml::table none;
    const toml::table *fleetTable = m_document["fleet"].as_table();
    ScenarioTable fleet(fleetTable == nullptr ? none : *fleetTable);
    top.has("fleet");
    publishFirstLists();
    buildFleet(fleet);
    noteUnread(fleet, "fleet");
    if (const toml::array *list = m_document["steps"].as_array(); list != nullptr)
        scheduleSteps(*list);
    if (const toml::array *list = m_document["expect"].as_array(); list != nullptr)
        scheduleExpectations(*list);
    for (const auto &[key, value] : m_document) {
        static const std::set<std::string> known = {"about", "seeds", "length_ms",
                                                    "fleet", "steps", "expect"};
        if (known.count(std::string(key.str())) == 0)
            m_faults.push_back("unknown key \"" + std::string(key.str()) + '"');
    }
    watchConfig();
    m_fleet.runFor(length);
    checkPromises();
    return m_faults;
}

void ScenarioRun::noteUnread(const ScenarioTable &table, const std::string &where)
{
    for (const std::string &key : table.unread())
        m_faults.push_back(
            std::string("unknown key \"").append(key).append("\" in ").append(where));
}

void ScenarioRun::publishFirstLists()
{
    std::vector<record::PlanT> plans;
    for (const char *customer : kCustomers)
        plans.push_back(plan(customer, "gold"));
    m_fleet.publish(change("first", std::move(plans), {entitlement("gold", {"m1"}, {"dispatch"})}));
    m_config.published(m_start);
}

void ScenarioRun::buildFleet(ScenarioTable &fleet)
{
    const std::int64_t zones = fleet.number("zones", 3);
    const auto zoneOf = [zones](std::int64_t i) {
        return "z" + std::to_string((i - 1) % zones + 1);
    };
    m_fleet.log().setRetention(static_cast<std::size_t>(fleet.number("retention", 100000)));
    m_fleet.log().setAppendRate(static_cast<std::uint32_t>(fleet.number("append_rate", 400)));
    const std::int64_t engines = fleet.number("engines", 4);
    for (std::int64_t i = 1; i <= engines; ++i) {
        EngineOptions options;
        options.id = "e" + std::to_string(i);
        options.zone = zoneOf(i);
        m_fleet.addEngine(options);
    }
    const std::int64_t services = fleet.number("services", 2);
    for (std::int64_t i = 1; i <= services; ++i) {
        ServiceOptions options;
        options.id = "s" + std::to_string(i);
        options.zone = zoneOf(i);
        m_fleet.addService(options);
    }
    const std::int64_t routers = fleet.number("routers", 3);
    for (std::int64_t i = 1; i <= routers; ++i) {
        m_routers.push_back("r" + std::to_string(i));
        m_fleet.addRouter(m_routers.back(), zoneOf(i));
    }
}

void ScenarioRun::scheduleSteps(const toml::array &list)
{
    for (const toml::node &item : list) {
        if (!item.is_table()) {
            m_faults.emplace_back("a step is not a table");
            continue;
        }
        ScenarioTable step(*item.as_table());
        const std::string what = step.text("do");
        const TimePoint at = m_start + step.time("at_ms");
        const auto found = steps().find(what);
        if (found == steps().end()) {
            m_faults.push_back("unknown step \"" + what + '"');
            continue;
        }
        (this->*found->second)(step, at);
        noteUnread(step, "step \"" + what + '"');
    }
}

void ScenarioRun::scheduleExpectations(const toml::array &list)
{
    constexpr double kNoLimit = std::numeric_limits<double>::infinity();
    ScenarioTable top(m_document);
    const std::int64_t end = top.number("length_ms", 10000);
    for (const toml::node &item : list) {
        if (!item.is_table()) {
            m_faults.emplace_back("an expectation is not a table");
            continue;
        }
        ScenarioTable entry(*item.as_table());
        const std::string measure = entry.text("measure");
        const std::string group = entry.text("group");
        const double least = entry.ratio("least", -kNoLimit);
        const double most = entry.ratio("most", kNoLimit);
        const TimePoint at = m_start + entry.time("at_ms", end);
        noteUnread(entry, "expectation \"" + measure + '"');
        if (!entry.has("least") && !entry.has("most"))
            m_faults.push_back("expectation \"" + measure + "\" has neither least nor most");
        m_fleet.queue().at(
            at, [this, measure, group, least, most] { expect(measure, group, least, most); });
    }
}

void ScenarioRun::expect(const std::string &measure, const std::string &group, double least,
                         double most)
{
    const double value = valueOf(measure, group);
    // Also false for a measure that does not exist.
    const bool holds = value >= least && value <= most;
    if (holds)
        return;
    const auto at =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_fleet.queue().now() - m_start);
    m_faults.push_back("at " + std::to_string(at.count()) + " ms: " + measure
                       + (group.empty() ? "" : " of \"" + group + '"') + " is "
                       + std::to_string(value) + ", expected " + std::to_string(least) + " to "
                       + std::to_string(most) + answersOf(group));
}

double ScenarioRun::valueOf(const std::string &measure, const std::string &group)
{
    if (measure == "revision")
        return static_cast<double>(m_config.lowestRevision());
    if (measure == "in_force_ms")
        return static_cast<double>(m_config.slowestInForce().count()) / 1000;
    if (measure == "runs")
        return static_cast<double>(m_fleet.runs().size());
    if (measure == "engine_crashes") {
        double crashes = 0;
        for (int i = 1; m_document["fleet"]["engines"].value_or(4) >= i; ++i)
            crashes += static_cast<double>(m_fleet.engine("e" + std::to_string(i)).crashes());
        return crashes;
    }
    if (measure == "stopped")
        return m_fleet.hasStopped(group) ? 1 : 0;
    static const std::map<std::string, bool (*)(const CallerRecord &)> counted = {
        {"answered",
         [](const CallerRecord &caller) {
             return caller.answer && caller.answer->outcome == Outcome::Answered;
         }},
        {"not_run",
         [](const CallerRecord &caller) {
             return caller.answer && caller.answer->outcome == Outcome::NotRun;
         }},
        {"unknown",
         [](const CallerRecord &caller) {
             return caller.answer && caller.answer->outcome == Outcome::Unknown;
         }},
        {"lost", [](const CallerRecord &caller) { return caller.connectionLost; }},
        {"open", [](const CallerRecord &caller) { return !caller.hasEnded(); }},
        {"late",
         [](const CallerRecord &caller) {
             return caller.firstTokenAt
                 && *caller.firstTokenAt - caller.submittedAt > milliseconds(320);
         }},
    };
    const auto found = counted.find(measure);
    if (found == counted.end())
        return std::numeric_limits<double>::quiet_NaN();
    double count = 0;
    for (const auto &[name, requests] : m_groups) {
        if (!group.empty() && name != group)
            continue;
        count += static_cast<double>(
            std::count_if(requests.begin(), requests.end(),
                          [&](const RequestId &id) { return found->second(m_fleet.answer(id)); }));
    }
    return count;
}

std::string ScenarioRun::answersOf(const std::string &group) const
{
    std::map<std::string, int> counts;
    for (const auto &[name, requests] : m_groups) {
        if (!group.empty() && name != group)
            continue;
        for (const RequestId &id : requests) {
            const CallerRecord &caller = m_fleet.answer(id);
            ++counts[caller.answer ? caller.answer->text : "without an answer"];
        }
    }
    std::string all;
    for (const auto &[text, count] : counts)
        all.append("\n    ").append(std::to_string(count)).append(" x ").append(text);
    return all;
}

void ScenarioRun::watchConfig()
{
    m_config.look(m_fleet);
    m_fleet.queue().after(kWatchInterval, [this] { watchConfig(); });
}

void ScenarioRun::checkPromises()
{
    const Violations &broken = m_fleet.violations();
    const std::pair<const char *, std::uint32_t> counts[] = {
        {"callers answered twice", broken.secondAnswers},
        {"answers not whole", broken.incompleteAnswers},
        {"answers of another request", broken.foreignAnswers},
        {"\"not run\" that ran", broken.falseNotRun},
        {"requests sent to back ends that are leaving", broken.workToLeaving},
        {"attempt ids used twice", broken.repeatedAttemptIds},
        {"requests cut by a graceful stop", broken.cutByStop},
        {"keys that ran more than once", m_fleet.repeatedRuns()},
        {"callers without an outcome", static_cast<std::uint32_t>(valueOf("open", ""))}};
    bool isBroken = false;
    for (const auto &[text, count] : counts) {
        if (count == 0)
            continue;
        m_faults.push_back("promise: " + std::to_string(count) + " " + text);
        isBroken = true;
    }
    if (isBroken)
        m_faults.insert(m_faults.end(), broken.texts.begin(), broken.texts.end());
    m_faults.insert(m_faults.end(), m_config.faults().begin(), m_config.faults().end());
}

} // namespace comfrey::test
