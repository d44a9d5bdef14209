// Brings this router's claims and outcomes to the partitions' streams.
#include "outcome/claimsubmitter.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "outcome/routerrank.h"
#include "outcome/verdictmessage.h"
#include "wire/envelope.h"

namespace comfrey {

namespace {

constexpr std::size_t kFollowers = 3;          ///< Of a partition: the collector and two more.
constexpr std::uint32_t kSendsPerFollower = 2; ///< Before the next one is asked.
constexpr std::uint32_t kSendsToOthers = 4;    ///< Before this router appends itself.
constexpr Duration kRetryMargin = milliseconds(150);  ///< Over the collecting of two batches.
constexpr Duration kKeptUnused = milliseconds(60000); ///< A log followed without being ranked.
/// A starting router knows only itself; it learns of the others before it follows by its rank.
constexpr Duration kSettleTime = milliseconds(2000);

Bytes encodedItem(const ClaimLog::Item &item)
{
    record::RecordT record;
    record.items.push_back(std::make_unique<record::ItemT>());
    std::visit([&record](auto value) { record.items.back()->entry.Set(std::move(value)); }, item);
    return encodeRecord(record);
}

template<typename Body>
Body bodyFor(std::uint32_t partition)
{
    Body body;
    body.partition = partition;
    return body;
}

wire::ClaimProgressT progressWith(const ClaimDecision &decision)
{
    auto progress = bodyFor<wire::ClaimProgressT>(decision.partition);
    progress.verdicts.push_back(std::make_unique<wire::ClaimVerdictT>(toMessage(decision)));
    return progress;
}

} // namespace

ClaimSubmitter::ClaimSubmitter(const PartContext &context) : m_context(context) { }

void ClaimSubmitter::submit(const record::ClaimT &claim, TimePoint now, Outbox &out)
{
    add(claim, {idOf(claim), false}, keyOf(claim), now, out);
}

void ClaimSubmitter::submit(const record::ClaimOutcomeT &outcome, TimePoint now, Outbox &out)
{
    add(outcome, {idOf(outcome), true}, keyOf(outcome), now, out);
}

void ClaimSubmitter::add(Item item, const SubmissionId &id, const ClaimKey &key, TimePoint now,
                         Outbox &out)
{
    rankPartitions(now);
    Submission submission;
    submission.item = std::move(item);
    submission.partition = partitionOf(key, partitionCount());
    const auto [added, isNew] = m_submissions.try_emplace(id, std::move(submission));
    if (!isNew)
        return;
    send(added->second, now, out);
    advanceLogs(now, out);
}

bool ClaimSubmitter::withdraw(const ClaimId &id)
{
    const auto found = m_submissions.find({id, false});
    if (found == m_submissions.end())
        return false;
    bool never = !found->second.leftThisRouter;
    const auto log = m_logs.find(found->second.partition);
    if (log != m_logs.end())
        never = log->second->withdraw(id) && never;
    m_submissions.erase(found);
    return never;
}

void ClaimSubmitter::remind(std::uint32_t partition, const ClaimState &state, Outbox &out)
{
    if (state.holder.router == m_context.fleet.self())
        return;
    out.send(state.holder.router,
             progressWith({partition, state.holder, false, {VerdictKind::Won, state}}));
}

void ClaimSubmitter::send(Submission &submission, TimePoint now, Outbox &out)
{
    const RouterId to = target(submission);
    ++submission.sends;
    submission.nextSendAt = now + retryInterval();
    if (to == m_context.fleet.self())
        return submitHere(submission.item, submission.partition, ClaimLog::Duty::Append, now);
    if (follows(submission.partition))
        submitHere(submission.item, submission.partition, ClaimLog::Duty::Watch, now);
    auto batch = bodyFor<wire::ClaimBatchT>(submission.partition);
    batch.records.push_back(std::make_unique<wire::ClaimEntryT>());
    batch.records.back()->payload = encodedItem(submission.item);
    submission.leftThisRouter = true;
    out.send(to, std::move(batch));
}

/// The collector first, then the next router of the partition, then this router itself.
RouterId ClaimSubmitter::target(const Submission &submission) const
{
    const std::vector<RouterId> &ranks = m_ranks[submission.partition];
    const std::size_t rank = submission.sends / kSendsPerFollower;
    if (submission.sends >= kSendsToOthers || rank >= ranks.size())
        return m_context.fleet.self();
    return ranks[rank];
}

void ClaimSubmitter::submitHere(const Item &item, std::uint32_t partition, ClaimLog::Duty duty,
                                TimePoint now)
{
    logOf(partition, now).submit(item, duty, now);
}

void ClaimSubmitter::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    rankPartitions(now);
    if (const auto *read = std::get_if<LogRead>(&event)) {
        if (ClaimLog *log = logOf(read->stream))
            log->onLogRead(*read, now);
    } else if (const auto *failed = std::get_if<LogReadFailed>(&event)) {
        if (ClaimLog *log = logOf(failed->stream))
            log->onLogReadFailed(now);
    } else if (const auto *answer = std::get_if<AppendAnswered>(&event)) {
        if (ClaimLog *log = logOf(answer->stream))
            log->onAppendAnswered(*answer, now);
    }
    advanceLogs(now, out);
    sendDue(now, out);
}

void ClaimSubmitter::onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now,
                               Outbox &out)
{
    (void)from;
    rankPartitions(now);
    if (const auto *batch = message.body.AsClaimBatch()) {
        acceptBatch(*batch, now);
        advanceLogs(now, out);
    } else if (const auto *progress = message.body.AsClaimProgress()) {
        for (const auto &verdict : progress->verdicts) {
            if (verdict == nullptr || verdict->incarnation != m_context.incarnation.value())
                continue;
            settle(fromMessage(*verdict, progress->partition, m_context.fleet.self()), out);
        }
    }
}

void ClaimSubmitter::acceptBatch(const wire::ClaimBatchT &batch, TimePoint now)
{
    if (batch.partition >= partitionCount())
        return;
    for (const auto &entry : batch.records) {
        const auto decoded = entry == nullptr
            ? failure(ErrorCode::MalformedMessage, "claim entry is empty")
            : decodeRecord(entry->payload);
        if (!decoded)
            continue;
        for (const auto &item : decoded->items) {
            if (item == nullptr)
                continue;
            if (const auto *claim = item->entry.AsClaim())
                submitHere(*claim, batch.partition, ClaimLog::Duty::Append, now);
            else if (const auto *outcome = item->entry.AsClaimOutcome())
                submitHere(*outcome, batch.partition, ClaimLog::Duty::Append, now);
        }
    }
}

void ClaimSubmitter::advanceLogs(TimePoint now, Outbox &out)
{
    for (auto &[partition, log] : m_logs) {
        log->advance(now, out);
        for (ClaimDecision &decision : log->takeDecisions())
            settle(std::move(decision), out);
    }
}

/// Hands a decision to this router's own call, or to the router that asked.
void ClaimSubmitter::settle(ClaimDecision decision, Outbox &out)
{
    if (decision.id.router != m_context.fleet.self()) {
        out.send(decision.id.router, progressWith(decision));
        return;
    }
    if (decision.id.incarnation != m_context.incarnation)
        return;
    const bool isOpen = decision.isOutcome && decision.verdict.kind == VerdictKind::Unavailable;
    if (!isOpen)
        m_submissions.erase({decision.id, decision.isOutcome});
    m_decisions.push_back(std::move(decision));
}

void ClaimSubmitter::sendDue(TimePoint now, Outbox &out)
{
    bool isAnySent = false;
    for (auto &[id, submission] : m_submissions) {
        if (submission.nextSendAt > now)
            continue;
        send(submission, now, out);
        isAnySent = true;
    }
    if (isAnySent)
        advanceLogs(now, out);
}

void ClaimSubmitter::rankPartitions(TimePoint now)
{
    if (m_followFrom == kNever)
        m_followFrom = now + kSettleTime;
    if (!m_isRanked || m_ranksVersion != m_context.fleet.version()) {
        m_isRanked = true;
        m_ranksVersion = m_context.fleet.version();
        m_ranks.clear();
        for (std::uint32_t partition = 0; partition < partitionCount(); ++partition)
            m_ranks.push_back(rankedRouters(m_context.fleet, partition, kFollowers));
    }
    followRanked(now);
}

/// Follows the partitions of its rank, and drops those that it neither ranks for nor uses.
void ClaimSubmitter::followRanked(TimePoint now)
{
    if (now < m_followFrom)
        return;
    for (std::uint32_t partition = 0; partition < partitionCount(); ++partition) {
        if (isRanked(partition))
            logOf(partition, now).use(now);
    }
    std::erase_if(m_logs, [now](const auto &entry) {
        return entry.second->pending() == 0 && entry.second->lastUsed() + kKeptUnused < now;
    });
}

ClaimLog &ClaimSubmitter::logOf(std::uint32_t partition, TimePoint now)
{
    auto &log = m_logs[partition];
    if (log == nullptr)
        log = std::make_unique<ClaimLog>(m_context, partition, now);
    return *log;
}

/// Null for a stream that is no followed partition's.
ClaimLog *ClaimSubmitter::logOf(const StreamId &stream)
{
    for (auto &[partition, log] : m_logs) {
        if (claimStream(partition) == stream)
            return log.get();
    }
    return nullptr;
}

bool ClaimSubmitter::follows(std::uint32_t partition) const
{
    return m_logs.contains(partition);
}

bool ClaimSubmitter::isRanked(std::uint32_t partition) const
{
    const std::vector<RouterId> &ranks = m_ranks[partition];
    return std::find(ranks.begin(), ranks.end(), m_context.fleet.self()) != ranks.end();
}

Duration ClaimSubmitter::retryInterval() const
{
    return milliseconds(2 * std::int64_t(m_context.settings.outcome.collectIntervalMs))
        + kRetryMargin;
}

std::uint32_t ClaimSubmitter::partitionCount() const
{
    return std::max(m_context.settings.outcome.partitions, 1U);
}

TimePoint ClaimSubmitter::nextWakeUp() const
{
    TimePoint next = m_logs.empty() ? m_followFrom : kNever;
    for (const auto &[partition, log] : m_logs)
        next = std::min(next, log->nextWakeUp());
    for (const auto &[id, submission] : m_submissions)
        next = std::min(next, submission.nextSendAt);
    return next;
}

std::vector<ClaimDecision> ClaimSubmitter::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

bool ClaimSubmitter::isIdle() const
{
    return m_submissions.empty()
        && std::all_of(m_logs.begin(), m_logs.end(),
                       [](const auto &entry) { return entry.second->pending() == 0; });
}

void ClaimSubmitter::dump(nlohmann::json &out) const
{
    out["submissions"] = m_submissions.size();
    out["partitions"] = nlohmann::json::array();
    for (const auto &[partition, log] : m_logs) {
        out["partitions"].push_back(
            {{"partition", partition},
             {"collector",
              m_ranks[partition].empty() ? std::string() : m_ranks[partition].front().value()},
             {"keys", log->table().size()},
             {"nextOffset", log->next().value()},
             {"pending", log->pending()},
             {"available", log->isAvailable()}});
    }
}

} // namespace comfrey
