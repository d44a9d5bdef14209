// The time of issue that an idempotency key carries.
#include <cppunit/extensions/HelperMacros.h>

#include "outcome/claimkey.h"

using namespace comfrey;

class ClaimKeyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimKeyTest);
    CPPUNIT_TEST(uuid7CarriesItsFirst48Bits);
    CPPUNIT_TEST(thirteenDigitsAndDashAreMilliseconds);
    CPPUNIT_TEST(otherKeysAreOpaque);
    CPPUNIT_TEST_SUITE_END();

public:
    void uuid7CarriesItsFirst48Bits()
    {
        const IdempotencyKey key("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"); // RFC 9562, A.6
        CPPUNIT_ASSERT_EQUAL(UnixMs(1645557742000), issueTime(key));
    }

    void thirteenDigitsAndDashAreMilliseconds()
    {
        const IdempotencyKey key("1796342400000-truck");
        CPPUNIT_ASSERT_EQUAL(UnixMs(1796342400000), issueTime(key));
    }

    void otherKeysAreOpaque()
    {
        for (const char *text : {"k1", "123-k1", "1796342400000", "17963424000000-k",
                                 "017f22e2-79b0-4cc3-98c4-dc0c0c07398f"}) {
            CPPUNIT_ASSERT_EQUAL(UnixMs(0), issueTime(IdempotencyKey(text)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimKeyTest);
