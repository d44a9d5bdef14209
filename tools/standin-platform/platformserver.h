// The HTTP interface of the stand-in of the platform; docs/STANDINS.md lists its calls.
#pragma once

#include <atomic>

#include "common/httpserver.h"
#include "standin-platform/faults.h"
#include "standin-platform/instancelist.h"
#include "standin-platform/logstore.h"
#include "standin-platform/weightstore.h"

namespace comfrey::standin {

struct PlatformOptions
{
    LogLimits log;
    double weightFetchesPerMinute = 6;
    PlatformFaults faults;
    std::uint64_t seed = 1;
};

class PlatformServer
{
public:
    explicit PlatformServer(const PlatformOptions &options);

    /// The port in use.
    Result<int> start(const std::string &address);

private:
    void addLogRoutes();
    void addInstanceRoutes();
    void addWeightRoutes();
    void addOperatorRoutes();
    void append(const httplib::Request &request, httplib::Response &response);
    void read(const httplib::Request &request, httplib::Response &response);
    void fetchWeights(const httplib::Request &request, httplib::Response &response);
    /// False, with the answer made, while the log is down; waits for its delay.
    bool passLogFaults(httplib::Response &response);

    FaultSwitch m_faults;
    LogStore m_log;
    InstanceList m_instances;
    WeightStore m_weights;
    std::atomic<std::uint64_t> m_listReads = 0;
    std::atomic<std::uint64_t> m_listBytes = 0; ///< Bodies of answered lists of instances.
    HttpServer m_server; ///< Last, so that its threads end before what they use.
};

} // namespace comfrey::standin
