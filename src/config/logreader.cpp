// When this router reads the stream "config" from the log.
#include "config/logreader.h"

#include <algorithm>
#include <bit>

namespace comfrey {

namespace {

// Doublings of the poll interval after failed reads. All wait for the few that read.
constexpr std::uint32_t kTailingBackoffLimit = 2;
constexpr std::uint32_t kBackoffLimit = 5;
constexpr int kLostAfterTimeouts = 3; // A read unanswered for so many time limits is lost.

} // namespace

LogReader::LogReader(const Settings &settings, Random &random)
    : m_settings(settings), m_random(random)
{ }

void LogReader::setRole(bool isTailing, std::size_t fleetSize, TimePoint now)
{
    m_fleetSize = fleetSize;
    if (isTailing && !m_isTailing)
        m_notBefore = std::min(m_notBefore, now);
    m_isTailing = isTailing;
}

void LogReader::answered(bool advanced, bool confirmed, TimePoint now)
{
    m_reading = false;
    m_failures = 0;
    if (confirmed)
        confirm(now);
    m_patience = jittered(silenceLimit() / 2);
    m_notBefore = advanced ? now : now + milliseconds(m_settings.config.pollIntervalMs);
}

void LogReader::failed(TimePoint now)
{
    m_reading = false;
    m_failures = std::min(m_failures + 1, m_isTailing ? kTailingBackoffLimit : kBackoffLimit);
    const Duration backoff = milliseconds(m_settings.config.pollIntervalMs) * (1U << m_failures);
    m_notBefore = now + backoff / 2 + jittered(backoff);
}

void LogReader::confirm(TimePoint at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
}

std::optional<bool> LogReader::takeDueRead(TimePoint now)
{
    if (now < nextWakeUp())
        return std::nullopt;
    m_reading = true;
    m_sentAt = now;
    return m_isTailing;
}

TimePoint LogReader::nextWakeUp() const
{
    if (m_reading)
        return m_sentAt + kLostAfterTimeouts * milliseconds(m_settings.platform.requestTimeoutMs);
    if (m_isTailing)
        return m_notBefore;
    return std::max(m_notBefore, m_confirmedAt + silenceLimit() + m_patience);
}

// A read that the log holds is as good as an answer, as long as the log cannot have gone away.
TimePoint LogReader::confirmedAt(TimePoint now) const
{
    const bool held = m_isTailing && m_reading && m_failures == 0 && m_confirmedAt != TimePoint()
        && now - m_sentAt < milliseconds(m_settings.platform.requestTimeoutMs);
    return held ? now : m_confirmedAt;
}

// Word of a confirmation needs a few rounds of gossip, more in a larger fleet.
Duration LogReader::silenceLimit() const
{
    const auto rounds = static_cast<Duration::rep>(std::bit_width(m_fleetSize));
    return milliseconds(m_settings.config.silenceLimitMs)
        + milliseconds(m_settings.membership.heartbeatIntervalMs) * rounds;
}

Duration LogReader::jittered(Duration span)
{
    return Duration(static_cast<Duration::rep>(
        m_random() % static_cast<std::uint64_t>(std::max<Duration::rep>(1, span.count()))));
}

} // namespace comfrey
