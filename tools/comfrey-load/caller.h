// One caller: sends a planned request and tells what became of it.
#pragma once

#include <chrono>

#include "comfrey-load/balancer.h"
#include "comfrey-load/sample.h"

namespace comfrey::load {

class Caller
{
public:
    Caller(const Workload &workload, Balancer &balancer, double timeScale)
        : m_workload(workload), m_balancer(balancer), m_timeScale(timeScale)
    { }

    /// Blocks until the request has ended, resends included. `planned` is its arrival time.
    Sample run(const PlannedRequest &request, SteadyTime planned) const;

private:
    Sample sendChat(const PlannedRequest &request, SteadyTime planned) const;
    Sample callService(const PlannedRequest &request, SteadyTime planned) const;
    Sample sendCrashing(const PlannedRequest &request, SteadyTime planned) const;
    httplib::Request chatRequest(const PlannedRequest &request) const;
    void sendServiceCall(const PlannedRequest &request, Sample &sample) const;

    const Workload &m_workload;
    Balancer &m_balancer;
    const double m_timeScale;
};

} // namespace comfrey::load
