// The stand-ins of platform and engine: what measurements and failure tests rely on.
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "common/encoding.h"
#include "common/prompt.h"
#include "standin-engine/orderbook.h"
#include "standin-engine/prefixcache.h"
#include "standin-platform/instancelist.h"
#include "standin-platform/logstore.h"
#include "standin-platform/weightstore.h"

namespace comfrey::standin {

namespace {

std::vector<PromptPart> parts(std::initializer_list<std::uint64_t> keys, Tokens tokens)
{
    std::vector<PromptPart> result;
    for (const std::uint64_t key : keys)
        result.push_back({key, tokens});
    return result;
}

LogReadRequest readFrom(std::uint64_t offset)
{
    LogReadRequest request;
    request.stream = "config";
    request.from = offset;
    return request;
}

} // namespace

class StandInsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StandInsTest);
    CPPUNIT_TEST(base64DecodedIsTheEncodedText);
    CPPUNIT_TEST(base64WithForeignCharacterIsRefused);
    CPPUNIT_TEST(cacheAskedAgainHoldsThePrompt);
    CPPUNIT_TEST(cacheOverItsMemoryDropsTheOldestChat);
    CPPUNIT_TEST(cacheUnderPressureKeepsSharedPrefixBeforeItsChats);
    CPPUNIT_TEST(cacheStoringTellsChatAndPrefix);
    CPPUNIT_TEST(logOverRetentionForgetsOldRecords);
    CPPUNIT_TEST(logOverItsRateRefusesAppends);
    CPPUNIT_TEST(oldReadHidesNewRecords);
    CPPUNIT_TEST(checkedOrderWithOldNumberIsRefused);
    CPPUNIT_TEST(uncheckedOrderWithOldNumberIsTaken);
    CPPUNIT_TEST(weightsOfOneOrderAreGrantedOnce);
    CPPUNIT_TEST(laggingListHidesNewInstances);
    CPPUNIT_TEST_SUITE_END();

public:
    void base64DecodedIsTheEncodedText()
    {
        for (std::size_t size = 0; size < 10; ++size) {
            const std::vector<std::uint8_t> bytes(size, 0xa5);
            CPPUNIT_ASSERT(*decodeBase64(encodeBase64(bytes)) == bytes);
        }
    }

    void base64WithForeignCharacterIsRefused()
    {
        CPPUNIT_ASSERT(!decodeBase64("ab*="));
        CPPUNIT_ASSERT(!decodeBase64("abc"));
    }

    void cacheAskedAgainHoldsThePrompt()
    {
        PrefixCache cache(100);
        CPPUNIT_ASSERT_EQUAL(Tokens(0), cache.lookUp(parts({1, 2}, 10)));
        cache.store("c", parts({1, 2}, 10), 0);
        CPPUNIT_ASSERT_EQUAL(Tokens(20), cache.lookUp(parts({1, 2, 3}, 10)));
        CPPUNIT_ASSERT_EQUAL(Tokens(10), cache.lookUp(parts({1, 9}, 10)));
    }

    void cacheOverItsMemoryDropsTheOldestChat()
    {
        PrefixCache cache(20);
        cache.store("a", parts({1}, 10), 0);
        cache.store("b", parts({2}, 10), 0);
        cache.lookUp(parts({1}, 10));
        cache.store("c", parts({3}, 10), 0);
        CPPUNIT_ASSERT_EQUAL(Tokens(10), cache.lookUp(parts({1}, 10)));
        CPPUNIT_ASSERT_EQUAL(Tokens(0), cache.lookUp(parts({2}, 10)));
        CPPUNIT_ASSERT(cache.partsOf("b").empty());
    }

    void cacheUnderPressureKeepsSharedPrefixBeforeItsChats()
    {
        PrefixCache cache(20);
        cache.store("a", parts({7, 1}, 10), 7);
        cache.store("b", parts({7, 2}, 10), 7);
        CPPUNIT_ASSERT_EQUAL(Tokens(20), cache.lookUp(parts({7, 2}, 10)));
        CPPUNIT_ASSERT_EQUAL(Tokens(10), cache.lookUp(parts({7, 1}, 10)));
    }

    void cacheStoringTellsChatAndPrefix()
    {
        PrefixCache cache(20);
        cache.store("a", parts({7, 1}, 10), 7);
        const std::vector<CacheNotice> notices = cache.takeNotices();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), notices.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), notices.back().prefix);
        CPPUNIT_ASSERT(cache.takeNotices().empty());
    }

    void logOverRetentionForgetsOldRecords()
    {
        LogLimits limits;
        limits.recordsKept = 2;
        LogStore log(limits);
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(log.append("config", "AAAA"));
        const nlohmann::json read = log.read(readFrom(1));
        CPPUNIT_ASSERT_EQUAL(2, read.at("first").get<int>());
        CPPUNIT_ASSERT_EQUAL(4, read.at("end").get<int>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), read.at("records").size());
    }

    void logOverItsRateRefusesAppends()
    {
        LogLimits limits;
        limits.appendsPerSecond = 0;
        LogStore log(limits);
        CPPUNIT_ASSERT(log.append("config", "AAAA"));
        CPPUNIT_ASSERT(!log.append("config", "AAAA"));
    }

    void oldReadHidesNewRecords()
    {
        LogLimits limits;
        limits.oldReadAge = std::chrono::hours(1);
        LogStore log(limits);
        CPPUNIT_ASSERT(log.append("config", "AAAA"));
        LogReadRequest request = readFrom(1);
        request.isOld = true;
        CPPUNIT_ASSERT(log.read(request).at("records").empty());
        request.isOld = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), log.read(request).at("records").size());
    }

    void checkedOrderWithOldNumberIsRefused()
    {
        OrderBook book({"m"}, true);
        CPPUNIT_ASSERT(book.take(5, "load-model", "n") == OrderVerdict::Done);
        CPPUNIT_ASSERT(book.take(4, "unload-model", "n") == OrderVerdict::Stale);
        CPPUNIT_ASSERT(book.serves("n"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), book.state().newestOrder);
    }

    void uncheckedOrderWithOldNumberIsTaken()
    {
        OrderBook book({"m"}, false);
        CPPUNIT_ASSERT(book.take(5, "load-model", "n") == OrderVerdict::Done);
        CPPUNIT_ASSERT(book.take(4, "unload-model", "n") == OrderVerdict::Done);
        CPPUNIT_ASSERT(!book.serves("n"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), book.state().newestOrder);
    }

    void weightsOfOneOrderAreGrantedOnce()
    {
        WeightStore store(1);
        CPPUNIT_ASSERT(store.fetch("1"));
        CPPUNIT_ASSERT(store.fetch("1"));
        CPPUNIT_ASSERT(!store.fetch("2"));
        CPPUNIT_ASSERT_EQUAL(1, store.counters().at("granted").get<int>());
    }

    void laggingListHidesNewInstances()
    {
        InstanceList list;
        list.put("e1", {{"kind", "engine"}});
        CPPUNIT_ASSERT(list.read(std::chrono::hours(1)).at("instances").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             list.read(std::chrono::milliseconds(0)).at("instances").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandInsTest);

} // namespace comfrey::standin
