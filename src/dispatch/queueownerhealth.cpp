// Waits for the owner of a shared queue, and pauses after its failures.
#include "dispatch/queueownerhealth.h"

#include <algorithm>

namespace comfrey {

namespace {

constexpr Duration kAnswerMargin = milliseconds(40);    ///< For the way of a poll's answer.
constexpr Duration kShortestPoll = milliseconds(20);    ///< Less is no chance for an answer.
constexpr Duration kSilentPause = milliseconds(200);    ///< Routers are busy for so long at times.
constexpr Duration kGonePause = milliseconds(2000);     ///< About the time of a restart.
constexpr Duration kLongestPause = milliseconds(32000); ///< Some routers never come back.
constexpr std::uint32_t kMaxDoublings = 8;

} // namespace

std::optional<Duration> QueueOwnerHealth::pollTimeout(const LeaseWait &wait)
{
    const Duration untilPlacement = wait.timeLeft - kLastPlacementTime;
    const Duration wanted =
        wait.isQueued ? kLongPollTime + kAnswerMargin : kUndecidedTime - wait.waited;
    const Duration timeout = std::min(wanted, untilPlacement);
    return timeout < kShortestPoll ? std::nullopt : std::optional(timeout);
}

void QueueOwnerHealth::skip(const std::string &address, Duration firstPause, TimePoint now)
{
    Failures &failures = m_failures[address];
    if (now < failures.skippedUntil)
        return;
    const Duration pause = firstPause * (1U << std::min(failures.consecutive, kMaxDoublings));
    failures.skippedUntil = now + std::min(pause, kLongestPause);
    ++failures.consecutive;
}

void QueueOwnerHealth::onSilent(const std::string &address, TimePoint now)
{
    skip(address, kSilentPause, now);
}

void QueueOwnerHealth::onGone(const std::string &address, TimePoint now)
{
    skip(address, kGonePause, now);
}

bool QueueOwnerHealth::isSkipped(const std::string &address, TimePoint now) const
{
    const auto failures = m_failures.find(address);
    return failures != m_failures.end() && now < failures->second.skippedUntil;
}

} // namespace comfrey
