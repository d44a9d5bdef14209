// Callers' sockets. Reading goes on while a request is under way, since only a read shows that the
// caller has left.
#include "traffic/callerconnection.h"

#include <algorithm>

#include <boost/beast/http/status.hpp>

#include "telemetry/numbertext.h"

namespace comfrey {

namespace {

/// An answer that is not taken so far keeps the caller's next request waiting.
constexpr std::size_t kMaxUnreadBytes = std::size_t{128} * 1024;
/// Of a connection besides its buffers: entries of lists and what the allocator adds.
constexpr std::size_t kConnectionOverhead = 512;
constexpr Duration kClosingLimit =
    milliseconds(1000); ///< For the caller's own close after the last response.
/// A caller that takes nothing for so long is gone: longer than any of its own time limits.
constexpr Duration kStalledLimit = milliseconds(30000);

constexpr unsigned kServiceUnavailable = 503;
constexpr std::string_view kRetryAfter = "1"; ///< Seconds in which others have given way.

void appendStatusLine(std::string &out, unsigned status)
{
    out += "HTTP/1.1 ";
    appendNumber(out, status);
    out += ' ';
    out += reasonPhrase(status);
    out += "\r\n";
}

} // namespace

ResponseContent plainContent(std::string_view text)
{
    return {{{"Content-Type", "text/plain"}}, std::string(text) + "\n"};
}

std::string_view reasonPhrase(unsigned status)
{
    const auto text =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {text.data(), text.size()};
}

CallerConnection::CallerConnection(Socket socket, RequestHandler &handler, TimePoint now)
    : m_socket(std::move(socket)), m_handler(handler), m_now(now), m_stateSince(now),
      m_progressAt(now)
{
    join(handler.account(), now);
    hold(HeldKind::Connection, sizeof(CallerConnection) + kConnectionOverhead);
}

void CallerConnection::start()
{
    boost::system::error_code ignored; // Options that fail leave the defaults, which work too.
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_writer.onDrained([this](bool written) { onDrained(written); });
    read();
}

void CallerConnection::read()
{
    if (m_reading || !m_isOpen || m_halfClosed)
        return;
    if (m_state != State::Closing && m_unparsed.size() >= mostPipelinedBytes()
        && (m_state == State::Busy || m_writer.backlog() > kMaxUnreadBytes))
        return;
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [this, self = shared_from_this()](
                                 const boost::system::error_code &error, std::size_t count) {
                                 m_reading = false;
                                 onRead(error, count);
                             });
}

void CallerConnection::onRead(const boost::system::error_code &error, std::size_t count)
{
    if (!m_isOpen)
        return;
    if (error == boost::asio::error::eof && m_state == State::Busy
        && m_handler.servesHalfClosed()) {
        m_halfClosed = true;
        m_keepsAlive = m_keepsAlive && !m_unparsed.empty();
        return;
    }
    if (error) {
        CallerWatcher *watcher = std::exchange(m_watcher, nullptr);
        close();
        if (watcher)
            watcher->onCallerGone();
        return;
    }
    if (m_state != State::Closing) {
        progress(count, m_now);
        const std::string_view bytes(m_chunk.data(), count);
        if (m_state != State::Busy)
            parse(bytes);
        else
            m_unparsed.append(bytes);
        this->count();
        if (m_state == State::Reading)
            makeRoom();
    }
    read();
}

void CallerConnection::parse(std::string_view bytes)
{
    if (m_writer.backlog() > kMaxUnreadBytes) {
        m_unparsed.append(bytes);
        return;
    }
    if (m_unparsed.empty() && bytes.empty())
        return;
    if (m_state == State::Idle) {
        setState(State::Reading);
        m_headRead = 0;
        m_stateSince = m_now;
        m_parser.emplace(m_handler.limits().maxHeaderBytes, m_handler.limits().maxBodyBytes);
    }
    const bool hadHead = m_parser->hasHead();
    const std::size_t held = m_unparsed.size() + bytes.size();
    if (m_unparsed.empty()) {
        m_unparsed.append(bytes.substr(m_parser->feed(bytes)));
    } else {
        m_unparsed.append(bytes);
        const std::size_t used = m_parser->feed(m_unparsed);
        if (used == m_unparsed.size())
            m_unparsed = std::string();
        else
            m_unparsed.erase(0, used);
    }
    if (!hadHead) {
        // Fields are objects of their own, many times a tiny one's bytes, also of a part of a head.
        m_headRead += m_unparsed.size() < held ? held - m_unparsed.size() : 0;
        m_headBytes = m_headRead + m_parser->head().fields.capacity() * sizeof(HttpField);
    }
    switch (m_parser->fault()) {
    case ParseFault::None:
        break;
    case ParseFault::HeaderTooLarge:
        refuse(431, "header fields over the limit");
        return;
    case ParseFault::BodyTooLarge:
        refuse(413, "body over the limit");
        return;
    case ParseFault::Malformed:
        refuse(400, "malformed request");
        return;
    }
    if (!m_parser->isComplete()) {
        // The parser waits for the end of a chunk's extension or of a trailer.
        if (m_unparsed.size() > m_handler.limits().maxHeaderBytes) {
            refuse(400, "malformed request");
            return;
        }
        if (m_parser->hasHead() && !hadHead && m_parser->head().count("Expect") > 0)
            write("HTTP/1.1 100 Continue\r\n\r\n");
        return;
    }
    if (!makeRoomForSending())
        return;
    HttpHead head = std::move(m_parser->head());
    std::string body = m_parser->takeBody();
    m_parser.reset();
    setState(State::Busy);
    m_bodyBytes = body.size();
    m_isHead = head.method == "HEAD";
    count();
    if (!makeRoom())
        return;
    m_stateSince = m_now;
    m_keepsAlive = head.keepsAlive;
    m_minorVersion = head.minorVersion;
    m_responseStarted = false;
    m_handler.onRequest(shared_from_this(), std::move(head), std::move(body));
}

void CallerConnection::refuse(unsigned status, std::string_view reason)
{
    ResponseContent content = m_handler.onBadRequest(status, reason);
    if (status == kServiceUnavailable)
        content.fields.push_back({"Retry-After", std::string(kRetryAfter)});
    if (m_parser)
        m_isHead = m_parser->hasHead() && m_parser->head().method == "HEAD";
    m_parser.reset();
    m_unparsed = std::string();
    setState(State::Busy);
    m_keepsAlive = false;
    m_minorVersion = 1;
    respond(status, std::move(content.fields), content.body, true);
}

bool CallerConnection::closesAfterResponse() const
{
    return !m_keepsAlive || m_handler.isStopping();
}

void CallerConnection::respond(unsigned status, std::vector<HttpField> fields,
                               std::string_view body, bool closes)
{
    m_closeResponse = closes || closesAfterResponse();
    std::string out;
    out.reserve(256 + body.size());
    appendStatusLine(out, status);
    std::string length;
    appendNumber(length, body.size());
    fields.push_back({"Content-Length", std::move(length)});
    if (m_closeResponse)
        fields.push_back({"Connection", "close"});
    appendFields(out, fields);
    if (!m_isHead)
        out += body;
    m_responseStarted = true;
    m_chunked = false;
    write(out);
    endRequest();
}

void CallerConnection::startResponse(const HttpHead &head)
{
    m_closeResponse = closesAfterResponse();
    m_responseStarted = true;
    std::string out;
    out.reserve(512);
    appendStatusLine(out, head.status);
    std::vector<HttpField> fields = head.fields;
    const bool hasNoBody = m_isHead || head.status == 204 || head.status == 304;
    m_chunked = !hasNoBody && !head.contentLength && m_minorVersion > 0;
    if (m_chunked)
        fields.push_back({"Transfer-Encoding", "chunked"});
    else if (!hasNoBody && !head.contentLength)
        m_closeResponse = true;
    if (m_closeResponse)
        fields.push_back({"Connection", "close"});
    appendFields(out, fields);
    write(out);
}

void CallerConnection::writeBody(std::string_view bytes)
{
    if (bytes.empty() || m_isHead)
        return;
    if (!m_chunked) {
        write(bytes);
        return;
    }
    std::string out;
    out.reserve(bytes.size() + 16);
    appendNumber(out, bytes.size(), 16);
    out += "\r\n";
    out += bytes;
    out += "\r\n";
    write(out);
}

void CallerConnection::finishResponse()
{
    if (m_chunked)
        write("0\r\n\r\n");
    endRequest();
}

void CallerConnection::abort()
{
    m_watcher = nullptr;
    if (m_isOpen) {
        // A reset, so that nothing looks like the regular end of a body without a length.
        boost::system::error_code ignored; // Without the option the close is a plain one.
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    close();
}

void CallerConnection::endRequest()
{
    m_watcher = nullptr;
    // A stop may have begun during a response that promised more.
    if (m_closeResponse || m_handler.isStopping()) {
        closeAfterWrite();
        return;
    }
    setState(State::Idle);
    m_stateSince = m_now;
    m_headBytes = 0;
    m_bodyBytes = 0;
    m_answerBytes = 0;
    if (m_unparsed.empty())
        m_unparsed = std::string();
    else
        parseLater();
    count();
    read();
}

void CallerConnection::parseLater()
{
    boost::asio::post(m_socket.get_executor(), [this, self = shared_from_this()] {
        if (!m_isOpen || m_state != State::Idle)
            return;
        parse({});
        count();
        if (m_state == State::Reading)
            makeRoom();
        read();
    });
}

void CallerConnection::write(std::string_view bytes)
{
    m_writer.write(m_socket, bytes, shared_from_this());
    if (m_writer.backlog() > 0)
        count();
}

void CallerConnection::onDrained(bool written)
{
    if (!m_isOpen)
        return;
    if (!written) {
        CallerWatcher *watcher = std::exchange(m_watcher, nullptr);
        close();
        if (watcher)
            watcher->onCallerGone();
        return;
    }
    count();
    if (m_state == State::Idle) {
        m_stateSince = m_now;
        if (!m_unparsed.empty())
            parseLater();
        read();
    }
    if (m_state == State::Closing)
        closeAfterWrite();
    else if (m_watcher)
        m_watcher->onCallerDrained();
}

void CallerConnection::closeAfterWrite()
{
    setState(State::Closing);
    m_stateSince = m_now;
    m_unparsed = std::string();
    m_headBytes = 0;
    m_bodyBytes = 0;
    m_answerBytes = 0;
    count();
    if (m_writer.backlog() > 0)
        return;
    boost::system::error_code ignored; // The caller may have closed first.
    m_socket.shutdown(Socket::shutdown_send, ignored);
    if (m_halfClosed)
        close();
    else
        read();
}

void CallerConnection::closeIdle()
{
    if (isIdle())
        close();
}

bool CallerConnection::isWriteStalled(TimePoint now)
{
    if (m_writer.backlog() == 0 || m_writer.progress() != m_progress) {
        if (m_writer.progress() != m_progress)
            progress(CallerAccount::kProgressBytes, now);
        m_progress = m_writer.progress();
        m_progressAt = now;
    }
    return now - m_progressAt > kStalledLimit;
}

bool CallerConnection::sweep(TimePoint now)
{
    m_now = now;
    if (!m_isOpen)
        return false;
    if ((m_writer.isBroken() || isWriteStalled(now))) {
        onDrained(false);
        return false;
    }
    const Duration age = now - m_stateSince;
    switch (m_state) {
    case State::Idle:
        if (age > m_handler.limits().idleTimeout && m_writer.backlog() == 0)
            close();
        break;
    case State::Reading:
        if (!m_parser->hasHead() && age > m_handler.limits().headerTimeout)
            refuse(408, "header fields took too long");
        else if (age > m_handler.limits().idleTimeout)
            refuse(408, "body took too long");
        break;
    case State::Busy:
        break;
    case State::Closing:
        if (age > kClosingLimit && m_writer.backlog() == 0)
            close();
        break;
    }
    return m_isOpen;
}

void CallerConnection::close()
{
    m_isOpen = false;
    leave();
    m_parser.reset();
    m_unparsed = std::string();
    boost::system::error_code ignored; // A socket that does not close is closed already.
    m_socket.close(ignored);
}

} // namespace comfrey
