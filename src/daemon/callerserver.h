// The callers' port: chats, models and service calls. A thread serves one caller's connection.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "comfrey/ids.h"
#include "common/httpserver.h"
#include "daemon/callerrequest.h"
#include "daemon/controlthread.h"
#include "daemon/exchangetable.h"

namespace comfrey {

struct CallerServerOptions
{
    RouterId router;
    Incarnation incarnation;
    std::size_t maxRequests = 256; ///< Served at once; more are refused.
    std::size_t maxBodyBytes = 4 << 20;
};

class CallerServer
{
public:
    CallerServer(const CallerServerOptions &options, ExchangeTable &exchanges,
                 ControlThread &control);

    Result<int> listen(const Endpoint &address);
    void start() { m_server.start(); }
    /// Takes no new connection; returns when every answer has been written.
    void stop() { m_server.stop(); }

private:
    void addRoutes();
    void serveChat(const httplib::Request &request, httplib::Response &response);
    void serveService(const httplib::Request &request, httplib::Response &response);
    void serveModels(const httplib::Request &request, httplib::Response &response);
    void serveReadiness(httplib::Response &response);
    void describeFault(const httplib::Request &request, httplib::Response &response);
    void refuse(httplib::Response &response, const AnswerCaller &answer);
    std::shared_ptr<Exchange> open(ParsedRequest parsed);
    void close(const Exchange &exchange);
    RequestId nextRequestId();

    const CallerServerOptions m_options;
    ExchangeTable &m_exchanges;
    ControlThread &m_control;
    std::atomic<std::uint64_t> m_lastRequest = 0;
    HttpServer m_server;
};

} // namespace comfrey
