// Tests decisions that follow what a server announces in an answer: that it leaves, or that it
// wants a pause. Time is scripted.
#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/dispatcher.h"

using namespace comfrey;

namespace {

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(1000000 + ms));
}

const ServiceName kService("s");

} // namespace

class ServerAnnouncementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerAnnouncementTest);
    CPPUNIT_TEST(pausedServerIsNeverChosenEvenIfItIsTheLastOne);
    CPPUNIT_TEST(longerPauseIsKeptUpToTheMaximum);
    CPPUNIT_TEST(pauseOutlivesARemovedRecord);
    CPPUNIT_TEST(pauseEndsWithTheIncarnation);
    CPPUNIT_TEST(remainingPauseOfAllIsThatOfTheFirstPauseToEnd);
    CPPUNIT_TEST(leaseAtAPausedServerIsNotUsed);
    CPPUNIT_TEST(excludedServersAreThePausedAndLeavingOnes);
    CPPUNIT_TEST(leavingAnnouncedBeforeListingIsKept);
    CPPUNIT_TEST(pausedEngineIsNotChosen);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        list("e1", 1, 0);
        list("e2", 1, 0);
    }

    void pausedServerIsNeverChosenEvenIfItIsTheLastOne()
    {
        m_dispatcher.onPause(server("e1"), milliseconds(1000), at(0));
        for (int count = 0; count < 20; ++count)
            CPPUNIT_ASSERT_EQUAL(std::string("e2@1"), chosen({}, 500));
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen({"e2@1"}, 500));
        CPPUNIT_ASSERT_EQUAL(std::string("e1@1"), chosen({"e2@1"}, 1000));
    }

    void longerPauseIsKeptUpToTheMaximum()
    {
        m_dispatcher.onPause(server("e1"), milliseconds(1000), at(0));
        const Duration kept = m_dispatcher.onPause(server("e1"), milliseconds(100), at(0));
        CPPUNIT_ASSERT(kept == milliseconds(1000));
        m_dispatcher.onPause(server("e1"), milliseconds(1000000000), at(0));
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen({"e2@1"}, 299999));
        CPPUNIT_ASSERT_EQUAL(std::string("e1@1"), chosen({"e2@1"}, 300000));
    }

    void pauseOutlivesARemovedRecord()
    {
        m_dispatcher.onPause(server("e1"), milliseconds(5000), at(0));
        m_dispatcher.replicas().remove(BackendId("e1"), at(10), at(10));
        list("e1", 1, 1);
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen({"e2@1"}, 100));
    }

    void pauseEndsWithTheIncarnation()
    {
        m_dispatcher.onPause(server("e1"), milliseconds(5000), at(0));
        list("e1", 2, 0);
        CPPUNIT_ASSERT_EQUAL(std::string("e1@2"), chosen({"e2@1"}, 100));
    }

    void remainingPauseOfAllIsThatOfTheFirstPauseToEnd()
    {
        m_dispatcher.onPause(server("e1"), milliseconds(3000), at(0));
        CPPUNIT_ASSERT(!m_dispatcher.remainingPauseOfAll(kService, at(0)));
        m_dispatcher.onPause(server("e2"), milliseconds(2000), at(0));
        CPPUNIT_ASSERT(m_dispatcher.remainingPauseOfAll(kService, at(500)) == milliseconds(1500));
        CPPUNIT_ASSERT(!m_dispatcher.remainingPauseOfAll(kService, at(2000)));
        CPPUNIT_ASSERT(!m_dispatcher.remainingPauseOfAll(ServiceName("other"), at(500)));
    }

    void leaseAtAPausedServerIsNotUsed()
    {
        const std::uint32_t hash = server("e1").incarnationHash;
        CPPUNIT_ASSERT(m_dispatcher.leasedReplica(kService, hash, at(0)));
        m_dispatcher.onPause(server("e1"), milliseconds(1000), at(0));
        CPPUNIT_ASSERT(!m_dispatcher.leasedReplica(kService, hash, at(999)));
        CPPUNIT_ASSERT(m_dispatcher.leasedReplica(kService, hash, at(1000)));
        m_dispatcher.replicas().onLeavingAnnounced("e1@1", at(1000));
        CPPUNIT_ASSERT(!m_dispatcher.leasedReplica(kService, hash, at(1001)));
    }

    void excludedServersAreThePausedAndLeavingOnes()
    {
        CPPUNIT_ASSERT(m_dispatcher.excludedServers(kService, {}, at(0)).empty());
        m_dispatcher.onPause(server("e1"), milliseconds(1000), at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             m_dispatcher.excludedServers(kService, {}, at(0)).size());
        m_dispatcher.replicas().onLeavingAnnounced("e2@1", at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             m_dispatcher.excludedServers(kService, {}, at(0)).size());
    }

    void leavingAnnouncedBeforeListingIsKept()
    {
        CPPUNIT_ASSERT(m_dispatcher.replicas().onLeavingAnnounced("e3@7", at(0)));
        CPPUNIT_ASSERT(!m_dispatcher.replicas().onLeavingAnnounced("e3@7", at(1)));
        list("e3", 7, 0);
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen({"e1@1", "e2@1"}, 10));
        list("e3", 8, 0);
        CPPUNIT_ASSERT_EQUAL(std::string("e3@8"), chosen({"e1@1", "e2@1"}, 10));
    }

    void pausedEngineIsNotChosen()
    {
        m_request.prompt = {{1, 100}, {2, 10}};
        m_dispatcher.onPause(server("e1"), milliseconds(1000), at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("e2@1"), chosen({}, 10));
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen({"e2@1"}, 10));
    }

private:
    void list(const std::string &id, std::uint64_t startedAtMs, std::uint64_t sequence)
    {
        ReplicaRecord record;
        record.id = BackendId(id);
        record.service = kService;
        record.address = Endpoint("127.0.0.1:1");
        record.slots = 4;
        record.startedAtMs = startedAtMs;
        record.sequence = sequence;
        m_dispatcher.replicas().put(record, at(0));
    }

    Replica &server(const std::string &id) { return *m_dispatcher.replicas().find(BackendId(id)); }

    std::string chosen(const std::vector<std::string> &tried, std::int64_t ms)
    {
        const Choice choice = m_dispatcher.choose(m_request, kService, tried, at(ms));
        return choice.replica ? choice.replica->incarnation : std::string();
    }

    Dispatcher m_dispatcher{DispatcherSettings{}};
    RequestFacts m_request;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerAnnouncementTest);
