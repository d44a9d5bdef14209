// The callers' port: chats, models and service calls, on the traffic loop.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "comfrey/ids.h"
#include "daemon/callerrequest.h"
#include "daemon/callersession.h"
#include "daemon/eventsink.h"
#include "daemon/exchangetable.h"
#include "daemon/processclock.h"
#include "daemon/trafficloop.h"
#include "telemetry/linerate.h"
#include "traffic/callerlistener.h"

namespace comfrey {

struct CallerServerOptions
{
    RouterId router;
    Incarnation incarnation;
    std::size_t maxRequests = 256; ///< Chats served at once; more are refused.
    std::size_t maxBodyBytes = 4 << 20;
};

/// What the port asks the decisions; the replies come on the traffic loop.
class CallerDirectory
{
public:
    virtual ~CallerDirectory() = default;
    virtual void readiness(std::function<void(bool ready)> reply) = 0;
    virtual void modelsFor(const ApiKeyHash &key,
                           std::function<void(const std::vector<ModelId> &)> reply) = 0;
};

class CallerServer : public RequestHandler, public SessionOwner
{
public:
    CallerServer(const CallerServerOptions &options, TrafficLoop &loop, ExchangeTable &exchanges,
                 EventSink &sink, CallerDirectory &directory, const ProcessClock &clock,
                 std::shared_ptr<CallerAccount> account);

    /// Before the loop starts. Returns the port in use.
    Result<int> listen(const Endpoint &address);
    /// From another thread: takes no new connection, lets each open one end after its present
    /// request, and returns true when all have, or false at the limit.
    bool stop(std::chrono::steady_clock::time_point limit);

    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead head,
                   std::string body) override;
    const CallerLimits &limits() const override { return m_limits; }
    bool isStopping() const override { return m_stopping; }
    ResponseContent onBadRequest(unsigned status, std::string_view reason) override;
    bool servesHalfClosed() const override { return true; }
    std::shared_ptr<CallerAccount> account() override { return m_account; }
    void onCallerClosed(Shortage shortage) override;

    /// What is held for callers and who gave way, for metrics. From another thread; empty if the
    /// loop does not answer soon.
    nlohmann::json accountState();

    void onSessionEnded(CallerSession &session, bool left) override;

private:
    using Connection = std::shared_ptr<CallerConnection>;

    void serveChat(const Connection &caller, const HttpHead &head, const std::string &body);
    void serveService(const Connection &caller, const HttpHead &head, std::string body);
    void serveModels(const Connection &caller, const HttpHead &head);
    void serveReadiness(const Connection &caller);
    void refuse(CallerConnection &caller, CallerError error, std::string text);
    template<typename Session>
    void open(const Connection &caller, ParsedRequest parsed);
    RequestId nextRequestId();

    const CallerServerOptions m_options;
    CallerLimits m_limits;
    TrafficLoop &m_loop;
    ExchangeTable &m_exchanges;
    EventSink &m_sink;
    CallerDirectory &m_directory;
    CallerListener m_listener;
    std::unordered_map<RequestId, std::shared_ptr<CallerSession>> m_sessions;
    std::uint64_t m_lastRequest = 0;
    const ProcessClock &m_clock;
    std::shared_ptr<CallerAccount> m_account;
    LineRate m_refusalLines;
    std::uint64_t m_refused = 0;              ///< Requests for which memory or sockets lacked.
    std::uint64_t m_closedForMemory = 0;      ///< Connections closed without an answer.
    std::uint64_t m_closedForDescriptors = 0; ///< As above.
    bool m_stopping = false;
};

} // namespace comfrey
