#include "common/growingpool.h"

#include <utility>

namespace comfrey {

void GrowingPool::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_idle < m_tasks.size() && m_threads.size() < m_maxThreads)
        m_threads.emplace_back([this] { work(); });
    m_wakeUp.notify_one();
}

void GrowingPool::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

void GrowingPool::work()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_wakeUp.wait(lock, [this] { return !m_tasks.empty() || m_isStopping; });
        --m_idle;
        if (m_tasks.empty())
            return;
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        ++m_busy;
        task();
        --m_busy;
        lock.lock();
    }
}

} // namespace comfrey
