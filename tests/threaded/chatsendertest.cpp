// One sending of a chat, against an engine that answers, cuts, refuses or mixes up requests.
#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "common/httpserver.h"
#include "daemon/backendclient.h"
#include "daemon/chatsender.h"

using namespace comfrey;

namespace {

class IgnoringSink : public EventSink
{
public:
    void post(Event /*event*/) override { }
};

/// How the engine of a test answers.
struct EngineScript
{
    Tokens answerTokens = 6;
    Tokens cutBefore = 1000; ///< Position before which the connection is dropped.
    std::string answerId;    ///< Of another request, if set.
    bool refuses = false;
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
        if (next >= m_script.cutBefore)
            return false;
        const bool isLast = next + 1 >= m_script.answerTokens;
        nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
        choice["delta"]["content"] = std::to_string(next);
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
    CPPUNIT_TEST(refusalIsUnstarted);
    CPPUNIT_TEST(absentEngineIsNotConnected);
    CPPUNIT_TEST_SUITE_END();

public:
    void wholeAnswerIsCompleted()
    {
        const ScriptedEngine engine({});
        const AttemptEnded ended = send(engine.address(), 0);
        CPPUNIT_ASSERT(ended.how == AttemptEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(Tokens{6}, m_exchange->summaryOf(ended.attempt).completionTokens);
    }

    void answerResumedAtPositionIsCompleted()
    {
        EngineScript cutting;
        cutting.cutBefore = 4;
        const ScriptedEngine first(cutting);
        CPPUNIT_ASSERT(send(first.address(), 0).how == AttemptEnd::BrokenInAnswer);
        const ScriptedEngine second({});
        const AttemptEnded ended = send(second.address(), m_exchange->delivered());
        CPPUNIT_ASSERT(ended.how == AttemptEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(Tokens{2}, ended.tokens);
        CPPUNIT_ASSERT_EQUAL(Tokens{6}, m_exchange->summaryOf(ended.attempt).completionTokens);
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
        CPPUNIT_ASSERT_EQUAL(Tokens{0}, m_exchange->delivered());
    }

    void refusalIsUnstarted()
    {
        EngineScript script;
        script.refuses = true;
        const ScriptedEngine engine(script);
        CPPUNIT_ASSERT(send(engine.address(), 0).how == AttemptEnd::RefusedUnstarted);
    }

    void absentEngineIsNotConnected()
    {
        CPPUNIT_ASSERT(send(Endpoint("127.0.0.1:1"), 0).how == AttemptEnd::NotConnected);
    }

    void setUp() override
    {
        m_exchange = std::make_unique<Exchange>(
            RequestId("r-1"), CallerRequest{},
            ForwardedRequest{"POST", "/v1/chat/completions", "{}", "application/json"});
        m_lastAttempt = 0;
    }

private:
    AttemptEnded send(const Endpoint &address, Tokens resumeAt)
    {
        SendToBackend order;
        order.attempt = AttemptId(++m_lastAttempt);
        order.request = m_exchange->request();
        order.address = address;
        order.resumeAt = resumeAt;
        order.timeout = milliseconds(10000);
        RunningAttempt running;
        AttemptEnded ended = ChatSender(order, *m_exchange, running, m_clients, m_sink).run();
        m_exchange->release(order.attempt);
        return ended;
    }

    std::string deliveredText()
    {
        std::string text;
        for (const std::string &token : m_exchange->next(std::chrono::milliseconds(0)).tokens)
            text += token;
        return text;
    }

    HttpClientPool m_clients{HttpClientOptions()};
    IgnoringSink m_sink;
    std::unique_ptr<Exchange> m_exchange;
    std::uint64_t m_lastAttempt = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChatSenderTest);
