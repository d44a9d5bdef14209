// The platform's interfaces over HTTP: log, list of instances, weight store.
#pragma once

#include <atomic>
#include <mutex>
#include <string>

#include "comfrey/actions.h"
#include "common/growingpool.h"
#include "common/httpclient.h"
#include "daemon/eventsink.h"

namespace comfrey {

class PlatformClient
{
public:
    PlatformClient(const Endpoint &address, std::chrono::milliseconds timeout, EventSink &sink);
    ~PlatformClient();

    void read(const ReadLog &order);
    void append(const AppendToLog &order);
    void readInstances();
    void fetchWeights(const FetchWeights &order);

private:
    void runRead(const ReadLog &order);
    void runAppend(const AppendToLog &order);
    void runReadInstances();
    std::string instancesPath();
    void keepInstances(std::uint64_t version, const InstanceListRead &read);
    InstanceListRead keptInstances();
    void runFetchWeights(const FetchWeights &order);

    const Endpoint m_address;
    const std::chrono::milliseconds m_timeout;
    EventSink &m_sink;
    HttpClientPool m_clients;
    std::mutex m_mutex;              ///< Guards the three below.
    InstanceListRead m_kept;         ///< The last list that was read whole.
    std::uint64_t m_version = 0;     ///< Of m_kept, as the platform counts; 0 is none.
    unsigned m_conditionalReads = 0; ///< Since a list was read whole.
    std::atomic<std::size_t> m_busy = 0;
    GrowingPool m_pool;
};

} // namespace comfrey
