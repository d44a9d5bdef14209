// A task queue for cpp-httplib that starts a thread only when every other one is busy, up to a
// limit. A connection holds its thread while it is open; connections over the limit wait.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace comfrey {

class GrowingPool : public httplib::TaskQueue
{
public:
    /// `busy` counts the connections being served; it outlives the pool.
    GrowingPool(std::size_t maxThreads, std::atomic<std::size_t> &busy)
        : m_maxThreads(maxThreads), m_busy(busy)
    { }

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

private:
    void work();

    const std::size_t m_maxThreads;
    std::atomic<std::size_t> &m_busy;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads; ///< Never more than m_maxThreads.
    std::size_t m_idle = 0;             ///< Threads that wait for a task.
    bool m_isStopping = false;
};

} // namespace comfrey
