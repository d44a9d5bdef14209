// The HTTP interface of the stand-in of a plain service; docs/STANDINS.md lists its calls.
#pragma once

#include <mutex>
#include <random>
#include <string>

#include "common/httpserver.h"
#include "standin-service/runcounter.h"

namespace comfrey::standin {

struct ServiceFaults
{
    std::chrono::milliseconds delay{0};
    bool hangs = false;           ///< Runs the call and never answers.
    double crashBeforeAnswer = 0; ///< Probability that the process ends after a run, unanswered.
    bool isRefusing = false;
    bool isLeaving = false;
};

struct ServiceOptions
{
    ServiceFaults faults;
    std::uint64_t seed = 1;
};

class ServiceServer
{
public:
    explicit ServiceServer(const ServiceOptions &options);

    /// The port in use.
    Result<int> start(const std::string &address);

private:
    void call(const httplib::Request &request, httplib::Response &response);
    void changeFaults(const httplib::Request &request, httplib::Response &response);
    ServiceFaults faults() const;
    bool strikes(double probability);

    mutable std::mutex m_mutex;
    ServiceFaults m_faults;
    std::mt19937_64 m_random;
    RunCounter m_runs;
    HttpServer m_server; ///< Last, so that its threads end before what they use.
};

} // namespace comfrey::standin
