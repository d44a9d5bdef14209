// Servers and callers on loopback that do what a test says, on the test's own event loop.
#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "comfrey/units.h"
#include "traffic/httpparser.h"

namespace comfrey::loopback {

using Socket = boost::asio::ip::tcp::socket;

inline TimePoint now()
{
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Runs the loop until `done`, or fails after a time that no sound run takes.
bool runUntil(boost::asio::io_context &loop, const std::function<bool()> &done);
/// Runs the loop for a while in which something must not happen.
void runFor(boost::asio::io_context &loop, Duration time);

/// A server's side of a connection.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    struct Request
    {
        HttpHead head;
        std::string body;
    };
    using Script = std::function<void(ServerConnection &, const Request &)>;

    ServerConnection(Socket socket, Script script)
        : m_socket(std::move(socket)), m_script(std::move(script))
    { }

    void read();
    void write(const std::string &bytes);
    /// Writes what the other side takes now of endless repetitions of `unit`. Returns its size.
    std::size_t writeEndless(const std::string &unit);
    /// A whole answer with the request's id, the signature and a length.
    void answer(const Request &request, const std::string &body, const std::string &fields = {},
                int status = 200);
    void close();
    void reset();
    /// Ends the answer; what the other side sends is still read.
    void closeSendingSide();
    /// Leaves what the other side sends in the socket from now on.
    void stopReading() { m_reads = false; }
    bool isClosedByPeer() const { return m_closedByPeer; }
    /// Acts on each head at once, without waiting for the body.
    void actOnHeads() { m_onHeads = true; }

private:
    void onBytes(std::size_t count);

    Socket m_socket;
    Script m_script;
    std::array<char, 65536> m_chunk{};
    std::string m_unparsed;
    std::string m_unwritten;
    std::optional<RequestParser> m_parser;
    bool m_closedByPeer = false;
    bool m_onHeads = false;
    bool m_acted = false;
    bool m_reads = true;
};

/// Listens and runs a script for each request.
class ScriptedServer
{
public:
    /// `port`: 0 for one that is free.
    ScriptedServer(boost::asio::io_context &loop, ServerConnection::Script script,
                   std::uint16_t port = 0);
    std::string address() const;
    std::uint16_t port() const { return m_port; }
    std::size_t connectionCount() const { return m_connections.size(); }
    ServerConnection &connection(std::size_t index) { return *m_connections.at(index); }
    std::size_t requestCount() const { return m_requests; }
    /// The server's process ends: its port is closed and all its connections are reset.
    void end();
    void actOnHeads() { m_onHeads = true; }

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port; ///< Also after its end.
    ServerConnection::Script m_script;
    std::vector<std::shared_ptr<ServerConnection>> m_connections;
    std::size_t m_requests = 0;
    bool m_onHeads = false;
};

/// A caller that writes bytes as it likes and keeps what it gets.
class RawCaller
{
public:
    RawCaller(boost::asio::io_context &loop, std::uint16_t port);
    /// Connects without waiting; what is sent before goes out once it is connected.
    RawCaller(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &router);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(const std::string &bytes);
    /// Sends bytes that are more than sockets hold while the test's loop runs.
    void sendInBackground(std::string bytes);
    void close() { m_state->socket.close(); }
    const std::string &received() const { return m_state->received; }
    bool isClosed() const { return m_state->closed; }
    /// The next whole response; nothing while it is not complete.
    struct Response
    {
        HttpHead head;
        std::string body;
    };
    std::optional<Response> takeResponse();

private:
    /// Outlives the caller while a read is under way.
    struct State
    {
        explicit State(boost::asio::io_context &loop) : socket(loop) { }
        /// After a write that met a reset, the reads end as if the other side had closed.
        void noteWrite(const boost::system::error_code &error) { reset = reset || error; }

        Socket socket;
        std::array<char, 65536> chunk{};
        std::string received;
        std::string unsent;
        bool connecting = false;
        bool closed = false;
        bool reset = false;
    };

    static void read(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

} // namespace comfrey::loopback
