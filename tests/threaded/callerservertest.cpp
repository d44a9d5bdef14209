// The callers' port: whole answers for callers that behave and that misbehave on the connection,
// and word to the decisions when a caller leaves.
#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <mutex>
#include <vector>

#include "daemon/callerserver.h"
#include "rawcaller.h"

using namespace comfrey;

namespace {

constexpr std::size_t kMaxBodyBytes = 65536;
constexpr Tokens kTokens = 200;

/// Stands for the decisions: answers each chat with kTokens tokens, or leaves it open.
class ScriptedDecisions : public EventSink, public CallerDirectory
{
public:
    ScriptedDecisions(TrafficLoop &loop, ExchangeTable &exchanges)
        : m_loop(loop), m_exchanges(exchanges)
    { }

    void leaveOpen(Tokens afterTokens)
    {
        m_leavesOpen = true;
        m_tokens = afterTokens;
    }

    void post(Event event) override
    {
        if (const auto *arrived = std::get_if<RequestArrived>(&event))
            m_loop.post([this, request = arrived->request] { answer(request); });
        const std::lock_guard lock(m_mutex);
        if (std::holds_alternative<CallerLeft>(event))
            ++m_left;
        if (std::holds_alternative<RequestArrived>(event))
            ++m_arrived;
        m_changed.notify_all();
    }

    void readiness(std::function<void(bool)> reply) override { reply(true); }
    void modelsFor(const ApiKeyHash &,
                   std::function<void(const std::vector<ModelId> &)> reply) override
    {
        reply({ModelId("swarm-7b")});
    }

    bool waitForArrived(int count) { return wait(m_arrived, count); }
    bool waitForLeft(int count) { return wait(m_left, count); }

private:
    bool wait(const int &counter, int count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(5),
                                  [&counter, count] { return counter >= count; });
    }

    void answer(const RequestId &request)
    {
        const auto exchange = m_exchanges.find(request);
        if (!exchange)
            return;
        for (Tokens position = 0; position < m_tokens; ++position)
            exchange->deliver(AttemptId(1), request, position, "t");
        if (m_leavesOpen)
            return;
        AnswerCaller end;
        end.request = request;
        end.outcome = Outcome::Answered;
        end.attempt = AttemptId(1);
        exchange->end(end);
    }

    TrafficLoop &m_loop;
    ExchangeTable &m_exchanges;
    bool m_leavesOpen = false; ///< Set before the first request.
    Tokens m_tokens = kTokens; ///< Likewise.
    std::mutex m_mutex;        ///< Guards the counts.
    std::condition_variable m_changed;
    int m_arrived = 0;
    int m_left = 0;
};

std::string chat(bool streamed)
{
    return std::string(R"({"model":"swarm-7b","messages":[{"role":"user","content":"hi"}],)")
        + (streamed ? R"("stream":true})" : R"("stream":false})");
}

} // namespace

class CallerServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerServerTest);
    CPPUNIT_TEST(callerWithClosedSendingSideGetsWholeStream);
    CPPUNIT_TEST(callerOfWholeChatGetsOnePiece);
    CPPUNIT_TEST(callerWithTooLargeBodyGetsReason);
    CPPUNIT_TEST(callerCutOffInBodyDisturbsNobody);
    CPPUNIT_TEST(slowCallersDisturbNobody);
    CPPUNIT_TEST(callerThatLeavesItsStreamIsReported);
    CPPUNIT_TEST(callerBeyondTheLimitIsRefusedWithTime);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(unknownPathIsNotFound);
    CPPUNIT_TEST(stoppingServerEndsAfterTheLastAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<TrafficLoop>();
        m_exchanges = std::make_unique<ExchangeTable>();
        m_decisions = std::make_unique<ScriptedDecisions>(*m_loop, *m_exchanges);
        CallerServerOptions options;
        options.router = RouterId("r0");
        options.maxRequests = 2;
        options.maxBodyBytes = kMaxBodyBytes;
        m_server = std::make_unique<CallerServer>(options, *m_loop, *m_exchanges, *m_decisions,
                                                  *m_decisions, m_clock,
                                                  std::make_shared<CallerAccount>(AccountLimits()));
        const Result<int> port = m_server->listen(Endpoint("127.0.0.1:0"));
        CPPUNIT_ASSERT(port.has_value());
        m_port = *port;
        m_loop->start();
    }

    void tearDown() override
    {
        m_loop->stop();
        m_server.reset();
        m_exchanges.reset();
        m_decisions.reset();
        m_loop.reset();
    }

    void callerWithClosedSendingSideGetsWholeStream()
    {
        RawCaller caller(m_port);
        caller.write(requestWithBody("/v1/chat/completions", chat(true)));
        caller.closeSendingSide();
        const std::string answer = caller.readToEnd();
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(kTokens), countOf(answer, "\"content\":\"t\""));
        CPPUNIT_ASSERT(answer.find("data: [DONE]") != std::string::npos);
        CPPUNIT_ASSERT(answer.find("\r\n0\r\n\r\n") != std::string::npos);
    }

    void callerOfWholeChatGetsOnePiece()
    {
        RawCaller caller(m_port);
        caller.write(requestWithBody("/v1/chat/completions", chat(false)));
        const std::string answer = caller.readToEnd();
        CPPUNIT_ASSERT(answer.find("HTTP/1.1 200") == 0);
        CPPUNIT_ASSERT(answer.find('"' + std::string(kTokens, 't') + '"') != std::string::npos);
        CPPUNIT_ASSERT(answer.find("X-Comfrey-Outcome: answered") != std::string::npos);
    }

    void callerWithTooLargeBodyGetsReason()
    {
        RawCaller caller(m_port);
        caller.write(requestWithBody("/v1/chat/completions", std::string(kMaxBodyBytes + 1, 'x')));
        const std::string answer = caller.readToEnd();
        CPPUNIT_ASSERT(answer.find("HTTP/1.1 413") == 0);
        CPPUNIT_ASSERT(answer.find("too_large") != std::string::npos);
        CPPUNIT_ASSERT(answer.find("X-Comfrey-Outcome: not-run") != std::string::npos);
    }

    void callerCutOffInBodyDisturbsNobody()
    {
        {
            RawCaller caller(m_port);
            caller.write("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: 100\r\n\r\nshort");
        }
        assertServed();
    }

    void slowCallersDisturbNobody()
    {
        RawCaller first(m_port);
        RawCaller second(m_port);
        first.write("POST /v1/chat/completions HT");
        second.write("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
                     "Content-Length: 100\r\n\r\n");
        assertServed();
    }

    void callerThatLeavesItsStreamIsReported()
    {
        m_decisions->leaveOpen(1);
        {
            RawCaller caller(m_port);
            caller.write(requestWithBody("/v1/chat/completions", chat(true)));
            CPPUNIT_ASSERT(m_decisions->waitForArrived(1));
        }
        CPPUNIT_ASSERT(m_decisions->waitForLeft(1));
    }

    void callerBeyondTheLimitIsRefusedWithTime()
    {
        m_decisions->leaveOpen(0);
        RawCaller first(m_port);
        RawCaller second(m_port);
        first.write(requestWithBody("/v1/chat/completions", chat(true)));
        second.write(requestWithBody("/v1/chat/completions", chat(true)));
        CPPUNIT_ASSERT(m_decisions->waitForArrived(2));
        RawCaller third(m_port);
        third.write(requestWithBody("/v1/chat/completions", chat(true)));
        const std::string answer = third.readToEnd();
        CPPUNIT_ASSERT(answer.find("HTTP/1.1 503") == 0);
        CPPUNIT_ASSERT(answer.find("Retry-After: 1") != std::string::npos);
        CPPUNIT_ASSERT(answer.find("X-Comfrey-Outcome: not-run") != std::string::npos);
    }

    void pipelinedRequestsAreAnsweredInOrder()
    {
        const std::string body = chat(true);
        const std::string first = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
                                  "Content-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        RawCaller caller(m_port);
        caller.write(first + first + requestWithBody("/v1/chat/completions", chat(false)));
        const std::string answer = caller.readToEnd();
        CPPUNIT_ASSERT_EQUAL(3, countOf(answer, "HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(2, countOf(answer, "data: [DONE]"));
        CPPUNIT_ASSERT(answer.rfind("data: [DONE]")
                       < answer.find('"' + std::string(kTokens, 't') + '"'));
    }

    void unknownPathIsNotFound()
    {
        RawCaller caller(m_port);
        caller.write(requestWithBody("/nowhere", "x"));
        const std::string answer = caller.readToEnd();
        CPPUNIT_ASSERT(answer.find("HTTP/1.1 404") == 0);
        CPPUNIT_ASSERT(answer.find("no such path") != std::string::npos);
    }

    void stoppingServerEndsAfterTheLastAnswer()
    {
        RawCaller caller(m_port);
        caller.write(requestWithBody("/v1/chat/completions", chat(true)));
        CPPUNIT_ASSERT(m_decisions->waitForArrived(1));
        CPPUNIT_ASSERT(m_server->stop(std::chrono::steady_clock::now() + std::chrono::seconds(5)));
        CPPUNIT_ASSERT(caller.readToEnd().find("data: [DONE]") != std::string::npos);
    }

private:
    void assertServed()
    {
        RawCaller caller(m_port);
        caller.write(requestWithBody("/v1/chat/completions", chat(false)));
        const std::string answer = caller.readToEnd();
        CPPUNIT_ASSERT(answer.find("HTTP/1.1 200") == 0);
    }

    ProcessClock m_clock;
    std::unique_ptr<TrafficLoop> m_loop;
    std::unique_ptr<ExchangeTable> m_exchanges;
    std::unique_ptr<ScriptedDecisions> m_decisions;
    std::unique_ptr<CallerServer> m_server;
    int m_port = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerServerTest);
