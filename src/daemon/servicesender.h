// One sending of a call to a replica of a plain service; its answer is read whole.
#pragma once

#include "comfrey/actions.h"
#include "common/httpclient.h"
#include "daemon/exchange.h"

namespace comfrey {

class RunningAttempt;

class ServiceSender
{
public:
    ServiceSender(const SendToBackend &order, Exchange &exchange, RunningAttempt &running,
                  HttpClientPool &clients);

    /// Blocks until the answer ended one way or another.
    AttemptEnded run();

private:
    std::unique_ptr<httplib::Client> takeClient();
    httplib::Request makeRequest() const;
    AttemptEnd endOf(const httplib::Result &result) const;
    bool isOwnAnswer(const httplib::Response &response) const;

    const SendToBackend &m_order;
    Exchange &m_exchange;
    RunningAttempt &m_running;
    HttpClientPool &m_clients;
};

} // namespace comfrey
