// One partition of claims as this router follows it.
#include "outcome/claimlog.h"

#include <algorithm>

#include "wire/envelope.h"

namespace comfrey {

namespace {

constexpr std::size_t kItemsPerAppend = 256;
constexpr Duration kReappendAfter = milliseconds(1000); ///< Of an item that was not read back.
constexpr Duration kAppendTimeout = milliseconds(5000); ///< An answer that late counts as lost.
constexpr Duration kReadTimeout = milliseconds(15000);  ///< A read that long is given out again.
constexpr Duration kReadRetry = milliseconds(200);      ///< After a failed read.
constexpr Duration kReadPause = milliseconds(20);       ///< Between reads that brought nothing.
constexpr Duration kOutageAfter = milliseconds(1000); ///< Of failed reads; then claims end at once.
constexpr Duration kPruneInterval = milliseconds(10000);
constexpr Duration kOutcomeKept = milliseconds(30000); ///< Pending outcome of another router.
constexpr UnixMs kClockSkewMs = 60000; ///< Most that clocks of callers and routers differ.

bool isOwn(const PartContext &context, const ClaimId &id)
{
    return id.router == context.fleet.self() && id.incarnation == context.incarnation;
}

void addItem(record::RecordT &record, const record::ClaimT &claim)
{
    record.items.push_back(std::make_unique<record::ItemT>());
    record.items.back()->entry.Set(record::ClaimT(claim));
}

void addItem(record::RecordT &record, const record::ClaimOutcomeT &outcome)
{
    record.items.push_back(std::make_unique<record::ItemT>());
    record.items.back()->entry.Set(record::ClaimOutcomeT(outcome));
}

} // namespace

ClaimLog::ClaimLog(const PartContext &context, std::uint32_t partition, TimePoint now)
    : m_context(context), m_partition(partition), m_stream(claimStream(partition)),
      m_appendedAt(now), m_nextAppendAt(now), m_readAt(now), m_nextReadAt(now),
      m_nextPruneAt(now + kPruneInterval), m_lastUsed(now)
{ }

void ClaimLog::submit(const Item &item, Duty duty, TimePoint now)
{
    m_lastUsed = now;
    const ClaimId id = std::visit([](const auto &value) { return idOf(value); }, item);
    const bool isOutcome = std::holds_alternative<record::ClaimOutcomeT>(item);
    if (auto verdict = verdictOn(item)) {
        m_decisions.push_back({m_partition, id, isOutcome, std::move(*verdict)});
        return;
    }
    if (!isOutcome && isInOutage(now)) {
        m_decisions.push_back({m_partition, id, false, {VerdictKind::Unavailable, {}}});
        return;
    }
    const TimePoint appendAt = duty == Duty::Append ? now : kNever;
    const auto [added, isNew] = m_pending.try_emplace(
        PendingId{id, isOutcome}, Pending{item, giveUpTime(id, isOutcome, now), appendAt});
    Pending &pending = added->second;
    if (!isNew && !pending.isInAppend && !pending.mayBeInLog)
        pending.appendAt = std::min(pending.appendAt, appendAt);
}

/// A claim that was never appended may be refused without waiting for the log.
bool ClaimLog::isInOutage(TimePoint now) const
{
    return m_failing && now >= m_failingSince + kOutageAfter;
}

TimePoint ClaimLog::giveUpTime(const ClaimId &id, bool isOutcome, TimePoint now) const
{
    if (!isOutcome)
        return now + milliseconds(m_context.settings.outcome.claimTimeoutMs);
    return isOwn(m_context, id) ? kNever : now + kOutcomeKept;
}

bool ClaimLog::withdraw(const ClaimId &id)
{
    const auto found = m_pending.find(PendingId{id, false});
    if (found == m_pending.end())
        return false;
    const bool never = !found->second.mayBeInLog && !found->second.isInAppend;
    m_pending.erase(found);
    return never;
}

void ClaimLog::onLogRead(const LogRead &read, TimePoint now)
{
    m_reading = false;
    m_failing = false;
    if (read.firstOffset > m_next)
        restartAfterGap(read, now);
    const LogOffset before = m_next;
    for (const LogRecord &logRecord : read.records) {
        if (logRecord.offset < m_next)
            continue;
        if (logRecord.offset > m_next)
            break;
        applyRecord(logRecord);
        m_next = m_next.next();
    }
    m_nextReadAt = m_next > before ? now : std::max(now, m_readAt + kReadPause);
    if (m_next > before)
        decidePending();
}

/// Records were dropped before this router read them. A claim in them has a key that was issued
/// before they were written, as far as clocks agree.
void ClaimLog::restartAfterGap(const LogRead &read, TimePoint now)
{
    UnixMs floor = unixMs(now);
    if (!read.records.empty()) {
        const auto oldest = decodeRecord(read.records.front().payload);
        if (oldest && oldest->writtenMs != 0)
            floor = oldest->writtenMs;
    }
    m_table.restart(floor + kClockSkewMs);
    m_next = read.firstOffset;
}

void ClaimLog::applyRecord(const LogRecord &logRecord)
{
    const auto decoded = decodeRecord(logRecord.payload);
    if (!decoded)
        return;
    m_table.apply(logRecord.offset, *decoded);
    reportWonClaims(*decoded);
}

/// Its router hears of a claim that won after it was given up, so that it can record "not run".
void ClaimLog::reportWonClaims(const record::RecordT &record)
{
    const bool appendedHere = record.writer == m_context.fleet.self().value();
    for (const auto &item : record.items) {
        const auto *claim = item == nullptr ? nullptr : item->entry.AsClaim();
        if (claim == nullptr)
            continue;
        const ClaimId id = idOf(*claim);
        const bool isReported = appendedHere || isOwn(m_context, id);
        if (!isReported || m_pending.contains(PendingId{id, false}))
            continue;
        auto verdict = m_table.verdictOn(*claim);
        if (verdict && verdict->kind == VerdictKind::Won)
            m_decisions.push_back({m_partition, id, false, std::move(*verdict)});
    }
}

void ClaimLog::decidePending()
{
    for (auto at = m_pending.begin(); at != m_pending.end();) {
        auto verdict = verdictOn(at->second.item);
        if (!verdict) {
            ++at;
            continue;
        }
        m_decisions.push_back(
            {m_partition, at->first.id, at->first.isOutcome, std::move(*verdict)});
        at = m_pending.erase(at);
    }
}

std::optional<Verdict> ClaimLog::verdictOn(const Item &item) const
{
    return std::visit([this](const auto &value) { return m_table.verdictOn(value); }, item);
}

void ClaimLog::onLogReadFailed(TimePoint now)
{
    m_reading = false;
    if (!m_failing)
        m_failingSince = now;
    m_failing = true;
    m_nextReadAt = now + kReadRetry;
}

bool ClaimLog::onAppendAnswered(const AppendAnswered &answer, TimePoint now)
{
    if (m_append != answer.append)
        return false;
    m_append.reset();
    const bool refused = answer.result == AppendResult::Refused;
    const bool accepted = answer.result == AppendResult::Accepted;
    for (auto &[id, pending] : m_pending) {
        if (!pending.isInAppend)
            continue;
        pending.isInAppend = false;
        pending.mayBeInLog = pending.mayBeInLog || !refused;
        pending.appendAt = now + (accepted ? kReappendAfter : kReadRetry);
    }
    return true;
}

void ClaimLog::advance(TimePoint now, Outbox &out)
{
    prune(now);
    giveUpLate(now);
    if (m_append && now >= m_appendedAt + kAppendTimeout)
        onAppendAnswered({*m_append, m_stream, AppendResult::Lost, LogOffset()}, now);
    appendDue(now, out);
    readOn(now, out);
}

void ClaimLog::prune(TimePoint now)
{
    if (now < m_nextPruneAt)
        return;
    m_nextPruneAt = now + kPruneInterval;
    const UnixMs kept = m_context.settings.outcome.keyLifetimeMs + kClockSkewMs;
    if (unixMs(now) > kept)
        m_table.prune(unixMs(now) - kept);
}

void ClaimLog::giveUpLate(TimePoint now)
{
    for (auto at = m_pending.begin(); at != m_pending.end();) {
        if (at->second.giveUpAt > now) {
            ++at;
            continue;
        }
        m_decisions.push_back(
            {m_partition, at->first.id, at->first.isOutcome, {VerdictKind::Unavailable, {}}});
        at = m_pending.erase(at);
    }
}

void ClaimLog::readOn(TimePoint now, Outbox &out)
{
    if (m_reading && now >= m_readAt + kReadTimeout)
        m_reading = false;
    if (m_reading || now < m_nextReadAt)
        return;
    m_reading = true;
    m_readAt = now;
    out.push(ReadLog{m_stream, m_next, true});
}

void ClaimLog::appendDue(TimePoint now, Outbox &out)
{
    if (m_append || now < m_nextAppendAt || firstAppendDue() > now)
        return;
    m_append = m_context.ids.nextAppend();
    m_appendedAt = now;
    m_nextAppendAt = now + milliseconds(m_context.settings.outcome.collectIntervalMs);
    out.push(AppendToLog{*m_append, m_stream, takeBatch(*m_append, now)});
}

Bytes ClaimLog::takeBatch(AppendId append, TimePoint now)
{
    record::RecordT record;
    record.writer = m_context.fleet.self().value();
    record.id = record.writer + "/" + std::to_string(m_context.incarnation.value()) + "/"
        + std::to_string(append.value());
    record.writtenMs = unixMs(now);
    for (auto &[id, pending] : m_pending) {
        if (pending.appendAt > now || record.items.size() == kItemsPerAppend)
            continue;
        std::visit([&record](const auto &value) { addItem(record, value); }, pending.item);
        pending.isInAppend = true;
        pending.appendAt = kNever;
    }
    return encodeRecord(record);
}

TimePoint ClaimLog::firstAppendDue() const
{
    TimePoint due = kNever;
    for (const auto &[id, pending] : m_pending)
        due = std::min(due, pending.appendAt);
    return due;
}

TimePoint ClaimLog::nextWakeUp() const
{
    TimePoint next = m_reading ? m_readAt + kReadTimeout : m_nextReadAt;
    next = std::min(next, m_nextPruneAt);
    if (m_append)
        next = std::min(next, m_appendedAt + kAppendTimeout);
    else
        next = std::min(next, std::max(firstAppendDue(), m_nextAppendAt));
    for (const auto &[id, pending] : m_pending)
        next = std::min(next, pending.giveUpAt);
    return next;
}

std::vector<ClaimDecision> ClaimLog::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

} // namespace comfrey
