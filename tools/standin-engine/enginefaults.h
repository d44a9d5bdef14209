// Faults of the engine that tests switch over HTTP.
#pragma once

#include <chrono>
#include <mutex>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace comfrey::standin {

struct EngineFaults
{
    double slow = 1;         ///< Factor on the time of each step.
    bool isLeaving = false;  ///< Refuses new requests and reports that it leaves.
    bool isRefusing = false; ///< Refuses new requests.
    std::chrono::milliseconds reportLag{0};
    std::string crashMarker =
        "comfrey-crash"; ///< A prompt that holds it ends the process; empty is none.
};

class EngineFaultSwitch
{
public:
    explicit EngineFaultSwitch(const EngineFaults &initial) : m_faults(initial) { }

    EngineFaults current() const;
    /// Changes the fields that the object holds; returns the result.
    EngineFaults change(const nlohmann::json &body);

private:
    mutable std::mutex m_mutex;
    EngineFaults m_faults;
};

} // namespace comfrey::standin
