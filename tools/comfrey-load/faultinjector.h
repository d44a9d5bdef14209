// Switches the workload's faults on and off at their times.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "comfrey-load/answercheck.h"
#include "comfrey-load/workload.h"
#include "comfrey/ids.h"

namespace comfrey::load {

struct FaultTargets
{
    std::vector<Endpoint> engines;
    std::vector<Endpoint> services;
    Endpoint platform; ///< Empty if unknown.
};

class FaultInjector
{
public:
    FaultInjector(const Workload &workload, const FaultTargets &targets, std::uint64_t seed);

    /// Switches at the planned times after `start`; returns after the last one.
    void run(SteadyTime start, double timeScale) const;

private:
    /// One HTTP request to a stand-in at a model time.
    struct Step
    {
        double at = 0;
        Endpoint address;
        std::string method;
        std::string path;
        std::string body;
    };

    void addPlan(const FaultPlan &plan, const FaultTargets &targets, std::uint64_t seed);
    void addPeriods(const FaultPlan &plan, const Step &on, const Step &off);
    /// On takes instances from the platform's list, off puts them back.
    void addInstances(const FaultPlan &plan, const Endpoint &platform, std::uint64_t seed);
    static void apply(const Step &step);

    std::vector<Step> m_steps; ///< In the order of time.
};

} // namespace comfrey::load
