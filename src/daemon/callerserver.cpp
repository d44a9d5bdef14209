// The callers' port.
#include "daemon/callerserver.h"

#include <future>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace comfrey {

namespace {

constexpr Duration kHeaderTimeout =
    milliseconds(5000);                               // a slow caller holds a connection no longer
constexpr Duration kIdleTimeout = milliseconds(5000); // as the balancer's own
constexpr std::chrono::milliseconds kStopPoll{10};
constexpr std::chrono::milliseconds kStateLimit{1000}; // operators ask again
constexpr unsigned kTooBusy = 503;
constexpr Duration kBusyRetry = milliseconds(1000); // some of the chats have ended by then

AnswerCaller refusal(CallerError error, std::string text)
{
    AnswerCaller answer;
    answer.outcome = Outcome::NotRun;
    answer.error = error;
    answer.text = std::move(text);
    return answer;
}

bool startsWith(std::string_view text, std::string_view start)
{
    return text.substr(0, start.size()) == start;
}

void answerStatus(CallerConnection &caller, unsigned status, const nlohmann::json &body)
{
    CallerResponse response = jsonResponse(status, body.dump());
    caller.respond(status, std::move(response.fields), response.body);
}

} // namespace

CallerServer::CallerServer(const CallerServerOptions &options, TrafficLoop &loop,
                           ExchangeTable &exchanges, EventSink &sink, CallerDirectory &directory,
                           const ProcessClock &clock, std::shared_ptr<CallerAccount> account)
    : m_options(options), m_loop(loop), m_exchanges(exchanges), m_sink(sink),
      m_directory(directory), m_listener(
                                  loop.context(), *this, [&clock] { return clock.now(); },
                                  account->limits().sockets + CallerAccount::kSpareSockets),
      m_clock(clock), m_account(std::move(account))
{
    m_limits.maxBodyBytes = options.maxBodyBytes;
    m_limits.headerTimeout = kHeaderTimeout;
    m_limits.idleTimeout = kIdleTimeout;
    loop.addSweep([this, &clock] {
        const TimePoint now = clock.now();
        m_listener.sweep(now);
        for (const auto &[id, session] : m_sessions)
            session->sweep(now);
    });
}

Result<int> CallerServer::listen(const Endpoint &address)
{
    if (auto listening = m_listener.listen(address.value()); !listening)
        return tl::make_unexpected(listening.error());
    return m_listener.port();
}

bool CallerServer::stop(std::chrono::steady_clock::time_point limit)
{
    m_loop.post([this] {
        m_stopping = true;
        m_listener.stopListening();
        m_listener.closeIdle();
    });
    while (std::chrono::steady_clock::now() < limit) {
        auto open = std::make_shared<std::promise<std::size_t>>();
        auto reply = open->get_future();
        m_loop.post([this, open] { open->set_value(m_listener.connectionCount()); });
        if (reply.wait_until(limit) != std::future_status::ready)
            return false;
        if (reply.get() == 0)
            return true;
        std::this_thread::sleep_for(kStopPoll);
    }
    return false;
}

void CallerServer::onRequest(const Connection &caller, HttpHead head, std::string body)
{
    const std::string_view path = std::string_view(head.target).substr(0, head.target.find('?'));
    const bool isRead = head.method == "GET" || head.method == "HEAD";
    constexpr std::string_view servicePrefix = "/v1/services/";
    constexpr std::string_view serviceMethods[] = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
    if (path == "/v1/chat/completions" && head.method == "POST")
        serveChat(caller, head, body);
    else if (path == "/v1/models" && isRead)
        serveModels(caller, head);
    else if (startsWith(path, servicePrefix) && path.size() > servicePrefix.size()
             && std::find(std::begin(serviceMethods), std::end(serviceMethods), head.method)
                 != std::end(serviceMethods))
        serveService(caller, head, std::move(body));
    else if (path == "/healthz" && isRead)
        answerStatus(*caller, 200, {{"status", "ok"}});
    else if (path == "/readyz" && isRead)
        serveReadiness(caller);
    else
        refuse(*caller, CallerError::NotFound, "no such path: \"" + std::string(path) + "\"");
}

ResponseContent CallerServer::onBadRequest(unsigned status, std::string_view reason)
{
    AnswerCaller answer = refusal(CallerError::Malformed, std::string(reason));
    constexpr unsigned tooLarge = 413;
    if (status == tooLarge)
        answer = refusal(CallerError::TooLarge,
                         "the body is over " + std::to_string(m_options.maxBodyBytes) + " bytes");
    if (status == kTooBusy) {
        ++m_refused;
        answer = refusal(CallerError::OutOfContract, std::string(reason));
    }
    if (m_refusalLines.allows(m_clock.now())) {
        LOG(INFO) << "event=request-unreadable status=" << status << " reason=\"" << reason
                  << "\" lines_left_out=" << m_refusalLines.takeLeftOut();
    }
    CallerResponse response = errorResponse(nextRequestId(), answer);
    return {std::move(response.fields), std::move(response.body)};
}

void CallerServer::onCallerClosed(Shortage shortage)
{
    const bool isMemory = shortage == Shortage::Memory;
    ++(isMemory ? m_closedForMemory : m_closedForDescriptors);
    if (m_refusalLines.allows(m_clock.now())) {
        LOG(INFO) << "event=caller-closed reason=" << (isMemory ? "memory" : "descriptors")
                  << " lines_left_out=" << m_refusalLines.takeLeftOut();
    }
}

nlohmann::json CallerServer::accountState()
{
    auto state = std::make_shared<std::promise<nlohmann::json>>();
    auto reply = state->get_future();
    m_loop.post([this, state] {
        nlohmann::json held;
        for (std::size_t index = 0; index < kHeldKinds; ++index) {
            const auto kind = static_cast<HeldKind>(index);
            held[textOf(kind)] = m_account->held(kind);
        }
        state->set_value({{"held_bytes", held},
                          {"held_bytes_limit", m_account->limits().bytes},
                          {"sockets", m_account->sockets()},
                          {"sockets_limit", m_account->limits().sockets},
                          {"refused", m_refused},
                          {"closed_for_memory", m_closedForMemory},
                          {"closed_for_descriptors", m_closedForDescriptors}});
    });
    if (reply.wait_for(kStateLimit) != std::future_status::ready)
        return nlohmann::json::object();
    return reply.get();
}

void CallerServer::refuse(CallerConnection &caller, CallerError error, std::string text)
{
    CallerResponse response = errorResponse(nextRequestId(), refusal(error, std::move(text)));
    caller.respond(response.status, std::move(response.fields), response.body);
}

RequestId CallerServer::nextRequestId()
{
    return RequestId(m_options.router.value() + '-' + std::to_string(m_options.incarnation.value())
                     + '-' + std::to_string(++m_lastRequest));
}

template<typename Session>
void CallerServer::open(const Connection &caller, ParsedRequest parsed)
{
    const auto exchange = std::make_shared<Exchange>(nextRequestId(), std::move(parsed.detail),
                                                     std::move(parsed.forwarded));
    m_sessions[exchange->request()] = std::make_shared<Session>(*this, caller, exchange);
    m_exchanges.add(exchange);
    m_sink.post(RequestArrived{exchange->request(), exchange->detail()});
}

void CallerServer::onSessionEnded(CallerSession &session, bool left)
{
    const RequestId request = session.exchange().request();
    if (left)
        m_sink.post(CallerLeft{request});
    m_exchanges.remove(request);
    // The session is still at work further up the stack.
    m_loop.post([session = std::move(m_sessions[request])] {});
    m_sessions.erase(request);
}

void CallerServer::serveChat(const Connection &caller, const HttpHead &head,
                             const std::string &body)
{
    auto parsed = parseChat(head, body);
    if (!parsed)
        return refuse(*caller, parsed.error().error, parsed.error().text);
    if (m_exchanges.size() >= m_options.maxRequests) {
        AnswerCaller answer = refusal(CallerError::OutOfContract,
                                      "router \"" + m_options.router.value()
                                          + "\" serves as many requests as it may");
        answer.retryAfter = kBusyRetry;
        CallerResponse response = errorResponse(nextRequestId(), answer);
        return caller->respond(response.status, std::move(response.fields), response.body);
    }
    if (parsed->detail.streamed)
        open<StreamSession>(caller, std::move(*parsed));
    else
        open<WholeChatSession>(caller, std::move(*parsed));
}

void CallerServer::serveService(const Connection &caller, const HttpHead &head, std::string body)
{
    auto parsed = parseServiceCall(head, std::move(body));
    if (!parsed)
        return refuse(*caller, parsed.error().error, parsed.error().text);
    open<ServiceSession>(caller, std::move(*parsed));
}

void CallerServer::serveModels(const Connection &caller, const HttpHead &head)
{
    m_directory.modelsFor(apiKeyOf(head), [this, caller](const std::vector<ModelId> &models) {
        if (!caller->isOpen())
            return;
        if (models.empty())
            return refuse(*caller, CallerError::UnknownKey,
                          "the API key is not known or may use no model");
        nlohmann::json list = nlohmann::json::array();
        for (const ModelId &model : models)
            list.push_back({{"id", model.value()}, {"object", "model"}});
        const nlohmann::json body = {{"object", "list"}, {"data", list}};
        CallerResponse response = jsonResponse(200, body.dump());
        for (HttpField &field : outcomeFields(nextRequestId(), Outcome::Answered))
            response.fields.push_back(std::move(field));
        caller->respond(response.status, std::move(response.fields), response.body);
    });
}

void CallerServer::serveReadiness(const Connection &caller)
{
    m_directory.readiness([caller](bool ready) {
        if (caller->isOpen())
            answerStatus(*caller, ready ? 200 : 503, {{"ready", ready}});
    });
}

} // namespace comfrey
