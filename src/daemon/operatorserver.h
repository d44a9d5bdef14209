// The operators' port: health, readiness, metrics and the state dump.
#pragma once

#include <string>

#include "common/httpserver.h"
#include "daemon/callerserver.h"
#include "daemon/controlthread.h"

namespace comfrey {

class OperatorServer
{
public:
    OperatorServer(ControlThread &control, CallerServer &callers);

    Result<int> listen(const Endpoint &address);
    void start() { m_server.start(); }
    void stop() { m_server.stop(); }

private:
    /// The state as JSON, or an empty text if the control thread did not answer in time.
    std::string dump();

    ControlThread &m_control;
    CallerServer &m_callers;
    HttpServer m_server;
};

} // namespace comfrey
