#include "standin-platform/platformserver.h"

#include <charconv>
#include <thread>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "common/encoding.h"

namespace comfrey::standin {

namespace {

constexpr std::size_t kMaxConnections = 2048;
constexpr std::uint64_t kMaxRecordsRead = 10000;
constexpr std::uint64_t kMaxWaitMs = 30000;

std::uint64_t numberParameter(const httplib::Request &request, const char *name,
                              std::uint64_t fallback)
{
    if (!request.has_param(name))
        return fallback;
    const std::string text = request.get_param_value(name);
    std::uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

HttpServerOptions serverOptions()
{
    HttpServerOptions options;
    options.maxThreads = kMaxConnections;
    options.keepAlive = std::chrono::seconds(30);
    return options;
}

} // namespace

PlatformServer::PlatformServer(const PlatformOptions &options)
    : m_faults(options.faults, options.seed), m_log(options.log),
      m_weights(options.weightFetchesPerMinute), m_server(serverOptions())
{
    addLogRoutes();
    addInstanceRoutes();
    addWeightRoutes();
    addOperatorRoutes();
}

Result<int> PlatformServer::start(const std::string &address)
{
    Result<int> port = m_server.listen(address);
    if (port)
        m_server.start();
    return port;
}

void PlatformServer::addLogRoutes()
{
    m_server.routes().Post(
        R"(/log/streams/([A-Za-z0-9._-]+)/records)",
        [this](const auto &request, auto &response) { append(request, response); });
    m_server.routes().Get(R"(/log/streams/([A-Za-z0-9._-]+)/records)",
                          [this](const auto &request, auto &response) { read(request, response); });
}

bool PlatformServer::passLogFaults(httplib::Response &response)
{
    const PlatformFaults faults = m_faults.current();
    std::this_thread::sleep_for(faults.logDelay);
    if (!faults.logDown)
        return true;
    answerJson(response, 503, {{"error", "the log is down"}, {"appended", false}});
    return false;
}

void PlatformServer::append(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = readJson(request, response);
    if (!body.is_object() || !passLogFaults(response))
        return;
    const auto payload = body.find("payload");
    if (payload == body.end() || !payload->is_string()
        || !decodeBase64(payload->get_ref<const std::string &>())) {
        answerJson(response, 400, {{"error", "\"payload\" is not base64"}, {"appended", false}});
        return;
    }
    const std::string stream = request.matches[1];
    const std::optional<std::uint64_t> offset = m_log.append(stream, payload->get<std::string>());
    if (!offset) {
        answerJson(response, 429, {{"error", "over the append rate"}, {"appended", false}});
        return;
    }
    answerJson(response, 200, {{"offset", *offset}});
    if (m_faults.strikes(m_faults.current().loseAppendAnswers)) {
        LOG(INFO) << "event=append-answer-lost stream=" << stream << " offset=" << *offset;
        dropConnection();
    }
}

void PlatformServer::read(const httplib::Request &request, httplib::Response &response)
{
    if (!passLogFaults(response))
        return;
    LogReadRequest wanted;
    wanted.stream = request.matches[1];
    wanted.from = numberParameter(request, "from", wanted.from);
    wanted.limit = std::min(numberParameter(request, "limit", wanted.limit), kMaxRecordsRead);
    wanted.wait =
        std::chrono::milliseconds(std::min(numberParameter(request, "wait_ms", 0), kMaxWaitMs));
    wanted.isOld = m_faults.current().oldReads;
    answerJson(response, 200, m_log.read(wanted));
}

void PlatformServer::addInstanceRoutes()
{
    m_server.routes().Get("/instances", [this](const auto &request, auto &response) {
        const nlohmann::json list = m_instances.read(m_faults.current().instancesLag);
        ++m_listReads;
        if (request.has_param("unless_version")
            && numberParameter(request, "unless_version", 0) == list.at("version")) {
            response.status = 304;
            return;
        }
        answerJson(response, 200, list);
        m_listBytes += response.body.size();
    });
    m_server.routes().Put(R"(/instances/([A-Za-z0-9._-]+))",
                          [this](const auto &request, auto &response) {
                              nlohmann::json body = readJson(request, response);
                              if (!body.is_object())
                                  return;
                              m_instances.put(request.matches[1], std::move(body));
                              answerJson(response, 200, nlohmann::json::object());
                          });
    m_server.routes().Delete(
        R"(/instances/([A-Za-z0-9._-]+))", [this](const auto &request, auto &response) {
            const bool isKnown = m_instances.remove(request.matches[1]);
            answerJson(response, isKnown ? 200 : 404, nlohmann::json::object());
        });
}

void PlatformServer::addWeightRoutes()
{
    m_server.routes().Post("/weights/fetch", [this](const auto &request, auto &response) {
        fetchWeights(request, response);
    });
}

void PlatformServer::fetchWeights(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = readJson(request, response);
    if (!body.is_object())
        return;
    const PlatformFaults faults = m_faults.current();
    if (faults.weightsDown) {
        answerJson(response, 503, {{"error", "the weight store is down"}});
        return;
    }
    if (!body.contains("order")) {
        answerJson(response, 400, {{"error", "\"order\" is missing"}});
        return;
    }
    if (!m_weights.fetch(body.at("order").dump())) {
        answerJson(response, 429, {{"error", "over the rate of weight fetches"}});
        return;
    }
    answerJson(response, 200, nlohmann::json::object());
    if (m_faults.strikes(faults.loseWeightAnswers))
        dropConnection();
}

void PlatformServer::addOperatorRoutes()
{
    m_server.routes().Put("/faults", [this](const auto &request, auto &response) {
        const nlohmann::json body = readJson(request, response);
        if (!body.is_object())
            return;
        m_faults.change(body);
        LOG(INFO) << "event=faults-set faults=" << body.dump();
        answerJson(response, 200, nlohmann::json::object());
    });
    m_server.routes().Get("/counters", [this](const auto &, auto &response) {
        answerJson(response, 200,
                   {{"streams", m_log.counters()},
                    {"weights", m_weights.counters()},
                    {"instances", {{"reads", m_listReads.load()}, {"bytes", m_listBytes.load()}}}});
    });
}

} // namespace comfrey::standin
