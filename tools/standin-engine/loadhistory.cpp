#include "standin-engine/loadhistory.h"

#include <algorithm>

namespace comfrey::standin {

namespace {

constexpr std::size_t kSamplesKept = 30000; // ten minutes
constexpr std::size_t kNoticesKept = 1000;
constexpr std::size_t kNoticesReported = 4;

} // namespace

void LoadHistory::add(const LoadSample &sample, const std::vector<CacheNotice> &notices)
{
    const std::lock_guard lock(m_mutex);
    m_samples.push_back(sample);
    if (m_samples.size() > kSamplesKept)
        m_samples.pop_front();
    std::bernoulli_distribution isLost(m_noticeLoss);
    for (const CacheNotice &notice : notices) {
        if (!isLost(m_random))
            m_notices.push_back({sample.time, notice});
    }
    while (m_notices.size() > kNoticesKept)
        m_notices.pop_front();
}

LoadReportView LoadHistory::report(std::chrono::milliseconds lag) const
{
    const WallTime newest = std::chrono::system_clock::now() - lag;
    const std::lock_guard lock(m_mutex);
    LoadReportView view;
    for (auto sample = m_samples.rbegin(); sample != m_samples.rend(); ++sample) {
        view.sample = *sample;
        if (sample->time <= newest)
            break;
    }
    for (auto notice = m_notices.rbegin(); notice != m_notices.rend(); ++notice) {
        if (view.notices.size() == kNoticesReported)
            break;
        if (notice->time <= newest)
            view.notices.push_back(notice->notice);
    }
    std::reverse(view.notices.begin(), view.notices.end());
    return view;
}

std::vector<LoadSample> LoadHistory::samplesFrom(WallTime from) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<LoadSample> samples;
    for (const LoadSample &sample : m_samples) {
        if (sample.time >= from)
            samples.push_back(sample);
    }
    return samples;
}

} // namespace comfrey::standin
