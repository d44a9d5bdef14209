// Reading and writing of the two lists as TOML.
#include <cppunit/extensions/HelperMacros.h>

#include "settings/listsfile.h"

using namespace comfrey;

class ListsFileTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ListsFileTest);
    CPPUNIT_TEST(listsWrittenAndReadAreEqual);
    CPPUNIT_TEST(unknownKeyErrorNamesFileLineAndKey);
    CPPUNIT_TEST(wrongTypeErrorNamesFileLineAndKey);
    CPPUNIT_TEST(customerTwiceIsRefused);
    CPPUNIT_TEST(plainKeyIsHashed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char *kText = R"([[plans]]
customer = "apiary"
plan = "gold"
share = 3
first_token_ms = 320
keys = ["abc"]

[[entitlements]]
plan = "gold"
models = ["m1"]
services = ["dispatch"]
)";

    static std::string errorOf(const std::string &text)
    {
        const Result<Lists> lists = parseLists({{"lists.toml", text}});
        CPPUNIT_ASSERT(!lists);
        return lists.error().text;
    }

public:
    void listsWrittenAndReadAreEqual()
    {
        Result<Lists> lists = parseLists({{"lists.toml", kText}});
        CPPUNIT_ASSERT(lists);
        lists->revision = Revision(7);
        const Result<Lists> again = parseLists({{"again.toml", listsToToml(*lists)}});
        CPPUNIT_ASSERT(again);
        CPPUNIT_ASSERT(*again == *lists);
    }

    void unknownKeyErrorNamesFileLineAndKey()
    {
        const std::string text = std::string(kText) + "modles = [\"m2\"]\n";
        CPPUNIT_ASSERT_EQUAL(
            std::string("lists.toml:12: key \"modles\" in [[entitlements]] is not known"),
            errorOf(text));
    }

    void wrongTypeErrorNamesFileLineAndKey()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("lists.toml:3: key \"share\" in [[plans]] is not a whole "
                                         "number from 0 to 4294967295"),
                             errorOf("[[plans]]\ncustomer = \"a\"\nshare = \"3\"\nplan = \"p\"\n"));
    }

    void customerTwiceIsRefused()
    {
        const std::string error =
            errorOf(std::string(kText) + "[[plans]]\ncustomer = \"apiary\"\nplan = \"gold\"\n");
        CPPUNIT_ASSERT(error.find("names \"apiary\" a second time") != std::string::npos);
    }

    void plainKeyIsHashed()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
            hashOfApiKey("abc").value());
        const Result<Lists> lists = parseLists({{"lists.toml", kText}});
        CPPUNIT_ASSERT(lists->plans.at(CustomerId("apiary")).keys.at(0) == hashOfApiKey("abc"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListsFileTest);
