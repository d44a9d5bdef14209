// Sockets for tests.
#include "loopback.h"

#include <boost/asio/buffer.hpp>

namespace comfrey::loopback {

namespace {

constexpr auto kLongest = std::chrono::seconds(20); ///< Only a fault takes so long.

} // namespace

bool runUntil(boost::asio::io_context &loop, const std::function<bool()> &done)
{
    const auto end = std::chrono::steady_clock::now() + kLongest;
    while (!done()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

void runFor(boost::asio::io_context &loop, Duration time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(5));
    }
}

void ServerConnection::read()
{
    m_socket.async_read_some(
        boost::asio::buffer(m_chunk),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t count) {
            if (error) {
                self->m_closedByPeer = true;
                return;
            }
            self->onBytes(count);
            if (self->m_socket.is_open() && self->m_reads)
                self->read();
        });
}

void ServerConnection::onBytes(std::size_t count)
{
    m_unparsed.append(m_chunk.data(), count);
    while (!m_unparsed.empty()) {
        if (!m_parser) {
            m_parser.emplace(65536, 1 << 24);
            m_acted = false;
        }
        m_unparsed.erase(0, m_parser->feed(m_unparsed));
        const bool acts = m_onHeads ? m_parser->hasHead() : m_parser->isComplete();
        if (acts && !std::exchange(m_acted, true))
            m_script(*this, {m_parser->head(), m_parser->body()});
        if (!m_parser->isComplete())
            return;
        m_parser.reset();
    }
}

void ServerConnection::write(const std::string &bytes)
{
    boost::system::error_code ignored; // A peer that has left is what some tests are about.
    boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
}

std::size_t ServerConnection::writeEndless(const std::string &unit)
{
    constexpr std::size_t kPiece = 16384;
    while (m_unwritten.size() < kPiece)
        m_unwritten += unit;
    boost::system::error_code ignored; // As above; a full buffer takes more later.
    m_socket.non_blocking(true, ignored);
    const std::size_t written = m_socket.write_some(boost::asio::buffer(m_unwritten), ignored);
    m_unwritten.erase(0, written);
    return written;
}

void ServerConnection::answer(const Request &request, const std::string &body,
                              const std::string &fields, int status)
{
    write("HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: "
          + std::string(request.head.valueOf("X-Request-Id")) + "\r\nX-Response-Signature: s\r\n"
          + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void ServerConnection::close()
{
    boost::system::error_code ignored; // It may be closed already.
    m_socket.shutdown(Socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

void ServerConnection::reset()
{
    boost::system::error_code ignored; // It may be closed already.
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void ServerConnection::closeSendingSide()
{
    boost::system::error_code ignored; // The peer may have left.
    m_socket.shutdown(Socket::shutdown_send, ignored);
}

ScriptedServer::ScriptedServer(boost::asio::io_context &loop, ServerConnection::Script script,
                               std::uint16_t port)
    : m_acceptor(loop, {boost::asio::ip::address_v4::loopback(), port}),
      m_port(m_acceptor.local_endpoint().port()), m_script(std::move(script))
{
    accept();
}

std::string ScriptedServer::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void ScriptedServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, Socket socket) {
        if (error)
            return;
        m_connections.push_back(std::make_shared<ServerConnection>(
            std::move(socket),
            [this](ServerConnection &connection, const ServerConnection::Request &request) {
                ++m_requests;
                m_script(connection, request);
            }));
        if (m_onHeads)
            m_connections.back()->actOnHeads();
        m_connections.back()->read();
        accept();
    });
}

void ScriptedServer::end()
{
    m_acceptor.close();
    for (const auto &connection : m_connections)
        connection->reset();
}

RawCaller::RawCaller(boost::asio::io_context &loop, std::uint16_t port)
    : m_state(std::make_shared<State>(loop))
{
    m_state->socket.connect({boost::asio::ip::address_v4::loopback(), port});
    read(m_state);
}

RawCaller::RawCaller(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &router)
    : m_state(std::make_shared<State>(loop))
{
    m_state->connecting = true;
    m_state->socket.async_connect(
        router, [state = m_state](const boost::system::error_code &error) {
            state->connecting = false;
            if (error) {
                state->closed = error != boost::asio::error::operation_aborted;
                return;
            }
            boost::system::error_code failure;
            boost::asio::write(state->socket, boost::asio::buffer(state->unsent), failure);
            state->noteWrite(failure);
            read(state);
        });
}

RawCaller::~RawCaller()
{
    boost::system::error_code ignored; // It may be closed already.
    m_state->socket.close(ignored);
}

void RawCaller::send(const std::string &bytes)
{
    if (m_state->connecting) {
        m_state->unsent += bytes;
        return;
    }
    boost::system::error_code error; // A router that has closed is what some tests are about.
    boost::asio::write(m_state->socket, boost::asio::buffer(bytes), error);
    m_state->noteWrite(error);
}

void RawCaller::sendInBackground(std::string bytes)
{
    const auto kept = std::make_shared<const std::string>(std::move(bytes));
    boost::asio::async_write(m_state->socket, boost::asio::buffer(*kept),
                             [state = m_state, kept](const boost::system::error_code &error,
                                                     std::size_t) { state->noteWrite(error); });
}

void RawCaller::read(const std::shared_ptr<State> &state)
{
    state->socket.async_read_some(
        boost::asio::buffer(state->chunk),
        [state](const boost::system::error_code &error, std::size_t count) {
            if (error) {
                state->closed = error != boost::asio::error::operation_aborted;
                state->reset = state->reset || error == boost::asio::error::connection_reset;
                return;
            }
            state->received.append(state->chunk.data(), count);
            read(state);
        });
}

std::optional<RawCaller::Response> RawCaller::takeResponse()
{
    ResponseParser parser(65536, 1 << 24);
    const std::size_t used = parser.feed(m_state->received);
    if (!parser.isComplete() && m_state->closed && !m_state->reset)
        parser.feedEnd();
    if (!parser.isComplete())
        return std::nullopt;
    m_state->received.erase(0, used);
    return Response{parser.head(), parser.takeBody()};
}

} // namespace comfrey::loopback
