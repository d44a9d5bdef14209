// One connection to a backend server or another server that this process calls. It carries one
// request at a time, sees bytes that belong to no request, and reports each step to a listener.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "comfrey/units.h"
#include "memory/calleraccount.h"
#include "traffic/httpparser.h"
#include "traffic/socketwriter.h"

namespace comfrey {

/// How a connection ended before its response was complete.
enum class BreakKind : std::uint8_t {
    Refused,        ///< The connection was not established: nothing listens at the address.
    ConnectTimeout, ///< Not established, with no answer at all from the address.
    ConnectFailed,  ///< Not established for another reason, such as no descriptor left here.
    Closed,         ///< Ended after the request was handed to the network.
    Malformed,      ///< The bytes are no HTTP response.
    Dropped,        ///< Given up here, since too much was held of responses that had not ended.
};

/// True if the request may have reached the server.
inline bool wasSent(BreakKind kind)
{
    return kind == BreakKind::Closed || kind == BreakKind::Malformed || kind == BreakKind::Dropped;
}

/// Hears of the steps of one request. Every method may drop the connection.
class BackendListener
{
public:
    virtual ~BackendListener() = default;
    /// Returns the id that the response must bear; a response with another one is discarded.
    virtual bool acceptsHead(const HttpHead &head) = 0;
    virtual void onHead(HttpHead &head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onEnd() = 0;
    virtual void onBroken(BreakKind kind) = 0;
};

/// What connections are for.
enum class BackendUse : std::uint8_t {
    Requests, ///< Of callers.
    /// Calls that this process needs to work: their sockets have a reserve of their own, and their
    /// responses are counted but never given up.
    Control,
};

struct BackendConnectionLimits
{
    Duration connectTimeout;
    Duration silentLimit; ///< TCP gives up on a peer that acknowledges nothing for so long.
    std::uint32_t maxHeaderBytes = 0;
    std::shared_ptr<CallerAccount> account = nullptr; ///< Null: nothing is counted.
    BackendUse use = BackendUse::Requests;
};

class BackendConnection : public std::enable_shared_from_this<BackendConnection>,
                          private AnswerShare
{
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;

    BackendConnection(boost::asio::io_context &loop, const Endpoint &endpoint,
                      const BackendConnectionLimits &limits);
    ~BackendConnection() override;

    /// Sends a request, connecting first if need be. `listener` must live until its onEnd(), its
    /// onBroken() or drop().
    void send(std::string head, std::shared_ptr<const std::string> body, bool isHead,
              BackendListener *listener);
    /// Connects without a request, within `limit`. `handler` hears how it failed; nothing if it is
    /// open.
    void open(Duration limit, std::function<void(std::optional<BreakKind>)> handler);
    /// Closes at once and tells the listener nothing more.
    void drop();
    /// While paused nothing more is read, so the sender is slowed down.
    void setPaused(bool paused);

    /// Tells how much of the present response the listener holds until it can be passed on.
    void setHeldByListener(std::size_t bytes) { m_heldByListener = bytes; }

    /// True once a byte of the present request may have left this process.
    bool hasSent() const { return m_hasSent; }
    /// True if the next request may go out on it.
    bool isReusable() const
    {
        return m_isOpen && !m_listener && !m_closing && m_writer.backlog() == 0
            && !m_writer.isBroken(); // A write that failed has no backlog.
    }
    /// True if an earlier request went out on it, so that a late copy of its response may come.
    bool isKept() const { return m_requestCount > 1; }
    /// True if bytes have arrived that belong to no request.
    bool hasUnreadBytes() const;
    bool isOpen() const { return m_isOpen || m_connecting; }
    /// What the Keep-Alive field of the last response allowed, if it did.
    std::optional<Duration> keepAliveLimit() const { return m_keepAliveLimit; }

private:
    void connect(Duration limit);
    void onConnected(const boost::system::error_code &error);
    void writeRequest();
    void read();
    void onRead(const boost::system::error_code &error, std::size_t count);
    /// The server has ended its side of the connection during a response.
    void onServerClosed();
    /// Ends a response that ended with its connection. It is whole only if the connection took the
    /// whole request too: a reset that a write met looks like a clean end to the reader.
    void finishOnceWritten();
    void parse();
    void giveWay() override;
    /// Tells the account what is held now, and has responses given up if that is too much.
    void updateAccount();
    void finishResponse();
    /// Hands over the head, or marks the response as one to another request. False if the listener
    /// dropped the connection.
    bool takeHead();
    /// Forgets the fields of a head that was read whole.
    void releaseHead();
    /// Hands over or discards the body bytes that were parsed. False if the request has ended.
    bool takeBody();
    void fail(BreakKind kind);
    void close();

    boost::asio::io_context &m_loop;
    Endpoint m_endpoint;
    BackendConnectionLimits m_limits;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    SocketWriter m_writer;
    std::array<char, 4096> m_chunk;
    std::string m_unparsed; ///< Received and not yet parsed.
    std::optional<ResponseParser> m_parser;
    std::string m_head; ///< Of the request that waits for the connection.
    std::shared_ptr<const std::string> m_body;
    BackendListener *m_listener = nullptr;                  ///< Null while no request is under way.
    std::function<void(std::optional<BreakKind>)> m_opened; ///< Of open(), until it is called.
    std::optional<Duration> m_keepAliveLimit;
    bool m_isHead = false;
    bool m_connecting = false;
    bool m_isOpen = false;
    bool m_closing = false;   ///< Not to be used for another request.
    bool m_isCounted = false; ///< The account counts the socket.
    bool m_hasSent = false;
    bool m_paused = false;
    bool m_reading = false;
    bool m_headGiven = false;         ///< The listener has the head of the present response.
    bool m_discarding = false;        ///< The present response belongs to another request.
    std::size_t m_headBytes = 0;      ///< Read of a head that is not whole.
    std::size_t m_heldByListener = 0; ///< Of the present response.
    std::size_t m_discardedBytes = 0; ///< Body bytes of such responses.
    std::uint64_t m_requestCount = 0; ///< Requests that went out, the present one included.
    std::uint32_t m_skipped = 0; ///< Interim and foreign responses before that of this request.
};

} // namespace comfrey
