#include "standin-platform/faults.h"

#include "common/jsonfields.h"

namespace comfrey::standin {

void readFaults(const nlohmann::json &body, PlatformFaults &faults)
{
    readField(body, "log_down", faults.logDown);
    readField(body, "log_delay_ms", faults.logDelay);
    readField(body, "lose_append_answers", faults.loseAppendAnswers);
    readField(body, "old_reads", faults.oldReads);
    readField(body, "instances_lag_ms", faults.instancesLag);
    readField(body, "weights_down", faults.weightsDown);
    readField(body, "lose_weight_answers", faults.loseWeightAnswers);
}

PlatformFaults FaultSwitch::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

void FaultSwitch::change(const nlohmann::json &body)
{
    const std::lock_guard lock(m_mutex);
    readFaults(body, m_faults);
}

bool FaultSwitch::strikes(double probability)
{
    const std::lock_guard lock(m_mutex);
    return std::bernoulli_distribution(probability)(m_random);
}

} // namespace comfrey::standin
