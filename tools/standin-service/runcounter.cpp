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

} // namespace comfrey::standin
