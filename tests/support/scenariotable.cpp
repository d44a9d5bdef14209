// Reading of one table of a scenario, and the watch over configuration.
#include <algorithm>

#include <nlohmann/json.hpp>

#include "support/scenario.h"

namespace comfrey::test {

const toml::node *ScenarioTable::node(const std::string &key)
{
    m_read.insert(key);
    return m_table.get(key);
}

std::string ScenarioTable::text(const std::string &key, const std::string &byDefault)
{
    const toml::node *found = node(key);
    return found == nullptr ? byDefault : found->value<std::string>().value_or(byDefault);
}

std::int64_t ScenarioTable::number(const std::string &key, std::int64_t byDefault)
{
    const toml::node *found = node(key);
    return found == nullptr ? byDefault : found->value<std::int64_t>().value_or(byDefault);
}

double ScenarioTable::ratio(const std::string &key, double byDefault)
{
    const toml::node *found = node(key);
    return found == nullptr ? byDefault : found->value<double>().value_or(byDefault);
}

bool ScenarioTable::flag(const std::string &key, bool byDefault)
{
    const toml::node *found = node(key);
    return found == nullptr ? byDefault : found->value<bool>().value_or(byDefault);
}

std::set<std::string> ScenarioTable::names(const std::string &key)
{
    std::set<std::string> all;
    const toml::node *found = node(key);
    if (found == nullptr || !found->is_array())
        return all;
    for (const toml::node &item : *found->as_array())
        all.insert(item.value<std::string>().value_or(""));
    return all;
}

std::vector<std::int64_t> ScenarioTable::numbers(const std::string &key)
{
    std::vector<std::int64_t> all;
    const toml::node *found = node(key);
    if (found == nullptr || !found->is_array())
        return all;
    for (const toml::node &item : *found->as_array())
        all.push_back(item.value<std::int64_t>().value_or(0));
    return all;
}

std::vector<std::string> ScenarioTable::unread() const
{
    std::vector<std::string> all;
    for (const auto &[key, value] : m_table) {
        std::string name(key.str());
        if (m_read.count(name) == 0)
            all.push_back(std::move(name));
    }
    return all;
}

void ConfigWatch::look(FakeFleet &fleet)
{
    std::uint64_t lowest = UINT64_MAX;
    for (const std::string &id : fleet.routerIds()) {
        if (!fleet.isRunning(id))
            continue;
        const nlohmann::json dump = nlohmann::json::parse(fleet.dump(id));
        const std::uint64_t incarnation = dump["incarnation"];
        const std::uint64_t revision = dump["config"]["revision"];
        const std::uint64_t offset = dump["config"]["offset"];
        const std::string digest = dump["config"]["digest"].get<std::string>();
        Seen &seen = m_seen[id];
        const bool wentBack = revision < seen.revision || offset < seen.offset;
        if (seen.incarnation == incarnation && wentBack)
            m_faults.push_back(id + " went back to revision " + std::to_string(revision));
        seen = {incarnation, revision, offset};
        const auto [known, isNew] = m_digests.emplace(revision, digest);
        if (!isNew && known->second != digest)
            m_faults.push_back(id + " has other lists at revision " + std::to_string(revision));
        lowest = std::min(lowest, revision);
    }
    m_lowest = lowest == UINT64_MAX ? 0 : lowest;
    for (; m_inForce < m_lowest && m_inForce < m_publishedAt.size(); ++m_inForce)
        m_slowest = std::max(m_slowest, fleet.queue().now() - m_publishedAt[m_inForce]);
}

} // namespace comfrey::test
