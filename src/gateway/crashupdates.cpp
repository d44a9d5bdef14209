// The key of a record is the request's fingerprint and the server's incarnation, or the fingerprint
// alone once the request ran without a crash. The order is the Unix time in milliseconds at which a
// router detected it. A clearing concerns the crashes of its own order and below.
#include "gateway/crashupdates.h"

#include <algorithm>
#include <charconv>

namespace comfrey {

bool CrashUpdates::publish(std::uint64_t wallTime, TimePoint now)
{
    const std::vector<CrashFinding> notices = m_guard.takeFindings();
    for (const CrashFinding &notice : notices) {
        const std::string fingerprint = std::to_string(notice.request.value());
        if (notice.incarnation.empty()) {
            LogLine(m_log, "crash-suspect-cleared", now).add("fingerprint", fingerprint);
            m_feed.put(
                {kTopic, fingerprint, std::string(), nextOrder(fingerprint, true, wallTime)});
            continue;
        }
        LogLine(m_log, "server-crashed-under-request", now)
            .add("server", notice.incarnation)
            .add("fingerprint", fingerprint)
            .add("evidence", nameOf(notice.evidence))
            .add("after", notice.detectionDelay)
            .add("crashes", static_cast<std::int64_t>(m_guard.crashCount(notice.request)))
            .add("refused_for", m_guard.remainingRefusal(notice.request, now));
        m_metrics.count("comfrey_crashes_under_requests_total",
                        "evidence=\"" + std::string(nameOf(notice.evidence)) + '"');
        m_feed.put({kTopic, fingerprint + ' ' + notice.incarnation, std::string(),
                    nextOrder(fingerprint, false, wallTime), now});
    }
    m_kept.onFindings(notices, wallTime, now);
    const bool hasEvidence = m_promptCrashes.publish(notices, wallTime, now);
    return !notices.empty() || hasEvidence;
}

std::uint64_t CrashUpdates::nextOrder(const std::string &fingerprint, bool isCleared,
                                      std::uint64_t wallTime) const
{
    std::uint64_t order = wallTime;
    if (const FeedRecord *cleared = m_feed.find(kTopic, fingerprint))
        order = std::max(order, cleared->order + 1);
    if (!isCleared)
        return order;
    for (const FeedRecord *crash : m_feed.findByPrefix(kTopic, fingerprint + ' '))
        order = std::max(order, crash->order);
    return order;
}

void CrashUpdates::applyCleared(const FeedRecord &record, Fingerprint request, TimePoint now)
{
    m_guard.onRemoteSuccess(request);
    m_kept.onRequestCleared(request, record.order, now);
    // A router that started since may have read a later crash from the store first.
    const std::string prefix = record.key + ' ';
    for (const FeedRecord *crash : m_feed.findByPrefix(kTopic, prefix)) {
        if (crash->order > record.order)
            m_guard.recordCrash(request, crash->key.substr(prefix.size()),
                                crash->readAt == TimePoint::min() ? now : crash->readAt);
    }
}

void CrashUpdates::apply(const FeedRecord &record, TimePoint now)
{
    if (record.topic != kTopic) {
        m_promptCrashes.apply(record, now);
        return;
    }
    const std::size_t cut = std::min(record.key.find(' '), record.key.size());
    const std::string_view fingerprint = std::string_view(record.key).substr(0, cut);
    std::uint64_t number = 0;
    const auto parsed =
        std::from_chars(fingerprint.data(), fingerprint.data() + fingerprint.size(), number);
    if (parsed.ec != std::errc()) {
        LogLine(m_log, "crash-unreadable", now).add("key", record.key);
        return;
    }
    const Fingerprint request(number);
    if (cut == record.key.size()) {
        applyCleared(record, request, now);
        return;
    }
    const std::string server = record.key.substr(cut + 1);
    const TimePoint crashedAt = record.readAt == TimePoint::min() ? now : record.readAt;
    if (m_guard.recordCrash(request, server, crashedAt))
        LogLine(m_log, "crash-heard", now)
            .add("server", server)
            .add("fingerprint", fingerprint)
            .add("crashes", static_cast<std::int64_t>(m_guard.crashCount(request)))
            .add("refused_for", m_guard.remainingRefusal(request, now));
}

void CrashUpdates::dropExpired(std::uint64_t wallTime)
{
    m_promptCrashes.dropExpired(wallTime);
    m_feed.dropOlderThan(
        kTopic, wallTime - static_cast<std::uint64_t>(CrashGuard::kCrashRetention.count() / 1000));
}

} // namespace comfrey
