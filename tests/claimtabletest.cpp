// The fold of a partition's claims: who holds a key, when it is free again, what is refused.
#include <cppunit/extensions/HelperMacros.h>

#include "outcome/claimtable.h"

using namespace comfrey;

namespace {

constexpr UnixMs kIssued = 1796342400000;

record::ClaimT claimOf(const std::string &router, std::uint64_t number, std::uint64_t basedOn = 0)
{
    record::ClaimT claim;
    claim.customer = "c1";
    claim.key = "1796342400000-a";
    claim.requestHash = 7;
    claim.router = router;
    claim.incarnation = 1;
    claim.attempt = number;
    claim.issuedMs = kIssued;
    claim.basedOn = basedOn;
    return claim;
}

record::ClaimOutcomeT outcomeOfClaim(const record::ClaimT &claim, std::uint64_t claimOffset,
                                     Outcome outcome)
{
    record::ClaimOutcomeT value;
    value.customer = claim.customer;
    value.key = claim.key;
    value.router = claim.router;
    value.incarnation = claim.incarnation;
    value.attempt = claim.attempt;
    value.claimOffset = claimOffset;
    value.outcome = static_cast<std::uint8_t>(outcome);
    return value;
}

template<typename Entry>
void append(ClaimTable &table, std::uint64_t offset, const Entry &entry)
{
    record::RecordT record;
    record.items.push_back(std::make_unique<record::ItemT>());
    record.items.back()->entry.Set(Entry(entry));
    table.apply(LogOffset(offset), record);
}

VerdictKind verdict(const ClaimTable &table, const record::ClaimT &claim)
{
    return table.verdictOn(claim).value().kind;
}

} // namespace

class ClaimTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimTableTest);
    CPPUNIT_TEST(firstClaimInOffsetOrderWins);
    CPPUNIT_TEST(doubledClaimStaysTheHolder);
    CPPUNIT_TEST(claimAfterRecordedNotRunWinsOnlyIfBasedOnIt);
    CPPUNIT_TEST(doubledOlderClaimAfterNotRunDoesNotWin);
    CPPUNIT_TEST(claimAfterUnknownOutcomeLoses);
    CPPUNIT_TEST(firstOutcomeOfClaimStays);
    CPPUNIT_TEST(outcomeOfOtherClaimIsIgnored);
    CPPUNIT_TEST(keyIssuedBeforeFloorIsRefused);
    CPPUNIT_TEST(opaqueKeyAfterGapIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void firstClaimInOffsetOrderWins()
    {
        ClaimTable table;
        append(table, 1, claimOf("r1", 1));
        append(table, 2, claimOf("r2", 1));
        CPPUNIT_ASSERT(verdict(table, claimOf("r1", 1)) == VerdictKind::Won);
        CPPUNIT_ASSERT(verdict(table, claimOf("r2", 1)) == VerdictKind::Lost);
    }

    void doubledClaimStaysTheHolder()
    {
        ClaimTable table;
        append(table, 1, claimOf("r1", 1));
        append(table, 2, claimOf("r1", 1));
        CPPUNIT_ASSERT(table.verdictOn(claimOf("r1", 1))->state.offset == LogOffset(1));
    }

    void claimAfterRecordedNotRunWinsOnlyIfBasedOnIt()
    {
        ClaimTable table;
        append(table, 1, claimOf("r1", 1));
        append(table, 2, outcomeOfClaim(claimOf("r1", 1), 1, Outcome::NotRun));
        append(table, 3, claimOf("r2", 1));
        CPPUNIT_ASSERT(verdict(table, claimOf("r2", 1)) == VerdictKind::Lost);
        append(table, 4, claimOf("r2", 2, 2));
        CPPUNIT_ASSERT(verdict(table, claimOf("r2", 2, 2)) == VerdictKind::Won);
        append(table, 5, claimOf("r3", 1, 2));
        CPPUNIT_ASSERT(verdict(table, claimOf("r3", 1, 2)) == VerdictKind::Lost);
    }

    void doubledOlderClaimAfterNotRunDoesNotWin()
    {
        ClaimTable table;
        append(table, 1, claimOf("r1", 1));
        append(table, 2, outcomeOfClaim(claimOf("r1", 1), 1, Outcome::NotRun));
        append(table, 3, claimOf("r1", 1));
        append(table, 4, claimOf("r2", 1, 2));
        CPPUNIT_ASSERT(verdict(table, claimOf("r2", 1, 2)) == VerdictKind::Won);
    }

    void claimAfterUnknownOutcomeLoses()
    {
        ClaimTable table;
        append(table, 1, claimOf("r1", 1));
        append(table, 2, outcomeOfClaim(claimOf("r1", 1), 1, Outcome::Unknown));
        append(table, 3, claimOf("r2", 1, 2));
        CPPUNIT_ASSERT(verdict(table, claimOf("r2", 1, 2)) == VerdictKind::Lost);
    }

    void firstOutcomeOfClaimStays()
    {
        ClaimTable table;
        append(table, 1, claimOf("r1", 1));
        append(table, 2, outcomeOfClaim(claimOf("r1", 1), 1, Outcome::Answered));
        append(table, 3, outcomeOfClaim(claimOf("r1", 1), 1, Outcome::NotRun));
        const ClaimState *state = table.find(keyOf(claimOf("r1", 1)));
        CPPUNIT_ASSERT(state->outcome->outcome == Outcome::Answered);
    }

    void outcomeOfOtherClaimIsIgnored()
    {
        ClaimTable table;
        append(table, 4, claimOf("r1", 1));
        append(table, 5, outcomeOfClaim(claimOf("r2", 1), 3, Outcome::NotRun));
        CPPUNIT_ASSERT(!table.find(keyOf(claimOf("r1", 1)))->outcome);
    }

    void keyIssuedBeforeFloorIsRefused()
    {
        ClaimTable table;
        append(table, 1, claimOf("r1", 1));
        table.prune(kIssued + 1);
        append(table, 2, claimOf("r2", 1));
        CPPUNIT_ASSERT(verdict(table, claimOf("r2", 1)) == VerdictKind::Expired);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.size());
    }

    void opaqueKeyAfterGapIsRefused()
    {
        ClaimTable table;
        record::ClaimT claim = claimOf("r1", 1);
        claim.issuedMs = 0;
        CPPUNIT_ASSERT(!table.verdictOn(claim));
        table.restart(1);
        append(table, 9, claim);
        CPPUNIT_ASSERT(verdict(table, claim) == VerdictKind::Expired);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimTableTest);
