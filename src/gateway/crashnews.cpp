// The key of a record is fingerprint and server; its order is the time of the crash.
#include "gateway/crashnews.h"

#include <algorithm>
#include <charconv>

namespace comfrey {

namespace {

constexpr Duration kMemory =
    milliseconds(120000); // twice the term for which such a request is refused

} // namespace

bool CrashNews::tell(std::uint64_t wallTime, TimePoint now)
{
    const std::vector<CrashNotice> notices = m_guard.takeNotices();
    for (const CrashNotice &notice : notices) {
        const std::string fingerprint = std::to_string(notice.request.value());
        LogLine(m_log, "server-crashed-under-request", now)
            .add("server", notice.server)
            .add("fingerprint", fingerprint);
        m_feed.put({kTopic, fingerprint + ' ' + notice.server, std::string(), wallTime});
    }
    return !notices.empty();
}

void CrashNews::take(const FeedRecord &record, TimePoint now)
{
    const std::size_t cut = record.key.find(' ');
    std::uint64_t request = 0;
    const char *end = record.key.data() + std::min(cut, record.key.size());
    if (cut == std::string::npos
        || std::from_chars(record.key.data(), end, request).ec != std::errc())
        return;
    const std::string server = record.key.substr(cut + 1);
    if (m_guard.onCrash(Fingerprint(request), server, now))
        LogLine(m_log, "crash-heard", now)
            .add("server", server)
            .add("fingerprint", record.key.substr(0, cut))
            .add("refused", m_guard.isRefused(Fingerprint(request), now) ? "yes" : "no");
}

void CrashNews::forgetOld(std::uint64_t wallTime)
{
    m_feed.forget(kTopic, wallTime - static_cast<std::uint64_t>(kMemory.count() / 1000));
}

} // namespace comfrey
