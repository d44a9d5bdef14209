// One caller's connection: reads requests one after another, writes their responses, and notices a
// caller that leaves while its request is under way.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "dispatch/fleetconfig.h"
#include "memory/calleraccount.h"
#include "traffic/httpparser.h"
#include "traffic/socketwriter.h"

namespace comfrey {

class CallerConnection;

/// Fields and body of a response; its status is known.
struct ResponseContent
{
    std::vector<HttpField> fields;
    std::string body;
};

/// `text` as a line of plain text.
ResponseContent plainContent(std::string_view text);

/// Takes the requests of callers' connections.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    /// A whole request was read. The handler answers through the connection, now or later.
    virtual void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                           std::string body) = 0;
    /// Limits for the next request.
    virtual const CallerLimits &limits() const = 0;
    /// While true, each response closes its connection.
    virtual bool isStopping() const = 0;
    /// A request that was refused while it was read. Returns what its caller is told.
    virtual ResponseContent onBadRequest(unsigned status, std::string_view reason)
    {
        (void)status;
        return plainContent(reason);
    }
    /// True if a caller that closed its sending side still gets its answer. It then looks the same
    /// as one that has left, until a write fails.
    virtual bool servesHalfClosed() const { return false; }
    /// Of the memory and the sockets of all callers; null if these connections are not counted.
    virtual std::shared_ptr<CallerAccount> account() { return nullptr; }
    /// Closes one kept connection to a server, for a caller. False if there is none.
    virtual bool closeKeptServer() { return false; }
    /// A connection was closed for others, without an answer.
    virtual void onCallerClosed(Shortage shortage) { (void)shortage; }
};

/// Hears what happens to the caller of a request that is under way.
class CallerWatcher
{
public:
    virtual ~CallerWatcher() = default;
    virtual void onCallerGone() = 0;
    /// The caller has taken all that was written.
    virtual void onCallerDrained() = 0;
};

/// Where a request is answered as a whole. Tests replace it to run without a network.
class Responder
{
public:
    virtual ~Responder() = default;
    virtual bool isOpen() const = 0;
    /// A whole response. `closes` ends the connection after it.
    virtual void respond(unsigned status, std::vector<HttpField> fields, std::string_view body,
                         bool closes) = 0;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         public Responder,
                         private CallerShare
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    CallerConnection(Socket socket, RequestHandler &handler, TimePoint now);

    void start();
    /// Null ends the watch. The watcher must live until then, or until its onCallerGone().
    void watch(CallerWatcher *watcher) { m_watcher = watcher; }

    void respond(unsigned status, std::vector<HttpField> fields, std::string_view body,
                 bool closes = false) override;
    /// Begins a response whose body follows; without a length it goes out in chunks.
    void startResponse(const HttpHead &head);
    void writeBody(std::string_view bytes);
    /// The body is whole.
    void finishResponse();
    /// Ends the connection so that the response can't be taken for a whole one.
    void abort();

    bool hasStarted() const { return m_responseStarted; }
    std::size_t backlog() const { return m_writer.backlog(); }
    /// Tells of bytes of the answer that are held for the caller elsewhere.
    void holdAnswer(std::size_t bytes);
    /// True if little may be held of the answer, since memory is short.
    bool isMemoryTight() const { return account() && account()->isTight(); }
    bool isOpen() const override { return m_isOpen; }
    /// True between two requests, with the last answer taken and nothing of the next request read.
    bool isIdle() const
    {
        return m_state == State::Idle && m_unparsed.empty() && m_writer.backlog() == 0;
    }
    /// Closes an idle connection.
    void closeIdle();
    /// Applies the time limits. Returns false once the connection is closed.
    bool sweep(TimePoint now);

private:
    enum class State : std::uint8_t {
        Idle,    ///< Waits for the next request.
        Reading, ///< Has a part of a request.
        Busy,    ///< The handler has the request.
        Closing, ///< The last response was written; discards what the caller still sends.
    };

    void giveWay(Shortage shortage) override;
    /// Has others give way for what this connection holds. False if it was refused itself.
    bool makeRoom();
    bool makeRoomForSending();
    /// Tells the account what is held now.
    void count();
    void setState(State state);
    CallerStage stage() const;
    std::size_t mostPipelinedBytes() const;

    void read();
    void onRead(const boost::system::error_code &error, std::size_t count);
    /// Parses what was left over, and `bytes` after it.
    void parse(std::string_view bytes);
    /// Goes on with what was read ahead, from the loop.
    void parseLater();
    void refuse(unsigned status, std::string_view reason);
    void refuseForShortage(Shortage shortage);
    void endRequest();
    void onDrained(bool written);
    bool isWriteStalled(TimePoint now);
    void closeAfterWrite();
    void close();
    bool closesAfterResponse() const;
    void write(std::string_view bytes);

    Socket m_socket;
    RequestHandler &m_handler;
    SocketWriter m_writer;
    std::array<char, 4096> m_chunk;
    std::string m_unparsed; ///< Received and not yet parsed.
    std::optional<RequestParser> m_parser;
    std::size_t m_headBytes = 0;   ///< Held of the present request's head.
    std::size_t m_headRead = 0;    ///< Bytes parsed until the head was whole.
    std::size_t m_bodyBytes = 0;   ///< Of the present request's body, once the handler has it.
    std::size_t m_answerBytes = 0; ///< Held of its answer elsewhere.
    CallerWatcher *m_watcher = nullptr;
    State m_state = State::Idle;
    TimePoint m_now;              ///< Of the last sweep: fine enough for limits of seconds.
    TimePoint m_stateSince;       ///< When m_state began, by m_now.
    TimePoint m_progressAt;       ///< Of the last sweep that saw the caller take bytes.
    std::uint64_t m_progress = 0; ///< Of the writer at that time.
    bool m_isOpen = true;
    bool m_reading = false;
    bool m_halfClosed = false; ///< The caller sends nothing more; nothing more is read.
    bool m_keepsAlive = true;  ///< The caller asked for more requests on this connection.
    bool m_isHead = false;
    bool m_responseStarted = false;
    bool m_chunked = false;       ///< The present response goes out in chunks.
    bool m_closeResponse = false; ///< The connection ends after the present response.
    unsigned m_minorVersion = 1;
};

std::string_view reasonPhrase(unsigned status);

} // namespace comfrey
