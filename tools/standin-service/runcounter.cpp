#include "standin-service/runcounter.h"

#include <nlohmann/json.hpp>

namespace comfrey::standin {

std::uint64_t RunCounter::start(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_calls;
    if (key.empty()) {
        ++m_withoutKey;
        return 1;
    }
    return ++m_runs[key];
}

nlohmann::json RunCounter::counts() const
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t keys = m_runs.size();
    return {{"calls", m_calls},
            {"keys", keys},
            {"repeats", m_calls - m_withoutKey - keys},
            {"without_key", m_withoutKey}};
}

nlohmann::json RunCounter::countsOf(const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(key);
    const std::uint64_t runs = found == m_runs.end() ? 0 : found->second;
    return {{"calls", runs},
            {"keys", runs > 0 ? 1 : 0},
            {"repeats", runs > 0 ? runs - 1 : 0},
            {"without_key", 0}};
}

} // namespace comfrey::standin
