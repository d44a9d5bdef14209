// Bounded memory of refusals and the match of a caller's next attempt.
#include "dispatch/refusalmemory.h"

#include <chrono>
#include <iterator>

namespace comfrey {

namespace {

/// Differences between the ways of two attempts: connections, busy routers, polls of the queue.
constexpr Duration kMaxWayDifference = milliseconds(60);

} // namespace

void RefusalMemory::add(std::uint64_t fingerprint, const RefusedAttempt &refusal)
{
    dropOld(refusal.refusedAt);
    const auto [oldest, end] = m_refusals.equal_range(fingerprint); // In order of add().
    if (static_cast<std::size_t>(std::distance(oldest, end)) >= kMaxEqualRefusals) {
        m_byAge.erase(oldest->second.sequence);
        m_refusals.erase(oldest);
    }
    const auto entry = m_refusals.emplace(fingerprint, Entry{++m_lastSequence, refusal});
    m_byAge.emplace(m_lastSequence, entry);
}

std::optional<RefusedAttempt> RefusalMemory::take(std::uint64_t fingerprint, Duration callerTime,
                                                  TimePoint now)
{
    const auto [begin, end] = m_refusals.equal_range(fingerprint);
    for (auto entry = begin; entry != end; ++entry) {
        const RefusedAttempt refusal = entry->second.refusal;
        const Duration passed = now - refusal.refusedAt;
        const Duration shrunk = refusal.callerTime - callerTime;
        if (shrunk <= Duration(0) || shrunk < passed / 2
            || std::chrono::abs(passed - shrunk) > kMaxWayDifference)
            continue;
        m_byAge.erase(entry->second.sequence);
        m_refusals.erase(entry);
        return refusal;
    }
    return std::nullopt;
}

void RefusalMemory::dropOld(TimePoint now)
{
    while (!m_byAge.empty()) {
        const auto oldest = m_byAge.begin();
        const RefusedAttempt &refusal = oldest->second->second.refusal;
        if (m_byAge.size() < kMaxRefusals && now < refusal.refusedAt + refusal.callerTime)
            return;
        m_refusals.erase(oldest->second);
        m_byAge.erase(oldest);
    }
}

} // namespace comfrey
