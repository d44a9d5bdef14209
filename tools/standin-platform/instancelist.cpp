#include "standin-platform/instancelist.h"

#include <utility>

namespace comfrey::standin {

namespace {

constexpr std::size_t kVersionsKept = 4096; // bounds memory; older ones are dropped

} // namespace

void InstanceList::put(const std::string &id, nlohmann::json instance)
{
    instance["id"] = id;
    const std::lock_guard lock(m_mutex);
    nlohmann::json &stored = m_instances[id];
    if (stored == instance)
        return;
    stored = std::move(instance);
    remember();
}

bool InstanceList::remove(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    if (m_instances.erase(id) == 0)
        return false;
    remember();
    return true;
}

void InstanceList::remember()
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[id, instance] : m_instances)
        list.push_back(instance);
    m_versions.push_back(
        Version{std::chrono::steady_clock::now(), std::move(list), ++m_lastNumber});
    if (m_versions.size() > kVersionsKept)
        m_versions.pop_front();
}

nlohmann::json InstanceList::read(std::chrono::milliseconds lag)
{
    const auto newest = std::chrono::steady_clock::now() - lag;
    const std::lock_guard lock(m_mutex);
    for (auto version = m_versions.rbegin(); version != m_versions.rend(); ++version) {
        if (version->since <= newest)
            return {{"instances", version->instances}, {"version", version->number}};
    }
    return {{"instances", nlohmann::json::array()}, {"version", 0}};
}

} // namespace comfrey::standin
