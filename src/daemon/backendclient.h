// Sends requests, probes and orders to back ends over HTTP, each on a traffic thread, and reports
// how each ended.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

#include "comfrey/actions.h"
#include "common/growingpool.h"
#include "common/httpclient.h"
#include "daemon/eventsink.h"
#include "daemon/exchangetable.h"
#include "daemon/processclock.h"

namespace comfrey {

/// Lets one thread stop the connection that another one reads from.
class RunningAttempt
{
public:
    /// Stops the attempt, also one that has not connected yet.
    void cancel();
    bool isCancelled() const { return m_cancelled; }
    /// The client is stopped by a cancel() from now until detach().
    void attach(httplib::Client *client);
    void detach();

private:
    std::mutex m_mutex;
    httplib::Client *m_client = nullptr; ///< Null while nothing is being read.
    std::atomic<bool> m_cancelled = false;
};

class BackendClient
{
public:
    BackendClient(ExchangeTable &exchanges, EventSink &sink, const ProcessClock &clock,
                  std::size_t maxThreads);
    ~BackendClient();

    void send(const SendToBackend &order);
    void cancel(AttemptId attempt);
    void probe(const ProbeBackend &order);
    void give(const GiveOrder &order);

private:
    void runAttempt(const SendToBackend &order, const std::shared_ptr<RunningAttempt> &running);
    void runProbe(const ProbeBackend &order);
    void runOrder(const GiveOrder &order);

    ExchangeTable &m_exchanges;
    EventSink &m_sink;
    const ProcessClock &m_clock;
    HttpClientPool m_clients; ///< For chats; kept-alive connections.
    HttpClientPool m_probeClients;
    std::mutex m_mutex;
    std::map<AttemptId, std::shared_ptr<RunningAttempt>> m_running;
    std::atomic<std::size_t> m_busyTraffic = 0;
    std::atomic<std::size_t> m_busyControl = 0;
    GrowingPool m_traffic;
    GrowingPool m_control; ///< Probes and orders, so that long answers do not delay them.
};

} // namespace comfrey
