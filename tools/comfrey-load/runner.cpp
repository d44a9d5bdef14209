#include "comfrey-load/runner.h"

#include <iostream>

namespace comfrey::load {

namespace {

constexpr auto kProgressInterval = std::chrono::seconds(1);

} // namespace

RunResult Runner::run(const std::vector<PlannedRequest> &requests, SteadyTime start)
{
    SteadyTime nextProgress = start + kProgressInterval;
    for (const PlannedRequest &request : requests) {
        const std::chrono::duration<double> after(request.at * m_timeScale);
        const SteadyTime planned = start + std::chrono::duration_cast<SteadyTime::duration>(after);
        while (nextProgress < planned) {
            std::this_thread::sleep_until(nextProgress);
            printProgress(std::chrono::duration<double>(nextProgress - start).count());
            nextProgress += kProgressInterval;
        }
        std::this_thread::sleep_until(planned);
        dispatch({&request, planned});
    }
    {
        const std::lock_guard lock(m_mutex);
        m_isOver = true;
    }
    m_wakeUp.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
    return std::move(m_result);
}

void Runner::dispatch(const Job &job)
{
    const std::lock_guard lock(m_mutex);
    if (m_idle <= m_jobs.size() && m_threads.size() >= m_maxThreads) {
        Sample sample;
        sample.request = job.request;
        sample.end = SampleEnd::NotSent;
        m_result.samples.push_back(sample);
        return;
    }
    m_jobs.push_back(job);
    if (m_idle < m_jobs.size())
        m_threads.emplace_back([this] { work(); });
    m_wakeUp.notify_one();
}

void Runner::work()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_wakeUp.wait(lock, [this] { return !m_jobs.empty() || m_isOver; });
        --m_idle;
        if (m_jobs.empty())
            return;
        const Job job = m_jobs.front();
        m_jobs.pop_front();
        const std::chrono::duration<double, std::milli> lateness =
            std::chrono::steady_clock::now() - job.planned;
        m_result.latenessMs.push_back(lateness.count());
        lock.unlock();
        const Sample sample = m_caller.run(*job.request, job.planned);
        lock.lock();
        m_result.samples.push_back(sample);
    }
}

void Runner::printProgress(double seconds)
{
    const std::lock_guard lock(m_mutex);
    std::size_t answered = 0;
    for (const Sample &sample : m_result.samples)
        answered += sample.end == SampleEnd::Answered ? 1 : 0;
    std::cerr << "progress seconds=" << seconds << " in_flight=" << m_threads.size() - m_idle
              << " ended=" << m_result.samples.size() << " answered=" << answered << '\n';
}

} // namespace comfrey::load
