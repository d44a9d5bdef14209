// The operators' port.
#include "daemon/operatorserver.h"

#include <memory>

#include <nlohmann/json.hpp>

#include "daemon/prometheus.h"

namespace comfrey {

namespace {

HttpServerOptions serverOptions()
{
    HttpServerOptions options;
    options.maxThreads = 8;
    options.keepAlive = std::chrono::seconds(1);
    return options;
}

void answerBusy(httplib::Response &response)
{
    answerJson(response, 503, {{"error", "the control thread did not answer within a second"}});
}

} // namespace

OperatorServer::OperatorServer(ControlThread &control, CallerServer &callers)
    : m_control(control), m_callers(callers), m_server(serverOptions())
{
    httplib::Server &routes = m_server.routes();
    routes.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        answerJson(response, 200, {{"status", "ok"}});
    });
    routes.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
        const nlohmann::json state = nlohmann::json::parse(dump(), nullptr, false);
        const bool ready = state.is_object() && state.value("ready", false);
        answerJson(response, ready ? 200 : 503, {{"ready", ready}});
    });
    routes.Get("/debug/dump", [this](const httplib::Request &, httplib::Response &response) {
        const std::string text = dump();
        if (text.empty())
            return answerBusy(response);
        response.set_content(text, "application/json");
    });
    routes.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        nlohmann::json state = nlohmann::json::parse(dump(), nullptr, false);
        if (!state.is_object())
            return answerBusy(response);
        state["callers"] = m_callers.accountState();
        response.set_content(prometheusText(state), "text/plain; version=0.0.4");
    });
}

Result<int> OperatorServer::listen(const Endpoint &address)
{
    return m_server.listen(address.value());
}

std::string OperatorServer::dump()
{
    auto text = std::make_shared<std::string>();
    const bool answered =
        m_control.query([text](const Router &router, TimePoint now) { *text = router.dump(now); });
    return answered ? *text : std::string();
}

} // namespace comfrey
