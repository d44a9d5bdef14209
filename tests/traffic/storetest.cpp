// Tests of following a topic of the platform's store: gaps in the log, stale lists, refused pages,
// reads that are never answered, and records received from other routers.
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

std::string encodeBigEndian(std::uint64_t number, int bytes)
{
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(number >> shift);
    return out;
}

std::string wireRecord(const std::string &key, const std::string &value)
{
    const std::string record = static_cast<char>(key.size()) + key + value;
    return encodeBigEndian(record.size(), 4) + record;
}

/// Serves the store's log-read and log-newest with the faults that a test sets.
class FakeStore
{
public:
    explicit FakeStore(boost::asio::io_context &loop)
        : m_server(loop, [this](ServerConnection &connection, const Request &request) {
              answer(connection, request);
          })
    { }

    std::string address() const { return m_server.address(); }

    std::deque<std::pair<std::string, std::string>>
        history; ///< Keys and values, the first at offset `firstKept`.
    std::uint64_t firstKept = 0;
    std::string newestItems;            ///< JSON of the items on the first page of log-newest.
    std::vector<std::string> morePages; ///< JSON of the items on the later pages.
    std::uint64_t reportedEnd = 0;      ///< End offset that log-newest reports.
    int refusedNewestCall = 0; ///< Number of the log-newest call to refuse, from 1; 0 for none.
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
        std::string body = encodeBigEndian(end(), 8) + encodeBigEndian(firstKept, 8);
        for (std::uint64_t offset = from; offset < end(); ++offset)
            body +=
                wireRecord(history[offset - firstKept].first, history[offset - firstKept].second);
        send(connection, 200, body);
    }

    /// Selects the page by the last key of the previous page, which is "k1" on the first page and
    /// "k2" on the second.
    void answerPage(ServerConnection &connection, const std::string &target)
    {
        if (newestCalls == refusedNewestCall) {
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
                 + std::to_string(reportedEnd) + "}");
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
    CPPUNIT_TEST(followerReadsNewestRecordsThenAppendedOnes);
    CPPUNIT_TEST(recordsNewerThanStaleListAreRead);
    CPPUNIT_TEST(reactivatedFollowerIsNotUpToDateBeforeItsFirstRead);
    CPPUNIT_TEST(keyRemovedBetweenTwoPagesIsRemoved);
    CPPUNIT_TEST(refusedPageIsRetriedWithoutEarlierPages);
    CPPUNIT_TEST(truncatedHistoryIsReplacedByNewestRecords);
    CPPUNIT_TEST(newestKeyRemovedWithinAGapIsRemoved);
    CPPUNIT_TEST(silentReadIsReissuedAfterAnotherReadFailed);
    CPPUNIT_TEST(followerContinuesAfterRecordsFromOtherRouters);
    CPPUNIT_TEST(recordsMissingFromOtherRoutersAreRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void followerReadsNewestRecordsThenAppendedOnes()
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

    /// The list's end offset was newer than its records, so a follower that continued from there
    /// missed records. Seen in the benchmark kynd-ryhm scale-2 --seed 226896218115.
    void recordsNewerThanStaleListAreRead()
    {
        m_store.newestItems = R"({"key":"a","value":"MQ==","offset":0})";
        m_store.reportedEnd = 2;
        m_store.history = {{"a", "1"}, {"a", "2"}};
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] {
            const FeedRecord *record = m_feed.find("keyed.t", "a");
            return record && record->value == "2";
        }));
    }

    void reactivatedFollowerIsNotUpToDateBeforeItsFirstRead()
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

    /// The key is on the first page and is removed before the second page is made.
    void keyRemovedBetweenTwoPagesIsRemoved()
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

    void refusedPageIsRetriedWithoutEarlierPages()
    {
        m_store.firstKept = 3;
        m_store.newestItems = R"({"key":"k1","value":"MQ==","offset":2})";
        m_store.morePages = {R"({"key":"k2","value":"MQ==","offset":0})",
                             R"({"key":"z","value":"Mg==","offset":1})"};
        m_store.refusedNewestCall = 2;
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.find("keyed.t", "z") != nullptr; }));
        CPPUNIT_ASSERT(m_feed.find("keyed.t", "k1") && m_feed.find("keyed.t", "k2"));
        CPPUNIT_ASSERT_EQUAL(4, m_store.newestCalls);
    }

    void truncatedHistoryIsReplacedByNewestRecords()
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

    /// The records are deleted with the removal of the list's newest key (review case 2).
    void newestKeyRemovedWithinAGapIsRemoved()
    {
        m_store.history = {{"a", "1"}, {"b", "1"}};
        m_store.newestItems = R"({"key":"a","value":"MQ==","offset":0},)"
                              R"({"key":"b","value":"MQ==","offset":1})";
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.knownUntil("keyed.t") == 2; }));
        m_store.firstKept = 3;
        m_store.history.clear();
        m_store.newestItems = R"({"key":"a","value":"MQ==","offset":0})";
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return !m_feed.find("keyed.t", "b")->value; }));
        CPPUNIT_ASSERT(m_feed.find("keyed.t", "a")->value);
    }

    /// A long poll that lasted through a silent outage delayed a configuration. Seen in the
    /// benchmark kynd-ryhm trouble-3.
    void silentReadIsReissuedAfterAnotherReadFailed()
    {
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_store.readCalls > 0; }));
        m_store.isSilent = true;
        const int before = m_store.readCalls;
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_store.readCalls > before; }));
        m_store.isSilent = false;
        m_store.history = {{"a", "1"}};
        follower->reissueRead();
        const auto begin = now();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.find("keyed.t", "a") != nullptr; }));
        CPPUNIT_ASSERT(now() - begin < milliseconds(1500));
    }

    void followerContinuesAfterRecordsFromOtherRouters()
    {
        m_store.history = {{"a", "1"}, {"a", "2"}, {"a", "3"}};
        m_feed.put({"keyed.t", "a", "2", 1});
        m_feed.raiseKnown("keyed.t", 2);
        auto follower = followStore();
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.find("keyed.t", "a")->value == "3"; }));
        CPPUNIT_ASSERT_EQUAL(0, m_store.newestCalls);
        CPPUNIT_ASSERT(runUntil(m_loop, [&] { return m_feed.knownUntil("keyed.t") == 3; }));
    }

    /// Another router sent a newer record of a different key, but not the records before it.
    void recordsMissingFromOtherRoutersAreRead()
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
    FakeStore m_store{m_loop};
    EventLog m_log{-1};
    RecordFeed m_feed;
    CountingListener m_listener;
    HttpCaller m_caller{m_loop, {milliseconds(500), milliseconds(1500), 16384}, now};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreTest);
