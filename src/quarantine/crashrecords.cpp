// A record's key is its subject's letter and id and the server's incarnation; the value is text.
#include "quarantine/crashrecords.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>

namespace comfrey {

namespace {

constexpr std::string_view kFormat = "1"; ///< First word of each value.
constexpr std::size_t kMaxKeyBytes = 255; ///< Of the store.
constexpr std::size_t kMaxWriterBytes = 64;
/// Unreadable records are removed so long after they were read.
constexpr Duration kTidyDelay = milliseconds(600000);

bool isBefore(const RecalledCrash &left, const RecalledCrash &right)
{
    return left.age != right.age ? left.age > right.age
                                 : left.crash.incarnation < right.crash.incarnation;
}

} // namespace

StoredCrash encode(const KeptCrash &crash)
{
    std::ostringstream key;
    key << (crash.subject == CrashSubject::Request ? 'r' : 'p') << std::hex << crash.id << ' '
        << crash.incarnation;
    std::ostringstream value;
    value << kFormat << ' ' << crash.crashedAtMs << ' ' << crash.sentMsBefore << ' '
          << (crash.isFamiliar ? 1 : 0) << ' ' << crash.writer;
    return {key.str(), value.str()};
}

std::optional<KeptCrash> decode(std::string_view key, std::string_view value)
{
    KeptCrash crash;
    const std::size_t cut = key.find(' ');
    if (cut == std::string_view::npos || cut < 2 || cut + 1 == key.size())
        return std::nullopt;
    if (key.front() != 'r' && key.front() != 'p')
        return std::nullopt;
    crash.subject = key.front() == 'r' ? CrashSubject::Request : CrashSubject::PromptPart;
    const auto parsed = std::from_chars(key.data() + 1, key.data() + cut, crash.id, 16);
    if (parsed.ec != std::errc() || parsed.ptr != key.data() + cut)
        return std::nullopt;
    crash.incarnation = key.substr(cut + 1);
    std::istringstream words{std::string(value)};
    std::string format;
    int familiar = 0;
    words >> format >> crash.crashedAtMs >> crash.sentMsBefore >> familiar >> crash.writer;
    if (!words || format != kFormat || crash.writer.size() > kMaxWriterBytes)
        return std::nullopt;
    crash.isFamiliar = familiar != 0;
    return crash;
}

Duration CrashRecords::retention(CrashSubject subject)
{
    // As long as the routers remember them.
    return subject == CrashSubject::Request ? milliseconds(600000) : milliseconds(3600000);
}

void CrashRecords::onCrash(const KeptCrash &crash, bool isRepeated, TimePoint now)
{
    const std::string key = encode(crash).key;
    if (key.size() > kMaxKeyBytes || m_kept.count(key) > 0 || m_batchKept.count(key) > 0)
        return;
    if (const auto found = m_pending.find(key); found != m_pending.end()) {
        found->second.isRepeated = found->second.isRepeated || isRepeated;
        return;
    }
    if (m_pending.size() >= kMaxPending) {
        ++m_omitted;
        return;
    }
    m_pending.emplace(key, Pending{crash, isRepeated, now});
}

void CrashRecords::onCleared(CrashSubject subject, std::uint64_t id, std::uint64_t clearedAtMs,
                             TimePoint now)
{
    std::erase_if(m_pending, [&](const auto &entry) {
        const KeptCrash &crash = entry.second.crash;
        return crash.subject == subject && crash.id == id && crash.crashedAtMs <= clearedAtMs;
    });
    for (auto *records : {&m_kept, &m_batchKept}) {
        for (auto &[key, kept] : *records) {
            if (kept.subject == subject && kept.id == id && kept.crashedAtMs <= clearedAtMs)
                kept.removeAt = now;
        }
    }
}

bool CrashRecords::isDue(const Pending &pending, TimePoint now) const
{
    return pending.isRepeated || now - pending.foundAt >= kSettleTime;
}

void CrashRecords::dropOutage()
{
    std::set<std::string> servers;
    for (const auto &[key, pending] : m_pending) {
        if (!pending.isRepeated)
            servers.insert(pending.crash.incarnation);
    }
    if (servers.size() > kMaxServersAtOnce)
        m_omitted +=
            std::erase_if(m_pending, [](const auto &entry) { return !entry.second.isRepeated; });
}

void CrashRecords::keep(const std::string &key, const Kept &kept)
{
    if (m_kept.size() < kMaxRecalled)
        m_kept.insert_or_assign(key, kept);
}

std::vector<StoredCrash> CrashRecords::takeBatch(bool readsStore, TimePoint now)
{
    if (m_isCalling || now < m_nextCallAt
        || (m_batch.empty() && m_pending.empty() && m_kept.empty()))
        return {};
    if (m_batch.empty()) {
        dropOutage();
        // Repeated crashes first: they are refused already, and must be after a loss of power.
        for (const bool isRepeated : {true, false}) {
            for (auto entry = m_pending.begin();
                 entry != m_pending.end() && m_batch.size() < kMaxBatch;) {
                const Pending &pending = entry->second;
                if (pending.isRepeated != isRepeated || !isDue(pending, now)) {
                    ++entry;
                    continue;
                }
                m_batch.push_back(encode(pending.crash));
                m_batchKept[entry->first] = {pending.crash.subject, pending.crash.id,
                                             pending.crash.crashedAtMs, true,
                                             pending.foundAt + retention(pending.crash.subject)};
                entry = m_pending.erase(entry);
            }
        }
        for (auto entry = m_kept.begin(); entry != m_kept.end() && m_batch.size() < kMaxBatch;) {
            if (now < entry->second.removeAt) {
                ++entry;
                continue;
            }
            if (entry->second.isOwn || readsStore)
                m_batch.push_back({entry->first, std::nullopt});
            entry = m_kept.erase(entry);
        }
    }
    if (m_batch.empty())
        return {};
    m_isCalling = true;
    m_nextCallAt = now + kMinCallInterval;
    return m_batch;
}

void CrashRecords::onWritten(CrashWrite outcome, TimePoint now)
{
    m_isCalling = false;
    if (outcome == CrashWrite::Failed) {
        m_retryDelay = std::clamp(m_retryDelay * 2, kMinCallInterval, kMaxRetryDelay);
        m_nextCallAt = now + m_retryDelay;
        return;
    }
    m_retryDelay = Duration(0);
    if (outcome == CrashWrite::Refused) {
        m_refused += m_batch.size();
        m_batchKept.clear();
    }
    m_batch.clear();
    for (const auto &[key, kept] : std::exchange(m_batchKept, {}))
        keep(key, kept);
}

CrashRecall CrashRecords::recall(const std::vector<StoredCrash> &records, std::uint64_t wallTime,
                                 TimePoint now)
{
    CrashRecall result;
    for (const StoredCrash &record : records) {
        if (!record.value)
            continue;
        const auto crash = decode(record.key, *record.value);
        if (!crash) {
            ++result.unreadable;
            keep(record.key, {CrashSubject::Request, 0, 0, false, now + kTidyDelay});
            continue;
        }
        const auto maxAgeMs = static_cast<std::uint64_t>(retention(crash->subject).count() / 1000);
        // A record from the future counts as new: one of the clocks is wrong.
        const std::uint64_t ageMs =
            crash->crashedAtMs < wallTime ? wallTime - crash->crashedAtMs : 0;
        if (ageMs >= maxAgeMs) {
            ++result.expired;
            // This router's clock may be wrong: routers with right clocks read it meanwhile.
            keep(record.key,
                 {crash->subject, crash->id, crash->crashedAtMs, false,
                  now + retention(crash->subject)});
            continue;
        }
        const Duration age = milliseconds(static_cast<std::int64_t>(ageMs));
        keep(record.key,
             {crash->subject, crash->id, crash->crashedAtMs, crash->writer == m_self,
              now + retention(crash->subject) - age});
        result.crashes.push_back({*crash, age});
    }
    std::sort(result.crashes.begin(), result.crashes.end(), isBefore);
    if (result.crashes.size() > kMaxRecalled) {
        result.dropped = result.crashes.size() - kMaxRecalled;
        result.crashes.erase(result.crashes.begin(),
                             result.crashes.begin() + static_cast<std::ptrdiff_t>(result.dropped));
    }
    return result;
}

} // namespace comfrey
