// One sending of a chat, against an engine that answers, cuts, refuses or mixes up requests.
#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "common/httpserver.h"
#include "daemon/backendclient.h"
#include "outcome/runstate.h"
#include "traffic/loopback.h"

using namespace comfrey;

namespace {

/// Keeps what the client reports; waits for ends of attempts.
class RecordingSink : public EventSink
{
public:
    void post(Event event) override
    {
        const std::lock_guard lock(m_mutex);
        if (auto *ended = std::get_if<AttemptEnded>(&event))
            m_ended.push_back(std::move(*ended));
        m_changed.notify_all();
    }

    AttemptEnded take()
    {
        std::unique_lock lock(m_mutex);
        const bool came =
            m_changed.wait_for(lock, std::chrono::seconds(10), [this] { return !m_ended.empty(); });
        CPPUNIT_ASSERT_MESSAGE("no end of the attempt was reported", came);
        AttemptEnded ended = std::move(m_ended.front());
        m_ended.erase(m_ended.begin());
        return ended;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<AttemptEnded> m_ended;
};

class JoiningListener : public ExchangeListener
{
public:
    void onToken(const std::string &token) override { text += token; }
    void onEnd(const AnswerCaller &) override { }
    std::size_t heldBytes() const override { return isWhole ? text.size() : 0; }

    std::string text;
    bool isWhole = false; ///< Keeps the text until the answer has ended.
};

/// How the engine of a test answers.
struct EngineScript
{
    Tokens answerTokens = 6;
    Tokens cutBefore = 1000; ///< Position before which the connection is dropped.
    std::string answerId;    ///< Of another request, if set.
    std::string oddEvent;    ///< Sent as the only event, if set.
    std::string longToken;   ///< Each token's text, if set.
    bool refuses = false;
    int failure = 0;       ///< Status of an answer that does not say "not started", if not 0.
    bool isSilent = false; ///< Answers only after `silence`.
    std::chrono::milliseconds silence{1500};
};

class ScriptedEngine
{
public:
    explicit ScriptedEngine(EngineScript script) : m_script(std::move(script)), m_server({})
    {
        m_server.routes().Post("/v1/chat/completions", [this](const auto &request, auto &response) {
            answer(request, response);
        });
        m_address = Endpoint("127.0.0.1:" + std::to_string(*m_server.listen("127.0.0.1:0")));
        m_server.start();
    }

    const Endpoint &address() const { return m_address; }

private:
    void answer(const httplib::Request &request, httplib::Response &response)
    {
        if (m_script.refuses) {
            response.status = 503;
            response.set_header("X-Not-Started", "1");
            return;
        }
        if (m_script.failure != 0) {
            response.status = m_script.failure;
            return;
        }
        if (m_script.isSilent)
            std::this_thread::sleep_for(m_script.silence);
        const std::string own = request.get_header_value("X-Request-Id");
        const std::string id = m_script.answerId.empty() ? own : m_script.answerId;
        auto next = std::make_shared<Tokens>(std::stoul(request.get_header_value("X-Resume-At")));
        const Tokens first = *next;
        response.set_chunked_content_provider(
            "text/event-stream", [this, id, next, first](std::size_t, httplib::DataSink &sink) {
                return writeNext(id, first, *next, sink);
            });
    }

    bool writeNext(const std::string &id, Tokens first, Tokens &next, httplib::DataSink &sink) const
    {
        if (!m_script.oddEvent.empty()) {
            const std::string odd = "data: " + m_script.oddEvent + "\n\n";
            sink.write(odd.data(), odd.size());
            sink.done();
            return true;
        }
        if (next >= m_script.cutBefore)
            return false;
        const bool isLast = next + 1 >= m_script.answerTokens;
        nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
        choice["delta"]["content"] =
            m_script.longToken.empty() ? std::to_string(next) : m_script.longToken;
        nlohmann::json event = {{"id", id}, {"position", next}};
        ++next;
        if (isLast) {
            choice["finish_reason"] = "stop";
            event["usage"] = {{"prompt_tokens", 1}, {"completion_tokens", next - first}};
        }
        event["choices"] = nlohmann::json::array({choice});
        const std::string text =
            "data: " + event.dump() + "\n\n" + (isLast ? "data: [DONE]\n\n" : "");
        sink.write(text.data(), text.size());
        if (isLast)
            sink.done();
        return true;
    }

    const EngineScript m_script;
    HttpServer m_server;
    Endpoint m_address;
};

} // namespace

class ChatSenderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChatSenderTest);
    CPPUNIT_TEST(wholeAnswerIsCompleted);
    CPPUNIT_TEST(answerResumedAtPositionIsCompleted);
    CPPUNIT_TEST(cutAnswerIsBrokenAndKeepsItsTokens);
    CPPUNIT_TEST(answerOfOtherRequestIsForeign);
    CPPUNIT_TEST(eventWithMembersOfOtherTypesBreaksTheAnswer);
    CPPUNIT_TEST(refusalIsUnstarted);
    CPPUNIT_TEST(earlierRefusalRepeatedOnAKeptConnectionIsNotBelieved);
    CPPUNIT_TEST(statusAloneIsNoWordThatNothingStarted);
    CPPUNIT_TEST(wholeAnswerLongerThanAnySoundOneIsBroken);
    CPPUNIT_TEST(absentEngineIsNotConnected);
    CPPUNIT_TEST(cancelledAttemptEndsAtOnce);
    CPPUNIT_TEST(silentEngineTimesOut);
    CPPUNIT_TEST_SUITE_END();

public:
    void wholeAnswerIsCompleted()
    {
        const ScriptedEngine engine({});
        const AttemptEnded ended = send(engine.address(), 0);
        CPPUNIT_ASSERT(ended.how == AttemptEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(Tokens{6}, summaryOf(ended.attempt).completionTokens);
    }

    void answerResumedAtPositionIsCompleted()
    {
        EngineScript cutting;
        cutting.cutBefore = 4;
        const ScriptedEngine first(cutting);
        CPPUNIT_ASSERT(send(first.address(), 0).how == AttemptEnd::BrokenInAnswer);
        const ScriptedEngine second({});
        const AttemptEnded ended = send(second.address(), delivered());
        CPPUNIT_ASSERT(ended.how == AttemptEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(Tokens{2}, ended.tokens);
        CPPUNIT_ASSERT_EQUAL(Tokens{6}, summaryOf(ended.attempt).completionTokens);
        CPPUNIT_ASSERT_EQUAL(std::string("012345"), deliveredText());
    }

    void cutAnswerIsBrokenAndKeepsItsTokens()
    {
        EngineScript cutting;
        cutting.cutBefore = 3;
        const ScriptedEngine engine(cutting);
        CPPUNIT_ASSERT(send(engine.address(), 0).how == AttemptEnd::BrokenInAnswer);
        CPPUNIT_ASSERT_EQUAL(std::string("012"), deliveredText());
    }

    void answerOfOtherRequestIsForeign()
    {
        EngineScript script;
        script.answerId = "other";
        const ScriptedEngine engine(script);
        CPPUNIT_ASSERT(send(engine.address(), 0).how == AttemptEnd::ForeignAnswer);
        CPPUNIT_ASSERT_EQUAL(Tokens{0}, delivered());
    }

    void eventWithMembersOfOtherTypesBreaksTheAnswer()
    {
        const std::string choice = R"("choices":[{"delta":{"content":"a"}}])";
        std::string nestedId = R"({"id":)" + std::string(100000, '[');
        const std::string nested = std::string(100000, '[') + std::string(100000, ']');
        nestedId += std::string(100000, ']') + ',' + choice + '}';
        for (const std::string &odd :
             {R"({"id":7,)" + choice + "}", R"({"id":"r-1","position":"0",)" + choice + "}",
              R"({"id":"r-1","position":1e300,)" + choice + "}",
              std::string(R"({"id":"r-1","choices":[{"delta":{"content":7}}]})"),
              R"({"id":"r-1","usage":{"prompt_tokens":"1"},)" + choice + "}",
              std::string(R"({"id":"r-1","choices":[7]})"), nestedId, nested}) {
            EngineScript script;
            script.oddEvent = odd;
            const ScriptedEngine engine(script);
            CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 60),
                                   send(engine.address(), 0).how == AttemptEnd::BrokenInAnswer);
            CPPUNIT_ASSERT_EQUAL(Tokens{0}, delivered());
        }
    }

    void refusalIsUnstarted()
    {
        EngineScript script;
        script.refuses = true;
        const ScriptedEngine engine(script);
        CPPUNIT_ASSERT(send(engine.address(), 0).how == AttemptEnd::RefusedUnstarted);
    }

    void earlierRefusalRepeatedOnAKeptConnectionIsNotBelieved()
    {
        boost::asio::io_context loop{1};
        int requests = 0;
        loopback::ScriptedServer engine(
            loop,
            [&](loopback::ServerConnection &connection,
                const loopback::ServerConnection::Request &) {
                connection.write("HTTP/1.1 503 X\r\nX-Not-Started: 1\r\nContent-Length: 0\r\n\r\n");
                if (++requests == 2)
                    connection.close();
            });
        const Endpoint address(engine.address());
        std::thread runner([&loop] { loop.run(); });
        const AttemptEnded first = send(address, 0);
        const AttemptEnded second = send(address, 0);
        loop.stop();
        runner.join();
        CPPUNIT_ASSERT(first.how == AttemptEnd::RefusedUnstarted);
        CPPUNIT_ASSERT_EQUAL(2, requests);
        CPPUNIT_ASSERT(second.how == AttemptEnd::BrokenBeforeAnswer);
    }

    /// Callers were told "not run" by a status that engines may send after a start.
    void statusAloneIsNoWordThatNothingStarted()
    {
        for (const int status : {400, 404, 413, 422, 429, 503}) {
            EngineScript script;
            script.failure = status;
            const ScriptedEngine engine(script);
            const AttemptEnd how = send(engine.address(), 0).how;
            CPPUNIT_ASSERT(outcomeOf(runStateAfter(how), false) == Outcome::Unknown);
            CPPUNIT_ASSERT_EQUAL(status != 503, how == AttemptEnd::FailedByBackend);
        }
    }

    /// The tokens of a chat that is answered in one piece were collected without bound.
    void wholeAnswerLongerThanAnySoundOneIsBroken()
    {
        EngineScript script;
        script.answerTokens = 500;
        script.longToken = std::string(100000, 'x');
        const ScriptedEngine engine(script);
        m_listener.isWhole = true;
        CPPUNIT_ASSERT(send(engine.address(), 0).how == AttemptEnd::BrokenInAnswer);
        CPPUNIT_ASSERT(deliveredText().size() <= std::size_t{16} << 20);
    }

    void absentEngineIsNotConnected()
    {
        CPPUNIT_ASSERT(send(Endpoint("127.0.0.1:1"), 0).how == AttemptEnd::NotConnected);
    }

    void cancelledAttemptEndsAtOnce()
    {
        EngineScript script;
        script.isSilent = true;
        const ScriptedEngine engine(script);
        const auto begin = std::chrono::steady_clock::now();
        m_client->send(orderTo(engine.address(), 0));
        m_client->cancel(AttemptId(m_lastAttempt));
        CPPUNIT_ASSERT(m_sink.take().how == AttemptEnd::Cancelled);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < script.silence);
    }

    void silentEngineTimesOut()
    {
        EngineScript script;
        script.isSilent = true;
        const ScriptedEngine engine(script);
        SendToBackend order = orderTo(engine.address(), 0);
        order.timeout = milliseconds(200);
        m_client->send(order);
        CPPUNIT_ASSERT(m_sink.take().how == AttemptEnd::TimedOut);
    }

    void setUp() override
    {
        m_exchange = std::make_shared<Exchange>(
            RequestId("r-1"), CallerRequest{},
            ForwardedRequest{"POST", "/v1/chat/completions", "{}", "application/json"});
        m_listener = JoiningListener();
        m_exchange->listen(&m_listener);
        m_loop = std::make_unique<TrafficLoop>();
        m_exchanges.add(m_exchange);
        m_client =
            std::make_unique<BackendClient>(*m_loop, m_exchanges, m_sink, m_clock,
                                            std::make_shared<CallerAccount>(AccountLimits()));
        m_loop->start();
        m_lastAttempt = 0;
    }

    void tearDown() override
    {
        m_loop->stop();
        m_client.reset();
        m_exchanges.remove(m_exchange->request());
        m_loop.reset();
    }

private:
    SendToBackend orderTo(const Endpoint &address, Tokens resumeAt)
    {
        SendToBackend order;
        order.attempt = AttemptId(++m_lastAttempt);
        order.request = m_exchange->request();
        order.address = address;
        order.resumeAt = resumeAt;
        order.timeout = milliseconds(10000);
        return order;
    }

    AttemptEnded send(const Endpoint &address, Tokens resumeAt)
    {
        m_client->send(orderTo(address, resumeAt));
        return m_sink.take();
    }

    /// Runs `reader` on the loop, where the exchange lives.
    template<typename Reader>
    auto onLoop(Reader reader)
    {
        std::promise<decltype(reader())> promise;
        auto result = promise.get_future();
        m_loop->post([&promise, &reader] { promise.set_value(reader()); });
        return result.get();
    }

    std::string deliveredText()
    {
        return onLoop([this] { return m_listener.text; });
    }
    Tokens delivered()
    {
        return onLoop([this] { return m_exchange->delivered(); });
    }
    AttemptSummary summaryOf(AttemptId attempt)
    {
        return onLoop([this, attempt] { return m_exchange->summaryOf(attempt); });
    }

    ProcessClock m_clock;
    std::unique_ptr<TrafficLoop> m_loop;
    ExchangeTable m_exchanges;
    RecordingSink m_sink;
    JoiningListener m_listener;
    std::shared_ptr<Exchange> m_exchange;
    std::unique_ptr<BackendClient> m_client;
    std::uint64_t m_lastAttempt = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChatSenderTest);
