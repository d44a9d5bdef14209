// Counts requests and retries in the slices of a sliding window.
#include "dispatch/retrybudget.h"

namespace comfrey {

RetryBudget::Slice &RetryBudget::currentSlice(TimePoint now)
{
    const Duration length = m_limits.window / kSlices;
    const std::int64_t index = now.time_since_epoch() / length;
    Slice &slice = m_slices[static_cast<std::size_t>(index) % m_slices.size()];
    if (slice.index != index)
        slice = {index, 0, 0};
    return slice;
}

void RetryBudget::onRequest(TimePoint now)
{
    ++currentSlice(now).requests;
}

bool RetryBudget::tryAcquire(TimePoint now)
{
    Slice &current = currentSlice(now);
    double requests = 0;
    double retries = 0;
    for (const Slice &slice : m_slices) {
        if (slice.index + static_cast<std::int64_t>(kSlices) < current.index)
            continue;
        requests += slice.requests;
        retries += slice.retries;
    }
    if (retries + 1 > kUsableShare * m_limits.ratio * requests + m_limits.extraRetries)
        return false;
    ++current.retries;
    return true;
}

} // namespace comfrey
