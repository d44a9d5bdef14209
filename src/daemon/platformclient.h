// The platform's interfaces over HTTP: log, list of instances, weight store.
#pragma once

#include <atomic>

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
    void runFetchWeights(const FetchWeights &order);

    const Endpoint m_address;
    const std::chrono::milliseconds m_timeout;
    EventSink &m_sink;
    HttpClientPool m_clients;
    std::atomic<std::size_t> m_busy = 0;
    GrowingPool m_pool;
};

} // namespace comfrey
