// A fake model engine: slots, priorities, a prefix cache by chat, lagging load reports, orders with
// fencing numbers, and faults.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <set>
#include <vector>

#include "support/eventqueue.h"
#include "support/fakebackend.h"

namespace comfrey::test {

struct EngineOptions
{
    std::string id;
    std::string zone = "z1";
    std::vector<std::string> models = {"m1"};
    std::uint32_t slots = 8;
    Duration firstToken = milliseconds(60); ///< Of an uncached prompt.
    Duration perToken = milliseconds(20);
    Duration reportLag = milliseconds(500);
    Duration restartAfter = milliseconds(2000); ///< After a crash by a request.
    std::size_t cachedChats = 1000;
    bool checksFencing = true;
};

struct EngineFaults
{
    double slow = 1;             ///< Factor on all times.
    bool refuse = false;         ///< Refuses every request unstarted.
    bool leaving = false;        ///< Says so in reports and in refusals.
    bool ignoresLeaving = false; ///< Takes work while leaving, so that a test sees it come.
    bool losesOrderAnswers = false;
};

class FakeEngine : public FakeBackend
{
public:
    FakeEngine(EventQueue &queue, AttemptSink &sink, EngineOptions options);

    EngineFaults &faults() { return m_faults; }
    const EngineOptions &options() const { return m_options; }

    Instance instance() const override;
    bool isUp() const override { return m_up; }
    void arrive(const Arrival &arrival) override;
    void cancel(const AttemptKey &key) override;
    void crash() override;
    void restart() override;
    std::uint32_t inFlight() const override;
    LoadReport report() const override;
    OrderResult order(const GiveOrder &order);

    std::uint64_t started() const { return m_started; }
    std::uint64_t crashes() const { return m_crashes; }
    Tokens cachedTokensUsed() const { return m_cachedTokensUsed; }

private:
    struct Running
    {
        Arrival arrival;
        Tokens delivered = 0;
        Tokens cached = 0;
    };
    struct Load
    {
        TimePoint at;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
    };

    void startNext();
    void start(const Arrival &arrival);
    void step(const AttemptKey &key, Tokens tokens);
    void finish(const AttemptKey &key);
    void crashByRequest();
    void refuse(const Arrival &arrival);
    Tokens useCache(const CallerRequest &detail);
    void noteLoad();
    Duration slowed(Duration time) const;

    EventQueue &m_queue;
    AttemptSink &m_sink;
    EngineOptions m_options;
    EngineFaults m_faults;
    bool m_up = true;
    std::map<AttemptKey, Running> m_running;
    std::map<Priority, std::deque<Arrival>> m_waiting;
    std::list<ChatId> m_cacheOrder; ///< Least recently used first.
    std::map<ChatId, std::pair<Tokens, std::list<ChatId>::iterator>> m_cache;
    std::deque<CacheEvent> m_cacheEvents; ///< The newest few; older ones are a gap.
    std::deque<Load> m_loads;             ///< By time; the first is at least one lag old.
    std::set<std::string> m_models;
    std::set<std::string> m_adapters;
    std::string m_role;
    FencingNumber m_newestOrder;
    std::uint64_t m_started = 0;
    std::uint64_t m_crashes = 0;
    Tokens m_cachedTokensUsed = 0;
};

} // namespace comfrey::test
