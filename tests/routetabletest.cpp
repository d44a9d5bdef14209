// Look-up of routes and API keys, and rejection of older configuration versions.
#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "dispatch/dispatcher.h"
#include "dispatch/routetable.h"

using namespace comfrey;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route result;
    result.name = name;
    result.host = host;
    result.pathPrefix = prefix;
    result.targets = {{ServiceName("s"), 1}};
    return result;
}

FleetConfig config(std::uint64_t version)
{
    FleetConfig result;
    result.version = version;
    result.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                     route("other", "b.example", "/x/")};
    result.organisations = {{"keepers", {"key-1", "key-2"}, std::nullopt}};
    return result;
}

RequestFacts request(const std::string &path, const std::string &key)
{
    RequestFacts facts;
    facts.id = "r";
    facts.host = "a.example";
    facts.path = path;
    facts.apiKey = key;
    return facts;
}

} // namespace

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(longestMatchingPrefixOfTheHostIsChosen);
    CPPUNIT_TEST(hostIsComparedWithoutPortAndCase);
    CPPUNIT_TEST(targetsReceiveRequestsByWeight);
    CPPUNIT_TEST(olderVersionIsNotApplied);
    CPPUNIT_TEST(removedKeyIsUnknownAtOnce);
    CPPUNIT_TEST(nothingIsAdmittedBeforeTheFirstConfiguration);
    CPPUNIT_TEST_SUITE_END();

public:
    void longestMatchingPrefixOfTheHostIsChosen()
    {
        const RouteTable table(config(1));
        CPPUNIT_ASSERT_EQUAL(std::string("long"), table.findRoute("a.example", "/x/y/z")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("short"), table.findRoute("a.example", "/x/yz")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("other"), table.findRoute("b.example", "/x/y/z")->name);
        CPPUNIT_ASSERT(!table.findRoute("a.example", "/x"));
        CPPUNIT_ASSERT(!table.findRoute("c.example", "/x/y/"));
    }

    void hostIsComparedWithoutPortAndCase()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("a.example"), normalizedHost("A.Example:8080"));
        CPPUNIT_ASSERT_EQUAL(std::string("a.example"), normalizedHost("a.example"));
    }

    void targetsReceiveRequestsByWeight()
    {
        Route split = route("split", "a", "/");
        split.targets = {{ServiceName("most"), 90}, {ServiceName("few"), 10}};
        std::map<std::string, int> counts;
        for (std::uint64_t key = 0; key < 10000; ++key)
            ++counts[chooseTarget(split, key).value()];
        CPPUNIT_ASSERT(counts["few"] > 850 && counts["few"] < 1150);
        CPPUNIT_ASSERT_EQUAL(chooseTarget(split, 7).value(), chooseTarget(split, 7).value());
    }

    void olderVersionIsNotApplied()
    {
        Dispatcher dispatcher(DispatcherSettings{});
        CPPUNIT_ASSERT(dispatcher.apply(config(7)));
        CPPUNIT_ASSERT(!dispatcher.apply(config(5)));
        CPPUNIT_ASSERT(!dispatcher.apply(config(7)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), dispatcher.table()->version());
    }

    void removedKeyIsUnknownAtOnce()
    {
        Dispatcher dispatcher(DispatcherSettings{});
        dispatcher.apply(config(1));
        CPPUNIT_ASSERT(dispatcher.admit(request("/x/1", "key-2"), TimePoint()).refusal
                       == Refusal::None);
        FleetConfig next = config(2);
        next.organisations.front().apiKeys = {"key-1"};
        dispatcher.apply(std::move(next));
        CPPUNIT_ASSERT(dispatcher.admit(request("/x/1", "key-2"), TimePoint()).refusal
                       == Refusal::UnknownKey);
        CPPUNIT_ASSERT(dispatcher.admit(request("/x/1", "key-1"), TimePoint()).refusal
                       == Refusal::None);
        CPPUNIT_ASSERT(dispatcher.admit(request("/z/1", "key-1"), TimePoint()).refusal
                       == Refusal::UnknownRoute);
    }

    void nothingIsAdmittedBeforeTheFirstConfiguration()
    {
        Dispatcher dispatcher(DispatcherSettings{});
        CPPUNIT_ASSERT(dispatcher.admit(request("/x/1", "key-1"), TimePoint()).refusal
                       == Refusal::NoConfiguration);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);
