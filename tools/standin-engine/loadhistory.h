// What the engine tells of its load: reports that lag, with cache events that are late and have
// gaps, and the true load over time for measurements.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <random>
#include <vector>

#include "standin-engine/prefixcache.h"

namespace comfrey::standin {

using WallTime = std::chrono::system_clock::time_point;

struct LoadSample
{
    WallTime time;
    std::size_t running = 0;
    std::size_t waiting = 0;
};

struct LoadReportView
{
    LoadSample sample;
    std::vector<CacheNotice> notices; ///< The newest few that are as old as the sample.
};

class LoadHistory
{
public:
    LoadHistory(double noticeLoss, std::uint64_t seed)
        : m_noticeLoss(noticeLoss), m_random(seed) { }

    /// Called every kSampleInterval, at multiples of it since the epoch.
    void add(const LoadSample &sample, const std::vector<CacheNotice> &notices);
    /// The newest sample that is at least `lag` old.
    LoadReportView report(std::chrono::milliseconds lag) const;
    /// All kept samples from `from` on.
    std::vector<LoadSample> samplesFrom(WallTime from) const;

    static constexpr auto kSampleInterval = std::chrono::milliseconds(20);

private:
    struct TimedNotice
    {
        WallTime time;
        CacheNotice notice;
    };

    const double m_noticeLoss; ///< Probability that a cache event is never reported.
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::deque<LoadSample> m_samples;  ///< Oldest first; bounded.
    std::deque<TimedNotice> m_notices; ///< Oldest first; bounded.
};

} // namespace comfrey::standin
