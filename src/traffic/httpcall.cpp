// One call on a kept connection.
#include "traffic/httpcall.h"

namespace comfrey {

namespace {

constexpr Duration kIdleLimit = milliseconds(10000); // shorter than servers keep idle connections

} // namespace

class HttpCaller::Running : public BackendListener, public std::enable_shared_from_this<Running>
{
public:
    Running(HttpCaller &caller, Call call, Handler handler)
        : m_caller(caller), m_call(std::move(call)), m_handler(std::move(handler)),
          m_timer(caller.m_loop)
    {
        m_server = m_call.to.address().to_string() + ':' + std::to_string(m_call.to.port());
    }

    void start()
    {
        m_isRunning = true;
        armTimer(m_call.timeout);
        std::string head = m_call.method + ' ' + m_call.target + " HTTP/1.1\r\n";
        std::vector<HttpField> fields = {{"Host", m_server}};
        if (!m_call.contentType.empty())
            fields.push_back({"Content-Type", m_call.contentType});
        if (!m_call.body.empty() || m_call.method == "POST")
            fields.push_back({"Content-Length", std::to_string(m_call.body.size())});
        appendFields(head, fields);
        m_connection = m_caller.m_pool.take(m_server, m_call.to, m_caller.m_clock());
        m_connection->send(std::move(head),
                           std::make_shared<const std::string>(std::move(m_call.body)), false,
                           this);
    }

    bool acceptsHead(const HttpHead &) override { return true; }
    void onHead(HttpHead &head) override { m_answer.status = head.status; }
    void onBody(std::string_view bytes) override
    {
        if (m_answer.body.size() + bytes.size() > m_call.maxAnswerBytes) {
            giveUp("the answer is too long", true);
            return;
        }
        m_answer.body.append(bytes);
        m_connection->setHeldByListener(m_answer.body.size());
        if (m_call.progressTimeout > Duration(0))
            armTimer(m_call.progressTimeout);
    }
    void onEnd() override
    {
        m_caller.m_pool.giveBack(m_server, std::exchange(m_connection, nullptr),
                                 m_caller.m_clock());
        end();
    }
    void onBroken(BreakKind kind) override
    {
        m_connection = nullptr;
        giveUp(wasSent(kind) ? "connection broke" : "no connection", wasSent(kind));
    }

private:
    void armTimer(Duration timeout)
    {
        m_timer.expires_after(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout));
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error)
                self->giveUp("no answer in time",
                             self->m_connection && self->m_connection->hasSent());
        });
    }

    void giveUp(const char *problem, bool wasSent)
    {
        if (!m_isRunning)
            return;
        if (m_connection)
            std::exchange(m_connection, nullptr)->drop();
        m_answer = {0, {}, problem, wasSent};
        end();
    }

    void end()
    {
        const auto self = shared_from_this();
        m_isRunning = false;
        m_timer.cancel();
        m_handler(std::move(m_answer));
    }

    HttpCaller &m_caller;
    Call m_call;
    Handler m_handler;
    boost::asio::steady_timer m_timer;
    std::string m_server;
    BackendPool::Connection m_connection; ///< Null once the answer is whole.
    CallAnswer m_answer;
    bool m_isRunning = false; ///< Meanwhile the timer's handler keeps the call alive.
};

HttpCaller::HttpCaller(boost::asio::io_context &loop, const BackendConnectionLimits &limits,
                       std::function<TimePoint()> clock)
    : m_loop(loop), m_clock(std::move(clock)), m_pool(loop, limits, kIdleLimit)
{ }

void HttpCaller::start(Call call, Handler handler)
{
    std::make_shared<Running>(*this, std::move(call), std::move(handler))->start();
}

} // namespace comfrey
