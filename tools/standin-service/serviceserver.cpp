#include "standin-service/serviceserver.h"

#include <thread>

#include <glog/logging.h>

#include "common/jsonfields.h"
#include "common/program.h"

namespace comfrey::standin {

namespace {

constexpr std::size_t kMaxConnections = 1024;
constexpr int kCrashExitCode = 70;
constexpr auto kHangPoll = std::chrono::milliseconds(100);

HttpServerOptions serverOptions()
{
    HttpServerOptions options;
    options.maxThreads = kMaxConnections;
    options.keepAlive = std::chrono::seconds(30);
    return options;
}

void answerNotStarted(httplib::Response &response, const std::string &reason)
{
    response.set_header("X-Not-Started", "1");
    answerJson(response, 503, {{"error", reason}});
}

} // namespace

ServiceServer::ServiceServer(const ServiceOptions &options)
    : m_faults(options.faults), m_random(options.seed), m_server(serverOptions())
{
    const auto handler = [this](const auto &request, auto &response) { call(request, response); };
    const char *const paths = R"(/calls(/.*)?)";
    m_server.routes().Get(paths, handler);
    m_server.routes().Post(paths, handler);
    m_server.routes().Put(paths, handler);
    m_server.routes().Delete(paths, handler);
    m_server.routes().Get("/counts", [this](const auto &request, auto &response) {
        const bool isOfKey = request.has_param("key");
        answerJson(response, 200,
                   isOfKey ? m_runs.countsOf(request.get_param_value("key")) : m_runs.counts());
    });
    m_server.routes().Put("/faults", [this](const auto &request, auto &response) {
        changeFaults(request, response);
    });
}

Result<int> ServiceServer::start(const std::string &address)
{
    Result<int> port = m_server.listen(address);
    if (port)
        m_server.start();
    return port;
}

ServiceFaults ServiceServer::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

bool ServiceServer::strikes(double probability)
{
    const std::lock_guard lock(m_mutex);
    return std::bernoulli_distribution(probability)(m_random);
}

void ServiceServer::call(const httplib::Request &request, httplib::Response &response)
{
    const std::string id = request.get_header_value("X-Request-Id");
    response.set_header("X-Request-Id", id);
    const ServiceFaults now = faults();
    if (now.isLeaving)
        response.set_header("X-Leaving", "1");
    if (now.isRefusing || now.isLeaving) {
        answerNotStarted(response, "the service takes no new calls");
        return;
    }
    const std::uint64_t run = m_runs.start(request.get_header_value("Idempotency-Key"));
    std::this_thread::sleep_for(now.delay);
    if (strikes(now.crashBeforeAnswer)) {
        LOG(ERROR) << "event=crashed request=" << id;
        exitNow(kCrashExitCode);
    }
    while (faults().hangs)
        std::this_thread::sleep_for(kHangPoll);
    answerJson(response, 200, {{"request", id}, {"run", run}, {"path", request.path}});
}

void ServiceServer::changeFaults(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = readJson(request, response);
    if (!body.is_object())
        return;
    {
        const std::lock_guard lock(m_mutex);
        readField(body, "delay_ms", m_faults.delay);
        readField(body, "hang", m_faults.hangs);
        readField(body, "crash_before_answer", m_faults.crashBeforeAnswer);
        readField(body, "refuse", m_faults.isRefusing);
        readField(body, "leaving", m_faults.isLeaving);
    }
    LOG(INFO) << "event=faults-set faults=" << body.dump();
    answerJson(response, 200, nlohmann::json::object());
}

} // namespace comfrey::standin
