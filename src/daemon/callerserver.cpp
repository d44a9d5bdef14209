// The callers' port.
#include "daemon/callerserver.h"

#include <nlohmann/json.hpp>

#include "daemon/calleranswer.h"

namespace comfrey {

namespace {

constexpr std::size_t kRefusalThreads = 64; // serve refusals while all others are busy
constexpr std::chrono::milliseconds kLivenessInterval{200};
constexpr std::chrono::seconds kKeepAlive{2};

HttpServerOptions serverOptions(const CallerServerOptions &options)
{
    HttpServerOptions http;
    http.maxThreads = options.maxRequests + kRefusalThreads;
    http.maxBodyBytes = options.maxBodyBytes;
    http.keepAlive = kKeepAlive;
    return http;
}

AnswerCaller refusal(CallerError error, std::string text)
{
    AnswerCaller answer;
    answer.outcome = Outcome::NotRun;
    answer.error = error;
    answer.text = std::move(text);
    return answer;
}

void setOutcome(httplib::Response &response, const Exchange &exchange, Outcome outcome)
{
    response.set_header("X-Request-Id", exchange.request().value());
    response.set_header("X-Comfrey-Outcome", textOf(outcome));
}

/// Waits until there is something to tell the caller.
CallerPiece firstPiece(Exchange &exchange)
{
    while (true) {
        CallerPiece piece = exchange.next(kLivenessInterval);
        if (piece.end || !piece.tokens.empty())
            return piece;
    }
}

/// Writes one caller's stream. Called on the caller's thread until it returns false or is done.
class StreamWriter
{
public:
    StreamWriter(std::shared_ptr<Exchange> exchange, CallerPiece first)
        : m_exchange(std::move(exchange)), m_next(std::move(first))
    { }

    /// False if the caller has left.
    bool write(httplib::DataSink &sink)
    {
        for (const std::string &token : m_next.tokens) {
            if (!put(sink, tokenEvent(*m_exchange, token)))
                return false;
        }
        if (m_next.end)
            return writeEnd(sink, *m_next.end);
        // A comment shows whether the caller is still there: one that only closed its sending side
        // looks the same as one that has left until something is written.
        if (m_next.tokens.empty() && !put(sink, kComment))
            return false;
        m_next = m_exchange->next(kLivenessInterval);
        return true;
    }

    bool isComplete() const { return m_isComplete; }

private:
    static constexpr const char *kComment = ": waiting\n\n";

    static bool put(httplib::DataSink &sink, const std::string &text)
    {
        return sink.write(text.data(), text.size());
    }

    bool writeEnd(httplib::DataSink &sink, const AnswerCaller &end)
    {
        const std::string text = end.outcome == Outcome::Answered
            ? lastEvents(*m_exchange, m_exchange->summaryOf(end.attempt))
            : errorEvent(m_exchange->request(), end);
        if (!put(sink, text))
            return false;
        m_isComplete = true;
        sink.done();
        return true;
    }

    std::shared_ptr<Exchange> m_exchange;
    CallerPiece m_next;
    bool m_isComplete = false;
};

void answerWholeChat(httplib::Response &response, Exchange &exchange, CallerPiece piece)
{
    std::string text;
    while (true) {
        for (const std::string &token : piece.tokens)
            text += token;
        if (piece.end)
            break;
        piece = firstPiece(exchange);
    }
    if (piece.end->outcome != Outcome::Answered)
        return answerError(response, exchange.request(), *piece.end);
    setOutcome(response, exchange, Outcome::Answered);
    response.set_content(wholeChat(exchange, text, exchange.summaryOf(piece.end->attempt)),
                         "application/json");
}

} // namespace

CallerServer::CallerServer(const CallerServerOptions &options, ExchangeTable &exchanges,
                           ControlThread &control)
    : m_options(options), m_exchanges(exchanges), m_control(control),
      m_server(serverOptions(options))
{
    addRoutes();
}

Result<int> CallerServer::listen(const Endpoint &address)
{
    return m_server.listen(address.value());
}

void CallerServer::addRoutes()
{
    httplib::Server &routes = m_server.routes();
    routes.Post("/v1/chat/completions",
                [this](const httplib::Request &request, httplib::Response &response) {
                    serveChat(request, response);
                });
    routes.Get("/v1/models", [this](const httplib::Request &request, httplib::Response &response) {
        serveModels(request, response);
    });
    const auto service = [this](const httplib::Request &request, httplib::Response &response) {
        serveService(request, response);
    };
    constexpr const char *servicePaths = "/v1/services/.+";
    routes.Get(servicePaths, service);
    routes.Post(servicePaths, service);
    routes.Put(servicePaths, service);
    routes.Patch(servicePaths, service);
    routes.Delete(servicePaths, service);
    routes.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        answerJson(response, 200, {{"status", "ok"}});
    });
    routes.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
        serveReadiness(response);
    });
    routes.set_error_handler([this](const httplib::Request &request, httplib::Response &response) {
        describeFault(request, response);
    });
}

void CallerServer::describeFault(const httplib::Request &request, httplib::Response &response)
{
    if (response.has_header("X-Comfrey-Outcome") || !response.body.empty())
        return;
    const int status = response.status;
    AnswerCaller answer = refusal(CallerError::Malformed, "the request is malformed");
    if (status == 404)
        answer = refusal(CallerError::NotFound, "no such path: \"" + request.path + "\"");
    if (status == 413)
        answer = refusal(CallerError::TooLarge,
                         "the body is over " + std::to_string(m_options.maxBodyBytes) + " bytes");
    refuse(response, answer);
    response.status = status;
}

void CallerServer::refuse(httplib::Response &response, const AnswerCaller &answer)
{
    answerError(response, nextRequestId(), answer);
}

RequestId CallerServer::nextRequestId()
{
    return RequestId(m_options.router.value() + '-' + std::to_string(m_options.incarnation.value())
                     + '-' + std::to_string(++m_lastRequest));
}

std::shared_ptr<Exchange> CallerServer::open(ParsedRequest parsed)
{
    auto exchange = std::make_shared<Exchange>(nextRequestId(), std::move(parsed.detail),
                                               std::move(parsed.forwarded));
    m_exchanges.add(exchange);
    m_control.post(RequestArrived{exchange->request(), exchange->detail()});
    return exchange;
}

void CallerServer::close(const Exchange &exchange)
{
    m_exchanges.remove(exchange.request());
}

void CallerServer::serveChat(const httplib::Request &request, httplib::Response &response)
{
    auto parsed = parseChat(request);
    if (!parsed)
        return refuse(response, refusal(parsed.error().error, parsed.error().text));
    if (m_exchanges.size() >= m_options.maxRequests) {
        AnswerCaller answer = refusal(CallerError::OutOfContract,
                                      "router \"" + m_options.router.value()
                                          + "\" serves as many requests as it may");
        answer.retryAfter = std::chrono::seconds(1);
        return refuse(response, answer);
    }
    const std::shared_ptr<Exchange> exchange = open(std::move(*parsed));
    CallerPiece piece = firstPiece(*exchange);
    const bool failed =
        piece.tokens.empty() && piece.end && piece.end->outcome != Outcome::Answered;
    if (failed) {
        answerError(response, exchange->request(), *piece.end);
        return close(*exchange);
    }
    if (!exchange->detail().streamed) {
        answerWholeChat(response, *exchange, std::move(piece));
        return close(*exchange);
    }
    setOutcome(response, *exchange, Outcome::Answered);
    auto writer = std::make_shared<StreamWriter>(exchange, std::move(piece));
    response.set_chunked_content_provider(
        "text/event-stream",
        [writer](std::size_t, httplib::DataSink &sink) { return writer->write(sink); },
        [this, exchange, writer](bool) {
            if (!writer->isComplete())
                m_control.post(CallerLeft{exchange->request()});
            close(*exchange);
        });
}

void CallerServer::serveService(const httplib::Request &request, httplib::Response &response)
{
    auto parsed = parseServiceCall(request);
    if (!parsed)
        return refuse(response, refusal(parsed.error().error, parsed.error().text));
    const std::shared_ptr<Exchange> exchange = open(std::move(*parsed));
    const CallerPiece piece = firstPiece(*exchange);
    close(*exchange);
    const AnswerCaller &end = *piece.end;
    if (end.outcome != Outcome::Answered)
        return answerError(response, exchange->request(), end);
    setOutcome(response, *exchange, Outcome::Answered);
    if (end.status != 0) {
        response.status = end.status;
        return response.set_content(end.body, end.contentType);
    }
    const AttemptSummary summary = exchange->summaryOf(end.attempt);
    response.status = summary.status;
    response.set_content(summary.body, summary.contentType);
}

void CallerServer::serveModels(const httplib::Request &request, httplib::Response &response)
{
    const ApiKeyHash key = apiKeyOf(request);
    auto models = std::make_shared<std::vector<ModelId>>();
    const bool answered = m_control.query(
        [models, key](const Router &router, TimePoint) { *models = router.modelsFor(key); });
    if (!answered || models->empty()) {
        return refuse(
            response,
            refusal(CallerError::UnknownKey, "the API key is not known or may use no model"));
    }
    nlohmann::json list = nlohmann::json::array();
    for (const ModelId &model : *models)
        list.push_back({{"id", model.value()}, {"object", "model"}});
    response.set_header("X-Request-Id", nextRequestId().value());
    response.set_header("X-Comfrey-Outcome", textOf(Outcome::Answered));
    answerJson(response, 200, {{"object", "list"}, {"data", list}});
}

void CallerServer::serveReadiness(httplib::Response &response)
{
    auto ready = std::make_shared<bool>(false);
    const bool answered =
        m_control.query([ready](const Router &router, TimePoint) { *ready = router.isReady(); });
    const bool isReady = answered && *ready;
    answerJson(response, isReady ? 200 : 503, {{"ready", isReady}});
}

} // namespace comfrey
