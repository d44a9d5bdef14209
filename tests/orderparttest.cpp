// Orders to engines that check fencing numbers and to engines that ignore them.
#include <cppunit/extensions/HelperMacros.h>

#include "orders/goaltable.h"
#include "support/fakefleet.h"
#include "wire/envelope.h"

using namespace comfrey;
using namespace comfrey::test;

class OrderPartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderPartTest);
    CPPUNIT_TEST(enginesReachTheirGoalsWhetherTheyCheckOrNot);
    CPPUNIT_TEST(lostOrderAnswersStillReachTheGoal);
    CPPUNIT_TEST(staleOrderAtIgnoringEngineIsPutRight);
    CPPUNIT_TEST(routerWokenAfterPauseGivesNoOldOrder);
    CPPUNIT_TEST(changeOfManyEnginesKeepsMostOfTheCapacity);
    CPPUNIT_TEST(repeatedGoalDoesNotUndoLaterOne);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (int at = 1; at <= 8; ++at) {
            EngineOptions options;
            options.id = "e" + std::to_string(at);
            options.checksFencing = at % 2 == 0;
            options.models = {"m1"};
            fleet.addEngine(options);
        }
        for (const char *router : {"r1", "r2", "r3"})
            fleet.addRouter(router);
        fleet.runFor(milliseconds(4000));
    }

    void enginesReachTheirGoalsWhetherTheyCheckOrNot()
    {
        setGoal("e1", {"m1", "m2"}, "decode");
        setGoal("e2", {"m2"}, "prefill");
        fleet.runFor(milliseconds(60000));
        CPPUNIT_ASSERT(models("e1") == (std::set<std::string>{"m1", "m2"}));
        CPPUNIT_ASSERT(models("e2") == (std::set<std::string>{"m2"}));
        CPPUNIT_ASSERT_EQUAL(std::string("decode"), fleet.engine("e1").report().role);
        CPPUNIT_ASSERT_EQUAL(std::string("prefill"), fleet.engine("e2").report().role);
    }

    void lostOrderAnswersStillReachTheGoal()
    {
        fleet.engine("e1").faults().losesOrderAnswers = true;
        setGoal("e1", {"m2"}, "decode");
        fleet.runFor(milliseconds(90000));
        CPPUNIT_ASSERT(models("e1") == (std::set<std::string>{"m2"}));
        CPPUNIT_ASSERT_EQUAL(std::string("decode"), fleet.engine("e1").report().role);
    }

    void staleOrderAtIgnoringEngineIsPutRight()
    {
        setGoal("e1", {"m1"}, "decode");
        fleet.runFor(milliseconds(20000));
        GiveOrder stale;
        stale.fencing = FencingNumber(0);
        stale.kind = OrderKind::SetRole;
        stale.subject = "prefill";
        CPPUNIT_ASSERT(fleet.engine("e1").order(stale) == OrderResult::Done);
        fleet.runFor(milliseconds(20000));
        CPPUNIT_ASSERT_EQUAL(std::string("decode"), fleet.engine("e1").report().role);
    }

    void routerWokenAfterPauseGivesNoOldOrder()
    {
        setGoal("e1", {"m1"}, "decode");
        fleet.runFor(milliseconds(20000));
        fleet.net().cut({"r1", "r2", "r3"}, {"platform"});
        fleet.runFor(milliseconds(1000));
        for (const char *router : {"r1", "r2", "r3"})
            fleet.pauseRouter(router);
        GiveOrder newer; // As another home router would give it meanwhile.
        newer.fencing = FencingNumber(setGoal("e1", {"m1"}, "prefill").value());
        newer.kind = OrderKind::SetRole;
        newer.subject = "prefill";
        fleet.engine("e1").order(newer);
        fleet.runFor(milliseconds(30000));
        fleet.net().heal();
        fleet.log().faults().delay = milliseconds(4000);
        for (const char *router : {"r1", "r2", "r3"})
            fleet.resumeRouter(router);
        for (int at = 0; at < 20000; ++at) {
            fleet.runFor(milliseconds(1));
            CPPUNIT_ASSERT_EQUAL(std::string("prefill"), fleet.engine("e1").report().role);
        }
    }

    void changeOfManyEnginesKeepsMostOfTheCapacity()
    {
        for (int at = 1; at <= 8; ++at)
            setGoal("e" + std::to_string(at), {"m2"}, "");
        std::size_t fewestServing = 8;
        for (int at = 0; at < 4000; ++at) {
            fleet.runFor(milliseconds(100));
            std::size_t serving = 0;
            for (int engine = 1; engine <= 8; ++engine)
                serving += models("e" + std::to_string(engine)).empty() ? 0 : 1;
            fewestServing = std::min(fewestServing, serving);
        }
        for (int at = 1; at <= 8; ++at)
            CPPUNIT_ASSERT(models("e" + std::to_string(at)) == (std::set<std::string>{"m2"}));
        CPPUNIT_ASSERT(fewestServing >= 6); // 8 engines, a quarter in change
        CPPUNIT_ASSERT(fewestServing < 8);
    }

    void repeatedGoalDoesNotUndoLaterOne()
    {
        GoalTable table;
        apply(table, 5, goalOf("e1", {"m1"}, "", 0));
        apply(table, 10, goalOf("e1", {"m2"}, "", 0));
        apply(table, 11, goalOf("e1", {"m1"}, "", 5));
        CPPUNIT_ASSERT(table.find(BackendId("e1"))->models == (std::set<std::string>{"m2"}));
        GoalTable later;
        apply(later, 11, goalOf("e1", {"m1"}, "", 5));
        apply(later, 12, goalOf("e1", {"m2"}, "", 10));
        CPPUNIT_ASSERT(later.find(BackendId("e1"))->models == (std::set<std::string>{"m2"}));
        CPPUNIT_ASSERT(later.find(BackendId("e1"))->origin == LogOffset(10));
    }

private:
    static record::RecordT goalOf(const std::string &engine, std::vector<std::string> models,
                                  const std::string &role, std::uint64_t origin)
    {
        record::EngineGoalT goal;
        goal.engine = engine;
        goal.models = std::move(models);
        goal.role = role;
        goal.origin = origin;
        record::RecordT record;
        record.items.push_back(std::make_unique<record::ItemT>());
        record.items.back()->entry.Set(std::move(goal));
        return record;
    }

    static void apply(GoalTable &table, std::uint64_t offset, const record::RecordT &record)
    {
        table.apply(LogOffset(offset), record);
    }

    LogOffset setGoal(const std::string &engine, std::vector<std::string> models,
                      const std::string &role)
    {
        return fleet.log().appendNow(StreamId("orders"),
                                     encodeRecord(goalOf(engine, std::move(models), role, 0)));
    }

    std::set<std::string> models(const std::string &engine)
    {
        std::set<std::string> names;
        for (const ModelId &model : fleet.engine(engine).report().models)
            names.insert(model.value());
        return names;
    }

    FakeFleet fleet{11}; // NOLINT(readability-identifier-naming)
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderPartTest);
