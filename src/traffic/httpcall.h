// Calls of this process to servers that answer with one short message: the platform's store, and
// other routers. Each call ends exactly once, by its answer or by its time limit.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "traffic/backendpool.h"

namespace comfrey {

struct CallAnswer
{
    unsigned status = 0; ///< 0: no answer; it may have taken effect or not.
    std::string body;
    std::string problem;  ///< Why there is no answer.
    bool wasSent = false; ///< Without an answer: the call may have reached the server.
};

/// Makes calls. Tests replace it to run without a network.
class CallSender
{
public:
    using Handler = std::function<void(CallAnswer)>;

    virtual ~CallSender() = default;

    struct Call
    {
        BackendConnection::Endpoint to;
        std::string method = "GET";
        std::string target; ///< Path and query.
        std::string body;
        std::string contentType;
        Duration timeout; ///< Until the answer is whole, or begins if progressTimeout is set.
        Duration progressTimeout{0}; ///< Not 0: longest pause between two pieces of the answer.
        /// A longer body fails the call. Twice the largest message of the platform's store.
        std::size_t maxAnswerBytes = std::size_t{8} << 20;
    };

    virtual void start(Call call, Handler handler) = 0;
};

/// Makes calls over HTTP connections.
class HttpCaller : public CallSender
{
public:
    HttpCaller(boost::asio::io_context &loop, const BackendConnectionLimits &limits,
               std::function<TimePoint()> clock);

    void start(Call call, Handler handler) override;
    void sweep(TimePoint now) { m_pool.sweep(now); }

private:
    class Running;

    boost::asio::io_context &m_loop;
    std::function<TimePoint()> m_clock;
    BackendPool m_pool;
};

} // namespace comfrey
