// Faults of the platform that tests switch over HTTP.
#pragma once

#include <chrono>
#include <mutex>
#include <random>

#include <nlohmann/json_fwd.hpp>

namespace comfrey::standin {

struct PlatformFaults
{
    bool logDown = false;                      ///< Appends and reads are refused.
    std::chrono::milliseconds logDelay{0};     ///< Before each append and read.
    double loseAppendAnswers = 0;              ///< Probability that an append's answer is lost.
    bool oldReads = false;                     ///< Reads do not show the newest records.
    std::chrono::milliseconds instancesLag{0}; ///< Age of the list of instances.
    bool weightsDown = false;
    double loseWeightAnswers = 0; ///< Probability that a grant's answer is lost.
};

/// Changes the fields that the object holds; the others stay.
void readFaults(const nlohmann::json &body, PlatformFaults &faults);

/// The faults in force, shared by all handlers.
class FaultSwitch
{
public:
    FaultSwitch(const PlatformFaults &initial, std::uint64_t seed)
        : m_faults(initial), m_random(seed)
    { }

    PlatformFaults current() const;
    void change(const nlohmann::json &body);
    /// True with the given probability.
    bool strikes(double probability);

private:
    mutable std::mutex m_mutex;
    PlatformFaults m_faults;
    std::mt19937_64 m_random;
};

} // namespace comfrey::standin
