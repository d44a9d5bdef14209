// One sending of a caller's request to a back end, on the traffic loop. What kinds of requests do
// differently, their senders override.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "comfrey/actions.h"
#include "daemon/eventsink.h"
#include "daemon/exchange.h"
#include "daemon/processclock.h"
#include "traffic/backendpool.h"

namespace comfrey {

/// What all sendings of the process share.
struct SendingParts
{
    boost::asio::io_context &loop;
    BackendPool &pool;
    BackendConnectionLimits limits; ///< Of connections that are not taken from the pool.
    EventSink &sink;
    const ProcessClock &clock;
};

class BackendSender : public BackendListener, public std::enable_shared_from_this<BackendSender>
{
public:
    /// Called once.
    using EndHandler = std::function<void(AttemptEnded)>;

    BackendSender(SendingParts &parts, SendToBackend order, std::shared_ptr<Exchange> exchange);

    void start(EndHandler onEnded);
    void cancel();

    /// False if the answer names another request, or none on a connection that carried an earlier
    /// one: it may be a late copy of an earlier answer.
    bool acceptsHead(const HttpHead &head) override;
    void onHead(HttpHead &head) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;
    void onBroken(BreakKind kind) override;

protected:
    /// Why a sending ended.
    enum class Cause : std::uint8_t {
        Whole,        ///< The response came to its end.
        Stopped,      ///< The sender wanted no more of it.
        Cancelled,    ///< The router cancelled it.
        TimedOut,     ///< Its time is over.
        NotConnected, ///< No byte of the request left this process.
        Broken,       ///< The connection broke, or what came is no HTTP.
    };

    /// Header fields besides those of every sending.
    virtual std::vector<HttpField> fields() const = 0;
    /// False: the rest of the response is not wanted.
    virtual bool takeHead(const HttpHead &head) = 0;
    virtual bool takeBytes(std::string_view bytes) = 0;
    /// Bytes of the response that are held since the caller cannot be given them yet.
    virtual std::size_t heldBytes() const = 0;
    /// Fills in what the sender knows of the end.
    virtual void describeEnd(Cause cause, AttemptEnded &ended) = 0;

    const SendToBackend &order() const { return m_order; }
    Exchange &exchange() { return *m_exchange; }
    const Exchange &exchange() const { return *m_exchange; }
    EventSink &sink() { return m_parts.sink; }

private:
    std::string poolName() const { return m_order.backend.value() + '@' + m_order.address.value(); }
    void armTimer();
    void stop(Cause cause);
    void end(Cause cause);

    SendingParts &m_parts;
    const SendToBackend m_order;
    const std::shared_ptr<Exchange> m_exchange;
    boost::asio::steady_timer m_timer;
    BackendPool::Connection m_connection; ///< Null before the start and after the end.
    EndHandler m_onEnded;                 ///< Null after the end.
};

} // namespace comfrey
