// A cpp-httplib server with the set-up that every program needs: no delay of small writes, a
// backlog that takes a burst of callers, kept-alive connections without a count limit, and a thread
// per open connection up to a limit.
#pragma once

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <httplib.h>
#include <nlohmann/json_fwd.hpp>

#include "comfrey/error.h"
#include "common/callersocket.h"

namespace comfrey {

struct HttpServerOptions
{
    std::size_t maxThreads = 64; ///< Open connections served at once; more wait.
    std::chrono::seconds keepAlive = std::chrono::seconds(5); ///< Of an idle connection.
    std::chrono::milliseconds readTimeout = std::chrono::seconds(5);
    std::chrono::milliseconds writeTimeout = std::chrono::seconds(5);
    std::size_t maxBodyBytes = 16777216; ///< Larger requests are answered with 413.
};

class HttpServer
{
public:
    explicit HttpServer(const HttpServerOptions &options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Handlers are registered here, before listen().
    httplib::Server &routes() { return m_server; }

    /// Binds and listens on "IP:port"; the port in use comes back. Callers may connect from now on.
    Result<int> listen(const std::string &address);
    /// Serves on a thread of its own.
    void start();
    /// Takes no new connection; returns when the open ones have ended.
    void stop();
    /// Connections being served, idle kept-alive ones included.
    std::size_t busyThreads() const { return m_busy.load(); }

private:
    std::atomic<std::size_t> m_busy = 0;
    int m_socket = -1; ///< The listening socket; owned by m_server.
    CallerSocketServer m_server;
    std::thread m_thread;
};

/// Answers with `status` and a JSON body.
void answerJson(httplib::Response &response, int status, const nlohmann::json &body);

/// The request's body as a JSON object; answers 400 and returns a discarded value if it is none.
nlohmann::json readJson(const httplib::Request &request, httplib::Response &response);

} // namespace comfrey
