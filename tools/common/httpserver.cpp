#include "common/httpserver.h"

#include <sys/socket.h>

#include <nlohmann/json.hpp>

#include "common/endpoint.h"
#include "common/growingpool.h"

namespace comfrey {

namespace {

constexpr std::size_t kRequestsPerConnection = 1000000;
constexpr int kListenBacklog = 4096; // connections
constexpr auto kStartPoll = std::chrono::milliseconds(1);

void setReuseAddress(int socket)
{
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

} // namespace

HttpServer::HttpServer(const HttpServerOptions &options)
{
    m_server.new_task_queue = [this, limit = options.maxThreads] {
        return new GrowingPool(limit, m_busy);
    };
    m_server.set_socket_options([this](int socket) {
        setReuseAddress(socket);
        m_socket = socket;
    });
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(kRequestsPerConnection);
    m_server.set_keep_alive_timeout(static_cast<time_t>(options.keepAlive.count()));
    m_server.setTimeouts({options.readTimeout, options.writeTimeout, options.keepAlive});
    m_server.set_payload_max_length(options.maxBodyBytes);
}

HttpServer::~HttpServer()
{
    stop();
}

Result<int> HttpServer::listen(const std::string &address)
{
    const Result<HostPort> parsed = parseEndpoint(address);
    if (!parsed)
        return tl::make_unexpected(parsed.error());
    int port = parsed->port;
    if (port == 0)
        port = m_server.bind_to_any_port(parsed->host);
    else if (!m_server.bind_to_port(parsed->host, port))
        port = -1;
    if (port <= 0)
        return failure(ErrorCode::Unavailable, "cannot listen on \"" + address + "\"");
    ::listen(m_socket, kListenBacklog);
    return port;
}

void HttpServer::start()
{
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running()) // stop() has no effect on a server that does not run yet
        std::this_thread::sleep_for(kStartPoll);
}

void HttpServer::stop()
{
    if (!m_thread.joinable())
        return;
    m_server.stop();
    m_thread.join();
}

void answerJson(httplib::Response &response, int status, const nlohmann::json &body)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

nlohmann::json readJson(const httplib::Request &request, httplib::Response &response)
{
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_object())
        return body;
    answerJson(response, 400, {{"error", "the body is not a JSON object"}});
    return nlohmann::json(nlohmann::json::value_t::discarded);
}

} // namespace comfrey
