// Continuous batching: each step prefills a limited number of prompt tokens and decodes one token
// of every running request. Waiting requests enter free slots by priority, which grows with
// waiting.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "standin-engine/enginemodel.h"
#include "standin-engine/prefixcache.h"
#include "standin-engine/sequence.h"

namespace comfrey::standin {

struct SchedulerCounts
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t highestLoad = 0; ///< Of running and waiting since takeHighestLoad().
    std::uint64_t accepted = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t promptTokens = 0; ///< Of requests that entered a slot.
    std::uint64_t cachedTokens = 0;
};

class Scheduler
{
public:
    explicit Scheduler(const EngineModel &model);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    /// False if the queue is full.
    bool submit(const std::shared_ptr<Sequence> &sequence);
    /// Cancels every sequence with this id.
    void cancel(const std::string &id);
    /// Waits until the sequence has more than `seen` tokens, has ended, or the time is over.
    Progress await(Sequence &sequence, Tokens seen, Duration limit);

    void setSlowFactor(double factor) { m_slowFactor = factor; }
    SchedulerCounts counts() const;
    SchedulerCounts takeHighestLoad();
    std::vector<CacheNotice> takeCacheNotices();
    std::vector<PromptPart> exportChat(const std::string &chat) const;
    void importChat(const std::string &chat, const std::vector<PromptPart> &parts);

private:
    using List = std::vector<std::shared_ptr<Sequence>>;

    void run();
    void fillSlots(std::chrono::steady_clock::time_point now);
    void enterSlot(const std::shared_ptr<Sequence> &sequence);
    double effectivePriority(const Sequence &sequence,
                             std::chrono::steady_clock::time_point now) const;
    /// Gives out this step's prefill; the tokens given.
    Tokens prefillStep();
    void decodeStep();
    void finish(Sequence &sequence);
    void dropEnded(List &list);
    std::size_t load() const { return m_running.size() + m_waiting.size(); }

    const EngineModel m_model;
    std::atomic<double> m_slowFactor = 1;
    mutable std::mutex m_mutex;
    std::condition_variable m_submitted;
    List m_waiting; ///< In the order of arrival.
    List m_running; ///< Never more than EngineModel::slots.
    PrefixCache m_cache;
    SchedulerCounts m_counts;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace comfrey::standin
