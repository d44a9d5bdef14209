// Sends the planned requests at their times from a bounded number of threads.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

#include "comfrey-load/caller.h"

namespace comfrey::load {

struct RunResult
{
    std::vector<Sample> samples;
    std::vector<double> latenessMs; ///< Wall time from each planned arrival to its sending.
};

class Runner
{
public:
    Runner(const Caller &caller, std::size_t maxThreads, double timeScale)
        : m_caller(caller), m_maxThreads(maxThreads), m_timeScale(timeScale)
    { }

    /// Returns when every request has ended. Prints a line of progress each second.
    RunResult run(const std::vector<PlannedRequest> &requests, SteadyTime start);

private:
    struct Job
    {
        const PlannedRequest *request = nullptr;
        SteadyTime planned;
    };

    void dispatch(const Job &job);
    void work();
    void printProgress(double seconds);

    const Caller &m_caller;
    const std::size_t m_maxThreads;
    const double m_timeScale;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<Job> m_jobs;
    std::vector<std::thread> m_threads; ///< Never more than m_maxThreads.
    std::size_t m_idle = 0;
    bool m_isOver = false;
    RunResult m_result;
};

} // namespace comfrey::load
