// Counts by slices of the sliding window.
#include "dispatch/retrybudget.h"

namespace comfrey {

RetryBudget::Slice &RetryBudget::sliceAt(TimePoint now)
{
    const Duration length = m_limits.window / kSlices;
    const std::int64_t number = now.time_since_epoch() / length;
    Slice &slice = m_slices[static_cast<std::size_t>(number) % m_slices.size()];
    if (slice.number != number)
        slice = {number, 0, 0};
    return slice;
}

void RetryBudget::onRequest(TimePoint now)
{
    ++sliceAt(now).requests;
}

bool RetryBudget::take(TimePoint now)
{
    Slice &present = sliceAt(now);
    double requests = 0;
    double repeats = 0;
    for (const Slice &slice : m_slices) {
        if (slice.number + static_cast<std::int64_t>(kSlices) < present.number)
            continue;
        requests += slice.requests;
        repeats += slice.repeats;
    }
    if (repeats + 1 > kUsedPart * m_limits.ratio * requests + m_limits.spare)
        return false;
    ++present.repeats;
    return true;
}

} // namespace comfrey
