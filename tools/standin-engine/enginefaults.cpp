#include "standin-engine/enginefaults.h"

#include "common/jsonfields.h"

namespace comfrey::standin {

EngineFaults EngineFaultSwitch::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

EngineFaults EngineFaultSwitch::change(const nlohmann::json &body)
{
    const std::lock_guard lock(m_mutex);
    readField(body, "slow", m_faults.slow);
    readField(body, "leaving", m_faults.isLeaving);
    readField(body, "refuse", m_faults.isRefusing);
    readField(body, "report_lag_ms", m_faults.reportLag);
    readField(body, "crash_marker", m_faults.crashMarker);
    return m_faults;
}

} // namespace comfrey::standin
