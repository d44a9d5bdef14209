#include "standin-engine/engineserver.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "common/httpclient.h"
#include "standin-engine/chatroute.h"

namespace comfrey::standin {

namespace {

constexpr std::size_t kMaxConnections = 1024;

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
    answerJson(response, 503, {{"error", {{"message", reason}, {"code", "not_started"}}}});
}

std::int64_t microsecondsOf(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

nlohmann::json toJson(const CacheNotice &notice)
{
    return {{"change", notice.isStored ? "stored" : "evicted"},
            {"chat", notice.chat},
            {"prefix", notice.prefix},
            {"tokens", notice.tokens}};
}

nlohmann::json toJson(const std::vector<PromptPart> &parts)
{
    nlohmann::json list = nlohmann::json::array();
    for (const PromptPart &part : parts)
        list.push_back({part.key, part.tokens});
    return list;
}

std::vector<PromptPart> partsFromJson(const nlohmann::json &list)
{
    std::vector<PromptPart> parts;
    for (const nlohmann::json &entry : list)
        parts.push_back({entry.at(0).get<std::uint64_t>(), entry.at(1).get<Tokens>()});
    return parts;
}

} // namespace

EngineServer::EngineServer(const EngineOptions &options)
    : m_model(options.model), m_faults(options.faults),
      m_orders(options.models, options.checksFencing),
      m_history(options.cacheEventLoss, options.seed), m_scheduler(options.model),
      m_server(serverOptions())
{
    addChatRoutes();
    addLoadRoutes();
    addOrderRoutes();
    addKvRoutes();
    addOperatorRoutes();
}

EngineServer::~EngineServer() = default;

Result<int> EngineServer::start(const std::string &address)
{
    Result<int> port = m_server.listen(address);
    if (!port)
        return port;
    m_server.start();
    m_sampler = std::jthread([this](const std::stop_token &stop) { sampleLoad(stop); });
    return port;
}

void EngineServer::sampleLoad(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const auto now = std::chrono::system_clock::now();
        const auto rest = now.time_since_epoch() % LoadHistory::kSampleInterval;
        const WallTime next = now - rest + LoadHistory::kSampleInterval;
        std::this_thread::sleep_until(next);
        const SchedulerCounts counts = m_scheduler.counts();
        m_history.add({next, counts.running, counts.waiting}, m_scheduler.takeCacheNotices());
    }
}

void EngineServer::addChatRoutes()
{
    m_server.routes().Post("/v1/chat/completions", [this](const auto &request, auto &response) {
        complete(request, response);
    });
    m_server.routes().Post("/v1/cancel", [this](const auto &request, auto &response) {
        const nlohmann::json body = readJson(request, response);
        if (!body.is_object())
            return;
        m_scheduler.cancel(body.value("id", ""));
        answerJson(response, 200, nlohmann::json::object());
    });
}

bool EngineServer::refuses(const ChatRequest &chat, httplib::Response &response)
{
    const EngineFaults faults = m_faults.current();
    if (faults.isLeaving) {
        response.set_header("X-Leaving", "1");
        answerNotStarted(response, "the engine is leaving");
        return true;
    }
    if (faults.isRefusing) {
        answerNotStarted(response, "the engine takes no new requests");
        return true;
    }
    if (!chat.model.empty() && !m_orders.serves(chat.model)) {
        answerNotStarted(response, "model \"" + chat.model + "\" is not loaded");
        return true;
    }
    return false;
}

void EngineServer::complete(const httplib::Request &request, httplib::Response &response)
{
    const Result<ChatRequest> chat = readChatRequest(request, m_faults.current().crashMarker);
    response.set_header("X-Request-Id", request.get_header_value("X-Request-Id"));
    if (!chat) {
        answerJson(response, 400, {{"error", {{"message", chat.error().text}}}});
        return;
    }
    if (refuses(*chat, response))
        return;
    if (!chat->importFrom.empty())
        importKv(chat->sequence->chat, chat->importFrom);
    if (!m_scheduler.submit(chat->sequence)) {
        answerNotStarted(response, "the queue is full");
        return;
    }
    if (chat->isStreamed)
        answerStreamed(m_scheduler, chat->sequence, response);
    else
        answerWhole(m_scheduler, chat->sequence, response);
}

void EngineServer::addLoadRoutes()
{
    m_server.routes().Get("/load", [this](const auto &, auto &response) {
        const EngineFaults faults = m_faults.current();
        const LoadReportView view = m_history.report(faults.reportLag);
        const OrderState orders = m_orders.state();
        nlohmann::json events = nlohmann::json::array();
        for (const CacheNotice &notice : view.notices)
            events.push_back(toJson(notice));
        answerJson(response, 200,
                   {{"measured_at_us", microsecondsOf(view.sample.time)},
                    {"running", view.sample.running},
                    {"waiting", view.sample.waiting},
                    {"slots", m_model.slots},
                    {"leaving", faults.isLeaving},
                    {"models", orders.models},
                    {"adapters", orders.adapters},
                    {"role", orders.role},
                    {"newest_order", orders.newestOrder},
                    {"cache_events", std::move(events)}});
        ++m_reports;
        m_reportBytes += response.body.size();
    });
    m_server.routes().Get("/truth", [this](const auto &request, auto &response) {
        const SchedulerCounts counts = m_scheduler.takeHighestLoad();
        nlohmann::json body = {
            {"running", counts.running},           {"waiting", counts.waiting},
            {"highest_load", counts.highestLoad},  {"slots", m_model.slots},
            {"accepted", counts.accepted},         {"finished", counts.finished},
            {"cancelled", counts.cancelled},       {"prompt_tokens", counts.promptTokens},
            {"cached_tokens", counts.cachedTokens}};
        if (request.has_param("samples_from_us")) {
            const std::chrono::microseconds from(
                std::strtoll(request.get_param_value("samples_from_us").c_str(), nullptr, 10));
            nlohmann::json samples = nlohmann::json::array();
            for (const LoadSample &sample : m_history.samplesFrom(WallTime(from)))
                samples.push_back({microsecondsOf(sample.time), sample.running + sample.waiting});
            body["samples"] = std::move(samples);
        }
        answerJson(response, 200, body);
    });
}

void EngineServer::addOrderRoutes()
{
    m_server.routes().Post(
        "/orders", [this](const auto &request, auto &response) { giveOrder(request, response); });
}

void EngineServer::giveOrder(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = readJson(request, response);
    if (!body.is_object())
        return;
    const std::string kind = body.value("kind", "");
    if (kind == "load-model")
        std::this_thread::sleep_for(m_model.scaled(m_model.modelLoad));
    const OrderVerdict verdict =
        m_orders.take(body.value("fencing", std::uint64_t(0)), kind, body.value("subject", ""));
    LOG(INFO) << "event=order kind=" << kind
              << " fencing=" << body.value("fencing", std::uint64_t(0))
              << " verdict=" << static_cast<int>(verdict);
    if (verdict == OrderVerdict::Stale)
        answerJson(response, 409, {{"newest", m_orders.state().newestOrder}});
    else if (verdict == OrderVerdict::UnknownKind)
        answerJson(response, 400, {{"error", "unknown kind \"" + kind + "\""}});
    else
        answerJson(response, 200, nlohmann::json::object());
}

void EngineServer::addKvRoutes()
{
    m_server.routes().Post("/kv/export", [this](const auto &request, auto &response) {
        const nlohmann::json body = readJson(request, response);
        if (!body.is_object())
            return;
        const std::vector<PromptPart> parts = m_scheduler.exportChat(body.value("chat", ""));
        answerJson(response, 200, {{"tokens", countTokens(parts)}, {"parts", toJson(parts)}});
    });
    m_server.routes().Post("/kv/import", [this](const auto &request, auto &response) {
        const nlohmann::json body = readJson(request, response);
        if (!body.is_object())
            return;
        const Tokens tokens = importKv(body.value("chat", ""), body.value("from", ""));
        answerJson(response, 200, {{"tokens", tokens}});
    });
}

Tokens EngineServer::importKv(const std::string &chat, const std::string &address)
{
    const auto client = makeHttpClient(Endpoint(address), HttpClientOptions());
    const nlohmann::json body = {{"chat", chat}};
    const httplib::Result result = client->Post("/kv/export", body.dump(), "application/json");
    if (!result || result->status != 200)
        return 0;
    const nlohmann::json answer = nlohmann::json::parse(result->body, nullptr, false);
    if (!answer.is_object() || !answer.contains("parts"))
        return 0;
    const std::vector<PromptPart> parts = partsFromJson(answer.at("parts"));
    const Tokens tokens = countTokens(parts);
    std::this_thread::sleep_for(m_model.scaled(m_model.importPerToken * tokens));
    if (!parts.empty())
        m_scheduler.importChat(chat, parts);
    return tokens;
}

void EngineServer::addOperatorRoutes()
{
    m_server.routes().Put("/faults", [this](const auto &request, auto &response) {
        const nlohmann::json body = readJson(request, response);
        if (!body.is_object())
            return;
        m_scheduler.setSlowFactor(m_faults.change(body).slow);
        LOG(INFO) << "event=faults-set faults=" << body.dump();
        answerJson(response, 200, nlohmann::json::object());
    });
}

} // namespace comfrey::standin
