// Tests the calls about kept crashes to the platform's store: refusals, lost answers, an outage,
// records of others, several pages.
#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <string_view>

#include "crashstore.h"
#include "gateway/crashupdates.h"
#include "loopback.h"
#include "traffic/callerlistener.h"

using namespace comfrey;
using namespace comfrey::loopback;
using platform::CrashStore;

namespace {

constexpr std::uint64_t kWallTime = 1790000000000;
constexpr Fingerprint kRequest{0x2a};

/// Answers with the next scripted answer, then with empty lists.
class ScriptedStore
{
public:
    explicit ScriptedStore(boost::asio::io_context &loop)
        : m_server(loop,
                   [this](ServerConnection &connection, const ServerConnection::Request &request) {
                       requests.emplace_back(request.head.target, request.body);
                       std::string answer = R"(200 {"items":[],"has_more":false,"end":0})";
                       if (!answers.empty()) {
                           answer = answers.front();
                           answers.pop_front();
                       }
                       if (answer == "reset") {
                           connection.reset();
                           return;
                       }
                       if (answer == "silent")
                           return;
                       const std::string body = answer.substr(4);
                       connection.write("HTTP/1.1 " + answer.substr(0, 3) + " X\r\nContent-Length: "
                                        + std::to_string(body.size()) + "\r\n\r\n" + body);
                   })
    { }

    std::string address() const { return m_server.address(); }

    std::deque<std::string> answers; ///< "STATUS BODY", "reset" or "silent".
    std::vector<std::pair<std::string, std::string>> requests; ///< Target and body.

private:
    ScriptedServer m_server;
};

DispatcherSettings settingsOf(const std::string &router)
{
    DispatcherSettings settings;
    settings.router = router;
    return settings;
}

} // namespace

class CrashStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashStoreTest);
    CPPUNIT_TEST(recordsAreReadOnceAndApplied);
    CPPUNIT_TEST(followerReadsNothing);
    CPPUNIT_TEST(laterPagesAreRead);
    CPPUNIT_TEST(refusedReadIsRepeatedAndNotWaitedFor);
    CPPUNIT_TEST(silentStoreIsAwaitedForLimitedTime);
    CPPUNIT_TEST(unreadableAnswersAndRecordsDoNoHarm);
    CPPUNIT_TEST(unknownTopicIsEmpty);
    CPPUNIT_TEST(repeatedCrashIsAppended);
    CPPUNIT_TEST(appendWithoutAnswerIsRepeatedUnchanged);
    CPPUNIT_TEST(onlyAppendWithoutAnswerIsRepeated);
    CPPUNIT_TEST(refusedAppendDoesNotBlockLaterOnes);
    CPPUNIT_TEST(crashOutlastsOlderClearing);
    CPPUNIT_TEST(clearingForgetsOlderCrashesOnly);
    CPPUNIT_TEST(clearingOfKnownCrashCountsDespiteClocks);
    CPPUNIT_TEST_SUITE_END();

public:
    void recordsAreReadOnceAndApplied()
    {
        m_store.answers = {page("r2a e1@1", false)};
        CPPUNIT_ASSERT(runUntilRead());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_dispatcher.crashGuard().crashCount(kRequest));
        run(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_store.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/log-newest?topic=keyed.crashes&part=0"),
                             m_store.requests.front().first);
    }

    void followerReadsNothing()
    {
        m_readsStore = false;
        run(milliseconds(100));
        CPPUNIT_ASSERT(m_store.requests.empty());
    }

    void laterPagesAreRead()
    {
        m_store.answers = {page("r2a e1@1", true), page("r2a e2@1", false)};
        CPPUNIT_ASSERT(runUntilRead());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_dispatcher.crashGuard().crashCount(kRequest));
        CPPUNIT_ASSERT(m_store.requests.back().first.ends_with("&after=r2a%20e1%401"));
        CPPUNIT_ASSERT(m_dispatcher.crashGuard().remainingRefusal(kRequest, now()) > Duration(0));
    }

    void refusedReadIsRepeatedAndNotWaitedFor()
    {
        m_store.answers = {"503 ", "429 ", page("r2a e1@1", false)};
        CPPUNIT_ASSERT(runUntilRead());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_dispatcher.crashGuard().crashCount(kRequest));
        CPPUNIT_ASSERT(
            runUntilDone([this] { return m_dispatcher.crashGuard().crashCount(kRequest) == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_store.requests.size());
    }

    void silentStoreIsAwaitedForLimitedTime()
    {
        m_store.answers = {"silent", page("r2a e1@1", false)};
        const TimePoint start = now();
        CPPUNIT_ASSERT(runUntilRead());
        CPPUNIT_ASSERT(now() - start >= milliseconds(300));
        CPPUNIT_ASSERT(
            runUntilDone([this] { return m_dispatcher.crashGuard().crashCount(kRequest) == 1; }));
    }

    void unreadableAnswersAndRecordsDoNoHarm()
    {
        m_store.answers = {"200 not json", "200 {\"items\":5}",
                           R"(200 {"items":[5,{"key":7},{"key":"r2a e1@1","value":"*"},)"
                           R"({"key":"r2a e2@1","value":9},{"key":"odd","value":"AAAA"}]})"};
        run(milliseconds(3500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_store.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_dispatcher.crashGuard().crashCount(kRequest));
    }

    void unknownTopicIsEmpty()
    {
        m_store.answers = {"404 no such topic"};
        run(milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_store.requests.size());
    }

    void repeatedCrashIsAppended()
    {
        crash("e1@1");
        crash("e2@1");
        CPPUNIT_ASSERT(runUntilDone([this] { return m_store.requests.size() >= 2; }));
        const auto &[target, body] = m_store.requests.back();
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/log-append?topic=keyed.crashes&part=0"), target);
        const std::string record = std::string(1, 8) + "r2a e2@11 1790000000000 0 0 r1";
        CPPUNIT_ASSERT_EQUAL(std::string(3, '\0') + static_cast<char>(record.size()) + record,
                             body);
        run(milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_store.requests.size());
    }

    void appendWithoutAnswerIsRepeatedUnchanged()
    {
        m_store.answers = {R"(200 {"items":[]})", "reset", "503 "};
        crash("e1@1");
        crash("e2@1");
        CPPUNIT_ASSERT(runUntilDone([this] { return m_store.requests.size() >= 4; }));
        CPPUNIT_ASSERT_EQUAL(m_store.requests[1].second, m_store.requests[2].second);
        CPPUNIT_ASSERT_EQUAL(m_store.requests[1].second, m_store.requests[3].second);
    }

    void onlyAppendWithoutAnswerIsRepeated()
    {
        m_store.answers = {R"(200 {"items":[]})", "reset", "503 "};
        crash("e1@1");
        CPPUNIT_ASSERT(runUntilDone([this] { return m_store.requests.size() >= 4; }));
        CPPUNIT_ASSERT_EQUAL(m_store.requests[1].second, m_store.requests[3].second);
    }

    void refusedAppendDoesNotBlockLaterOnes()
    {
        m_store.answers = {R"(200 {"items":[]})", "413 ", "429 "};
        crash("e1@1");
        CPPUNIT_ASSERT(runUntilDone([this] { return m_store.requests.size() >= 2; }));
        crash("e2@1");
        CPPUNIT_ASSERT(runUntilDone([this] { return m_store.requests.size() >= 4; }));
        CPPUNIT_ASSERT(m_store.requests[1].second != m_store.requests[2].second);
        CPPUNIT_ASSERT_EQUAL(m_store.requests[2].second, m_store.requests[3].second);
    }

    /// A reader starts again: the store has a crash that came after the clearing.
    void crashOutlastsOlderClearing()
    {
        m_store.answers = {page("r2a e1@1", false)};
        CPPUNIT_ASSERT(runUntilRead());
        hear("42", kWallTime - 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_dispatcher.crashGuard().crashCount(kRequest));
        run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_store.requests.size());
        hear("42", kWallTime + 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_dispatcher.crashGuard().crashCount(kRequest));
        CPPUNIT_ASSERT(runUntilDone([this] { return m_store.requests.size() == 2; }));
    }

    void clearingForgetsOlderCrashesOnly()
    {
        hear("42 e1@1", kWallTime - 2000);
        hear("42 e2@1", kWallTime);
        hear("42", kWallTime - 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_dispatcher.crashGuard().crashCount(kRequest));
    }

    /// The router that found the crash has a clock that is ahead of that of this one.
    void clearingOfKnownCrashCountsDespiteClocks()
    {
        hear("42 e1@1", kWallTime + 5000);
        m_dispatcher.crashGuard().onSuccess(kRequest);
        m_updates.publish(kWallTime, now());
        applyFeed();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_dispatcher.crashGuard().crashCount(kRequest));
        crash("e2@1");
        applyFeed();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_dispatcher.crashGuard().crashCount(kRequest));
    }

private:
    /// Applies a record of another router.
    void hear(const std::string &key, std::uint64_t order)
    {
        const FeedRecord record{CrashUpdates::kTopic, key, std::string(), order, now()};
        m_feed.put(record);
        m_updates.apply(record, now());
    }

    /// A page with the record of a crash at kWallTime.
    static std::string page(const std::string &key, bool hasMore)
    {
        // "1 1790000000000 0 0 r2"
        return R"(200 {"items":[{"key":")" + key
            + R"(","value":"MSAxNzkwMDAwMDAwMDAwIDAgMCByMg==","offset":0}],"has_more":)"
            + (hasMore ? "true" : "false") + "}";
    }

    void crash(const std::string &server)
    {
        m_dispatcher.crashGuard().onAttemptUnanswered({kRequest, {}, kNever}, server, now());
        m_dispatcher.crashGuard().onServerTerminated(server, TerminationEvidence::ConnectionRefused,
                                                     now());
        m_updates.publish(kWallTime, now());
    }

    bool runUntilDone(const std::function<bool()> &done)
    {
        return runUntil(m_loop, [&] {
            m_crashStore.tick(m_readsStore, now());
            return done();
        });
    }

    bool runUntilRead()
    {
        return runUntilDone([this] { return !m_crashStore.isAwaited(now()); });
    }

    void run(Duration time)
    {
        runUntilDone([end = now() + time] { return now() >= end; });
    }

    void applyFeed()
    {
        for (const FeedChange &change : m_feed.changesSince(0))
            m_updates.apply(*change.record, now());
    }

    boost::asio::io_context m_loop{1};
    EventLog m_log{-1};
    Metrics m_metrics;
    RecordFeed m_feed;
    Dispatcher m_dispatcher{settingsOf("r1")};
    CrashUpdates m_updates{m_dispatcher, m_feed, m_log, m_metrics};
    ScriptedStore m_store{m_loop};
    HttpCaller m_caller{m_loop, {milliseconds(350), milliseconds(1500), 16384}, now};
    bool m_readsStore = true;
    CrashStore m_crashStore{
        m_caller, *parseEndpoint(m_store.address()), m_updates.kept(),       m_log,
        now,      [] { return kWallTime; },          [this] { applyFeed(); }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashStoreTest);
