#include "standin-platform/weightstore.h"

#include <algorithm>
#include <ratio>

#include <nlohmann/json.hpp>

namespace comfrey::standin {

WeightStore::WeightStore(double fetchesPerMinute)
    : m_fetchesPerMinute(fetchesPerMinute), m_rights(fetchesPerMinute)
{ }

bool WeightStore::fetch(const std::string &order)
{
    using Minutes = std::chrono::duration<double, std::ratio<60>>;
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_mutex);
    if (m_granted.contains(order)) {
        ++m_repeats;
        return true;
    }
    const double refill = Minutes(now - m_refilled).count() * m_fetchesPerMinute;
    m_rights = std::min(m_fetchesPerMinute, m_rights + refill);
    m_refilled = now;
    if (m_rights < 1) {
        ++m_limited;
        return false;
    }
    m_rights -= 1;
    m_granted.insert(order);
    return true;
}

nlohmann::json WeightStore::counters() const
{
    const std::lock_guard lock(m_mutex);
    return {{"granted", m_granted.size()}, {"limited", m_limited}, {"repeats", m_repeats}};
}

} // namespace comfrey::standin
