#include "common/httpserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

#include "common/endpoint.h"
#include "common/growingpool.h"

namespace comfrey {

namespace {

constexpr int kListenBacklog = 4096; // connections
constexpr rlim_t kMaxFilesSearched = 65536;
constexpr auto kStartPoll = std::chrono::milliseconds(1);

void setReuseAddress(int socket)
{
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

int maxOpenFiles()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, kMaxFilesSearched));
}

bool isPeer(int socket, const httplib::Request &request)
{
    sockaddr_in peer{};
    socklen_t length = sizeof(peer);
    if (::getpeername(socket, reinterpret_cast<sockaddr *>(&peer), &length) != 0)
        return false;
    return peer.sin_family == AF_INET && ntohs(peer.sin_port) == request.remote_port;
}

template<typename Setter>
void setTimeout(std::chrono::milliseconds timeout, Setter setter)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    const auto rest = std::chrono::duration_cast<std::chrono::microseconds>(timeout - seconds);
    setter(static_cast<time_t>(seconds.count()), static_cast<time_t>(rest.count()));
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
    m_server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    m_server.set_keep_alive_timeout(static_cast<time_t>(options.keepAlive.count()));
    setTimeout(options.readTimeout,
               [this](time_t s, time_t us) { m_server.set_read_timeout(s, us); });
    setTimeout(options.writeTimeout,
               [this](time_t s, time_t us) { m_server.set_write_timeout(s, us); });
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

// cpp-httplib does not hand the socket to handlers: it is found by the caller's port.
void dropConnection(const httplib::Request &request)
{
    const int end = maxOpenFiles();
    for (int socket = 0; socket < end; ++socket) {
        if (isPeer(socket, request))
            ::shutdown(socket, SHUT_RDWR);
    }
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
