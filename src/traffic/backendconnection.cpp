// Sockets of calls that this process makes, with the checks that keep one answer from reaching
// another request.
#include "traffic/backendconnection.h"

#include <netinet/tcp.h>

#include <charconv>

#include <boost/asio/connect.hpp>

namespace comfrey {

namespace {

/// Before a request's own response: a late second answer or an interim one is usual, more are not.
constexpr std::uint32_t kMostSkipped = 16;
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t(1) << 40; ///< Relayed, never held whole.
/// Of a response to another request. The response to this one may follow a long one.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{4} << 20;

std::optional<Duration> keepAliveOf(const HttpHead &head)
{
    const std::string_view value = head.valueOf("Keep-Alive");
    const std::size_t at = value.find("timeout=");
    if (at == std::string_view::npos)
        return std::nullopt;
    std::uint32_t seconds = 0;
    const char *begin = value.data() + at + 8;
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec != std::errc())
        return std::nullopt;
    return milliseconds(1000LL * seconds);
}

void setSilentLimit(boost::asio::ip::tcp::socket &socket, Duration limit)
{
    const int milliseconds = static_cast<int>(limit.count() / 1000);
    const int seconds = std::max(1, milliseconds / 1000);
    const int on = 1;
    const int probes = 2;
    const int handle = socket.native_handle();
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
    ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &on, sizeof on);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

} // namespace

BackendConnection::BackendConnection(boost::asio::io_context &loop, const Endpoint &endpoint,
                                     const BackendConnectionLimits &limits)
    : m_loop(loop), m_endpoint(endpoint), m_limits(limits), m_socket(loop), m_connectTimer(loop)
{
    if (!m_limits.account)
        return;
    const bool mayGiveWay = m_limits.use == BackendUse::Requests;
    join(&m_limits.account->answers(),
         mayGiveWay ? endpoint.address().to_string() + ':' + std::to_string(endpoint.port())
                    : std::string());
}

BackendConnection::~BackendConnection()
{
    hold(0); // While the account is still there.
}

void BackendConnection::send(std::string head, std::shared_ptr<const std::string> body, bool isHead,
                             BackendListener *listener)
{
    m_head = std::move(head);
    m_body = std::move(body);
    m_isHead = isHead;
    m_listener = listener;
    m_hasSent = false;
    m_headGiven = false;
    m_headBytes = 0;
    m_heldByListener = 0;
    m_discarding = false;
    m_discardedBytes = 0;
    m_skipped = 0;
    m_paused = false;
    if (m_isOpen) {
        writeRequest();
        read();
    } else {
        connect(m_limits.connectTimeout);
    }
}

bool BackendConnection::hasUnreadBytes() const
{
    boost::system::error_code error;
    return m_socket.available(error) > 0 || error;
}

void BackendConnection::open(Duration limit, std::function<void(std::optional<BreakKind>)> handler)
{
    m_opened = std::move(handler);
    connect(limit);
}

void BackendConnection::drop()
{
    m_listener = nullptr;
    m_opened = nullptr;
    close();
}

void BackendConnection::setPaused(bool paused)
{
    m_paused = paused;
    if (!m_paused && m_isOpen && !m_reading)
        read();
}

void BackendConnection::connect(Duration limit)
{
    m_connecting = true;
    if (m_limits.account && m_limits.use == BackendUse::Requests
        && !std::exchange(m_isCounted, true))
        m_limits.account->addServerSocket();
    auto self = shared_from_this();
    m_connectTimer.expires_after(limit);
    m_connectTimer.async_wait([this, self](const boost::system::error_code &error) {
        if (!error && m_connecting)
            fail(BreakKind::ConnectTimeout);
    });
    m_socket.async_connect(
        m_endpoint, [this, self](const boost::system::error_code &error) { onConnected(error); });
}

void BackendConnection::onConnected(const boost::system::error_code &error)
{
    if (!m_connecting)
        return;
    m_connectTimer.cancel();
    if (error) {
        fail(error == boost::asio::error::connection_refused ? BreakKind::Refused
                                                             : BreakKind::ConnectFailed);
        return;
    }
    m_connecting = false;
    m_isOpen = true;
    boost::system::error_code ignored; // Options that fail leave the defaults, which work too.
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    setSilentLimit(m_socket, m_limits.silentLimit);
    if (m_listener)
        writeRequest();
    read();
    if (m_opened)
        std::exchange(m_opened, nullptr)(std::nullopt);
}

void BackendConnection::writeRequest()
{
    m_hasSent = true;
    ++m_requestCount;
    m_parser.emplace(m_limits.maxHeaderBytes, kMaxResponseBytes);
    if (m_isHead)
        m_parser->expectNoBody();
    const auto self = shared_from_this();
    if (m_body && !m_body->empty()) {
        constexpr std::size_t kJoinLimit =
            16384; // Below it, copying is cheaper than a second call.
        if (m_body->size() < kJoinLimit) {
            m_head += *m_body;
            m_writer.write(m_socket, m_head, self);
        } else {
            m_writer.write(m_socket, m_head, self);
            m_writer.write(m_socket, m_body, self);
        }
    } else {
        m_writer.write(m_socket, m_head, self);
    }
    m_head = std::string();
    m_body.reset();
    // The kernel reports a reset once: if a write gets it, reads end as if the server had closed.
}

void BackendConnection::read()
{
    if (m_reading || m_paused || !m_isOpen)
        return;
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [this, self = shared_from_this()](
                                 const boost::system::error_code &error, std::size_t count) {
                                 m_reading = false;
                                 onRead(error, count);
                             });
}

void BackendConnection::onRead(const boost::system::error_code &error, std::size_t count)
{
    if (!m_isOpen)
        return;
    if (error) {
        const bool isClean = error == boost::asio::error::eof;
        if (!m_listener) {
            close();
            return;
        }
        if (isClean)
            onServerClosed();
        else
            fail(BreakKind::Closed);
        return;
    }
    if (!m_listener) {
        // Bytes that belong to no request: whatever follows on this connection is in doubt.
        close();
        return;
    }
    m_unparsed.append(m_chunk.data(), count);
    const auto self = shared_from_this();
    parse();
    updateAccount();
    read();
}

void BackendConnection::onServerClosed()
{
    if (m_parser && !m_discarding)
        m_parser->feedEnd();
    if (!m_parser || m_discarding || !m_headGiven || !m_parser->isComplete()) {
        fail(BreakKind::Closed);
        return;
    }
    m_closing = true;
    finishOnceWritten();
}

void BackendConnection::finishOnceWritten()
{
    if (m_writer.isBroken()) {
        fail(BreakKind::Closed);
    } else if (m_writer.backlog() == 0) {
        finishResponse();
    } else {
        // A server that still reads takes the rest of the request; one that has left resets.
        m_writer.onDrained([this](bool) {
            if (m_isOpen && m_listener)
                finishOnceWritten();
        });
    }
}

void BackendConnection::updateAccount()
{
    if (!m_limits.account || !m_listener)
        return;
    hold(m_unparsed.size() + m_headBytes + m_parser->head().fields.capacity() * sizeof(HttpField)
         + m_heldByListener);
    AnswerAccount &answers = m_limits.account->answers();
    while (answers.isOver()) {
        AnswerShare *const victim = answers.victim();
        if (!victim)
            return;
        victim->giveWay();
    }
}

void BackendConnection::giveWay()
{
    fail(BreakKind::Dropped);
}

void BackendConnection::parse()
{
    while (m_listener && !m_unparsed.empty()) {
        const std::size_t used = m_parser->feed(m_unparsed);
        m_unparsed.erase(0, used);
        if (!m_parser->hasHead())
            m_headBytes += used;
        if (m_parser->fault() != ParseFault::None) {
            fail(BreakKind::Malformed);
            return;
        }
        // The parser waits for the end of a chunk's extension or of a trailer.
        if (m_unparsed.size() > m_limits.maxHeaderBytes) {
            fail(BreakKind::Malformed);
            return;
        }
        if (!m_parser->hasHead())
            return;
        if (!m_headGiven && !m_discarding && !takeHead())
            return;
        if (!m_listener)
            return;
        if (!m_parser->body().empty() && !takeBody())
            return;
        if (!m_parser->isComplete()) {
            if (used == 0)
                return;
            continue;
        }
        if (m_discarding || m_parser->head().status < 200) {
            if (++m_skipped > kMostSkipped) {
                fail(BreakKind::Malformed);
                return;
            }
            const bool wasForeign = m_discarding;
            m_discarding = false;
            m_headGiven = false;
            m_headBytes = 0;
            m_closing = m_closing || wasForeign;
            m_parser.emplace(m_limits.maxHeaderBytes, kMaxResponseBytes);
            if (m_isHead)
                m_parser->expectNoBody();
            continue;
        }
        finishResponse();
        return;
    }
}

bool BackendConnection::takeHead()
{
    HttpHead &head = m_parser->head();
    if (head.status < 200)
        return true;
    if (!m_listener->acceptsHead(head)) {
        m_discarding = true;
        releaseHead();
        return true;
    }
    if (!head.keepsAlive || (head.endsWithConnection() && !m_parser->isComplete()))
        m_closing = true;
    m_keepAliveLimit = keepAliveOf(head);
    m_headGiven = true;
    m_listener->onHead(head);
    releaseHead();
    return m_listener != nullptr;
}

void BackendConnection::releaseHead()
{
    m_headBytes = 0;
    m_parser->head().fields = {};
}

bool BackendConnection::takeBody()
{
    const std::string bytes = m_parser->takeBody();
    if (!m_discarding) {
        m_listener->onBody(bytes);
        return m_listener != nullptr;
    }
    m_discardedBytes += bytes.size();
    if (m_discardedBytes <= kMaxDiscardedBytes)
        return true;
    fail(BreakKind::Malformed);
    return false;
}

void BackendConnection::finishResponse()
{
    BackendListener *listener = std::exchange(m_listener, nullptr);
    const auto self = shared_from_this();
    hold(0);
    if (m_closing || !m_unparsed.empty())
        close();
    m_parser.reset();
    m_paused = false; // The next read shows that the server has closed the connection.
    listener->onEnd();
}

void BackendConnection::fail(BreakKind kind)
{
    BackendListener *listener = std::exchange(m_listener, nullptr);
    const auto self = shared_from_this();
    close();
    if (listener)
        listener->onBroken(kind);
    if (m_opened)
        std::exchange(m_opened, nullptr)(kind);
}

void BackendConnection::close()
{
    m_connecting = false;
    m_isOpen = false;
    m_unparsed = std::string();
    hold(0);
    if (std::exchange(m_isCounted, false))
        m_limits.account->removeServerSocket();
    m_closing = true;
    m_connectTimer.cancel();
    boost::system::error_code ignored; // A socket that does not close is closed already.
    m_socket.close(ignored);
}

} // namespace comfrey
