// Sends requests, probes and orders to back ends over HTTP, on the traffic loop, and reports how
// each ended.
#pragma once

#include <map>
#include <memory>

#include "comfrey/actions.h"
#include "daemon/backendsender.h"
#include "daemon/exchangetable.h"
#include "daemon/trafficloop.h"
#include "traffic/httpcall.h"

namespace comfrey {

class BackendClient
{
public:
    BackendClient(TrafficLoop &loop, ExchangeTable &exchanges, EventSink &sink,
                  const ProcessClock &clock, const std::shared_ptr<CallerAccount> &account);

    // From any thread; orders of one thread take effect in their order.
    void send(const SendToBackend &order);
    void cancel(AttemptId attempt);
    void probe(const ProbeBackend &order);
    void give(const GiveOrder &order);

private:
    void startSending(const SendToBackend &order);
    void startProbe(const ProbeBackend &order);
    void startOrder(const GiveOrder &order);

    TrafficLoop &m_loop;
    ExchangeTable &m_exchanges;
    EventSink &m_sink;
    BackendPool m_pool;
    SendingParts m_parts;
    HttpCaller m_caller; ///< Of probes and orders.
    std::map<AttemptId, std::shared_ptr<BackendSender>> m_running;
};

} // namespace comfrey
