// Answers that bear the request's id and a signature.
#include "replica.h"

#include <boost/asio/steady_timer.hpp>

namespace comfrey::review {

using loopback::ServerConnection;

Replica::Replica(boost::asio::io_context &loop, std::string id, std::string service,
                 std::string zone, Record &record)
    : m_loop(loop), m_id(std::move(id)), m_service(std::move(service)), m_zone(std::move(zone)),
      m_record(record),
      m_server(loop,
               [this](ServerConnection &connection, const ServerConnection::Request &request) {
                   onRequest(connection, request);
               }),
      m_startedAtMs(unixMilliseconds())
{ }

std::string Replica::entry(const std::string &state)
{
    return R"({"service":")" + m_service + R"(","address":")" + m_server.address() + R"(","zone":")"
        + m_zone + R"(","version":"v1","slots":6,"state":")" + state
        + R"(","cold_remaining_ms":0,"seq":)" + std::to_string(++m_sequence) + R"(,"born":)"
        + std::to_string(m_startedAtMs) + "}";
}

void Replica::end()
{
    if (m_hasEnded)
        return;
    m_hasEnded = true;
    m_server.end();
    m_record.note("replica " + m_id + " exits");
}

void Replica::onRequest(ServerConnection &connection, const ServerConnection::Request &request)
{
    if (m_hasEnded)
        return;
    const std::string id(request.head.valueOf("X-Request-Id"));
    const std::string words = "X-Request-Id: " + id + "\r\nX-Replica-Id: " + m_id + "\r\n"
        + (m_isLeaving ? "Connection: close\r\n" : "");
    if (const auto expected = request.head.valueOf("X-Expect-Instance");
        !expected.empty() && expected != m_id) {
        connection.write("HTTP/1.1 421 Misdirected Request\r\n" + words
                         + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    m_record.onRun(id, m_id);
    if (request.body == kCrashingBody && m_onCrash) {
        auto timer = std::make_shared<boost::asio::steady_timer>(
            m_loop, std::chrono::microseconds(crashTime.count()));
        timer->async_wait([this, timer](const boost::system::error_code &) {
            if (m_hasEnded)
                return;
            end();
            m_onCrash();
        });
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        m_loop, std::chrono::microseconds(workTime.count()));
    timer->async_wait([this, timer, id, words,
                       weak = connection.weak_from_this()](const boost::system::error_code &error) {
        const auto open = weak.lock();
        if (error || !open)
            return;
        if (m_hasEnded) {
            m_record.onCutAtReplica(id, m_id);
            return;
        }
        const std::string body = "answer to " + id;
        open->write("HTTP/1.1 200 OK\r\n" + words + "X-Response-Signature: " + m_id + "." + id
                    + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        if (m_isLeaving)
            open->close();
    });
}

} // namespace comfrey::review
