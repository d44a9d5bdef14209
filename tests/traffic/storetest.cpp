// Reading the platform's store, and routers that spare it: gaps, old lists, outages, answers that
// never come, a first router that leaves.
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "gateway/fleetsync.h"
#include "loopback.h"
#include "topicfollower.h"
#include "traffic/callerlistener.h"

using namespace comfrey;
using namespace comfrey::loopback;
using platform::FollowSettings;
using platform::TopicFollower;

namespace {

using Request = ServerConnection::Request;

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(number >> shift);
    return out;
}

std::string wireRecord(const std::string &key, const std::string &value)
{
    const std::string record = static_cast<char>(key.size()) + key + value;
    return bigEndian(record.size(), 4) + record;
}

/// The store's log-read and log-newest with the faults that a test sets.
class StandInStore
{
public:
    explicit StandInStore(boost::asio::io_context &loop)
        : m_server(loop, [this](ServerConnection &connection, const Request &request) {
              answer(connection, request);
          })
    { }

    std::string address() const { return m_server.address(); }

    std::deque<std::pair<std::string, std::string>>
        history; ///< Key and value, from `firstKept` on.
    std::uint64_t firstKept = 0;
    std::string newestItems;            ///< JSON of the items that log-newest tells.
    std::vector<std::string> morePages; ///< Items of the pages after it.
    std::uint64_t newestEndTold = 0;
    int refusedPage = 0; ///< The call of this number is refused, counted from 1.
    bool isSilent = false;
    int newestCalls = 0;
    int readCalls = 0;

private:
    std::uint64_t end() const { return firstKept + history.size(); }

    void answer(ServerConnection &connection, const Request &request)
    {
        const std::string &target = request.head.target;
        const bool isNewest = target.find("log-newest") != std::string::npos;
        ++(isNewest ? newestCalls : readCalls);
        if (isSilent)
            return;
        if (isNewest) {
            answerPage(connection, target);
            return;
        }
        const std::uint64_t from = std::stoull(target.substr(target.find("from=") + 5));
        if (from < firstKept) {
            send(connection, 410, "{\"first\":" + std::to_string(firstKept) + "}");
            return;
        }
        std::string body = bigEndian(end(), 8) + bigEndian(firstKept, 8);
        for (std::uint64_t offset = from; offset < end(); ++offset)
            body +=
                wireRecord(history[offset - firstKept].first, history[offset - firstKept].second);
        send(connection, 200, body);
    }

    /// A page follows the key that the one before ended with: "k1" the first, "k2" the second.
    void answerPage(ServerConnection &connection, const std::string &target)
    {
        if (newestCalls == refusedPage) {
            send(connection, 429, "");
            return;
        }
        const std::size_t after = target.find("&after=k");
        const std::size_t page =
            after == std::string::npos ? 0 : std::stoul(target.substr(after + 8));
        const std::string &items = page == 0 ? newestItems : morePages[page - 1];
        send(connection, 200,
             R"({"items":[)" + items + R"(],"has_more":)"
                 + (page < morePages.size() ? "true" : "false") + R"(,"end":)"
                 + std::to_string(newestEndTold) + "}");
    }

    static void send(ServerConnection &connection, int status, const std::string &body)
    {
        connection.write("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: "
                         + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    ScriptedServer m_server;
};

class CountingListener : public platform::TopicListener
{
public:
    void onRead() override { ++reads; }
    void onReadFailed() override { ++failures; }
    int reads = 0;
    int failures = 0;
};

} // namespace

class StoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreTest);
    CPPUNIT_TEST(newestRecordsAreReadAndThenEachNewOne);
    CPPUNIT_TEST(recordsAfterAnOldListAreNotMissed);
    CPPUNIT_TEST(followerThatReadsAgainIsNotUpToDateBeforeItsFirstRead);
    CPPUNIT_TEST(keyThatIsRemovedBetweenTwoPagesIsNotKept);
    CPPUNIT_TEST(refusedPageIsAskedForAgainAndNotTheOnesBefore);
    CPPUNIT_TEST(cutHistoryIsMadeGoodByTheNewestRecords);
    CPPUNIT_TEST(silentReadIsGivenUpOnceAnotherReadFailed);
    CPPUNIT_TEST(routerWhoseNewsComeFromOthersGoesOnWhereTheyAre);
    CPPUNIT_TEST(recordsThatOtherRoutersDidNotTellAreRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void newestRecordsAreReadAndThenEachNewOne()
    {
        m_store.newestItems =
            R"({"key":"a","value":"MQ==","offset":2},{"key":"b","value":"","offset":1})";
        m_store.firstKept = 3;
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_store.readCalls > 0; }));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), *m_feed.find("keyed.t", "a")->value);
        m_store.history = {{"a", "2"}, {"c", "3"}, {"a", ""}};
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.nextOrder("keyed.t") == 6; }));
        CPPUNIT_ASSERT(!m_feed.find("keyed.t", "a")->value);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), *m_feed.find("keyed.t", "c")->value);
    }

    /// Bench: kynd-ryhm scale-2 --seed 226896218115. The list's end was newer than its records.
    void recordsAfterAnOldListAreNotMissed()
    {
        m_store.newestItems = R"({"key":"a","value":"MQ==","offset":0})";
        m_store.newestEndTold = 2;
        m_store.history = {{"a", "1"}, {"a", "2"}};
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] {
            const FeedRecord *record = m_feed.find("keyed.t", "a");
            return record && record->value == "2";
        }));
    }

    void followerThatReadsAgainIsNotUpToDateBeforeItsFirstRead()
    {
        m_store.history = {{"a", "1"}};
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return follower->isUpToDate(); }));
        follower->setActive(false);
        m_store.history.emplace_back("a", "2");
        follower->setActive(true);
        CPPUNIT_ASSERT(!follower->isUpToDate());
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return follower->isUpToDate(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), *m_feed.find("keyed.t", "a")->value);
    }

    /// The second page was made after the removal of a key that is on the first one.
    void keyThatIsRemovedBetweenTwoPagesIsNotKept()
    {
        m_store.history = {{"k1", "1"}, {"k1", ""}, {"z", "2"}};
        m_store.newestItems = R"({"key":"k1","value":"MQ==","offset":0})";
        m_store.morePages = {R"({"key":"z","value":"Mg==","offset":2})"};
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] {
            const FeedRecord *first = m_feed.find("keyed.t", "k1");
            const FeedRecord *last = m_feed.find("keyed.t", "z");
            return first && !first->value && last && last->value;
        }));
    }

    void refusedPageIsAskedForAgainAndNotTheOnesBefore()
    {
        m_store.firstKept = 3;
        m_store.newestItems = R"({"key":"k1","value":"MQ==","offset":2})";
        m_store.morePages = {R"({"key":"k2","value":"MQ==","offset":0})",
                             R"({"key":"z","value":"Mg==","offset":1})"};
        m_store.refusedPage = 2;
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.find("keyed.t", "z") != nullptr; }));
        CPPUNIT_ASSERT(m_feed.find("keyed.t", "k1") && m_feed.find("keyed.t", "k2"));
        CPPUNIT_ASSERT_EQUAL(4, m_store.newestCalls);
    }

    void cutHistoryIsMadeGoodByTheNewestRecords()
    {
        m_store.history = {{"a", "1"}};
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.nextOrder("keyed.t") == 1; }));
        m_store.firstKept = 9;
        m_store.history.clear();
        m_store.newestItems = R"({"key":"b","value":"Mg==","offset":8})";
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.find("keyed.t", "b") != nullptr; }));
        CPPUNIT_ASSERT(!m_feed.find("keyed.t", "a")->value);
    }

    /// Bench: kynd-ryhm trouble-3. A read that was held over a silent outage hid a configuration.
    void silentReadIsGivenUpOnceAnotherReadFailed()
    {
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_store.readCalls > 0; }));
        m_store.isSilent = true;
        const int before = m_store.readCalls;
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_store.readCalls > before; }));
        m_store.isSilent = false;
        m_store.history = {{"a", "1"}};
        follower->distrust();
        const auto begin = now();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.find("keyed.t", "a") != nullptr; }));
        CPPUNIT_ASSERT(now() - begin < milliseconds(1500));
    }

    void routerWhoseNewsComeFromOthersGoesOnWhereTheyAre()
    {
        m_store.history = {{"a", "1"}, {"a", "2"}, {"a", "3"}};
        m_feed.put({"keyed.t", "a", "2", 1});
        m_feed.setKnownUntil("keyed.t", 2);
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.find("keyed.t", "a")->value == "3"; }));
        CPPUNIT_ASSERT_EQUAL(0, m_store.newestCalls);
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.knownUntil("keyed.t") == 3; }));
    }

    /// A newer record of another key was heard of, the ones before it were not.
    void recordsThatOtherRoutersDidNotTellAreRead()
    {
        m_store.history = {{"a", "1"}, {"a", "2"}, {"b", "1"}};
        m_store.newestItems = R"({"key":"a","value":"Mg==","offset":1},)"
                              R"({"key":"b","value":"MQ==","offset":2})";
        m_feed.put({"keyed.t", "b", "1", 2});
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.find("keyed.t", "a") != nullptr; }));
    }

private:
    std::unique_ptr<TopicFollower> followStore()
    {
        const auto endpoint = parseEndpoint(m_store.address());
        auto follower = std::make_unique<TopicFollower>(
            m_loop, m_caller, *endpoint,
            FollowSettings{"keyed.t", milliseconds(20), milliseconds(100)}, m_feed, m_listener,
            m_log, now);
        follower->setRetryPause(milliseconds(20));
        follower->setActive(true);
        return follower;
    }

    boost::asio::io_context m_loop{1};
    StandInStore m_store{m_loop};
    EventLog m_log{-1};
    RecordFeed m_feed;
    CountingListener m_listener;
    HttpCaller m_caller{m_loop, {milliseconds(500), milliseconds(1500), 16384}, now};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreTest);
