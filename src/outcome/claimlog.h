// One partition of claims as this router follows it: reads the stream in order, folds it, and
// appends claims and outcomes for itself and for other routers, many in one record.
//
// It has no authority. Two routers that append for the same partition are harmless, since only the
// order of the records decides. An item stays pending until it, or what decides it, was read back.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "facade/part.h"
#include "outcome/claimtable.h"

namespace comfrey {

/// What the log decided about an item that was submitted here, or about a claim of this router.
struct ClaimDecision
{
    std::uint32_t partition = 0;
    ClaimId id;
    bool isOutcome = false;
    Verdict verdict;
};

class ClaimLog
{
public:
    ClaimLog(const PartContext &context, std::uint32_t partition, TimePoint now);

    using Item = std::variant<record::ClaimT, record::ClaimOutcomeT>;

    enum class Duty : std::uint8_t {
        Append, ///< This router appends the item.
        Watch,  ///< Another one does; this router reads what becomes of it.
    };

    /// Takes an item until it is decided. A second submission may only add the duty to append.
    void submit(const Item &item, Duty duty, TimePoint now);

    /// Stops appending the claim. True if this router certainly never appended it.
    bool withdraw(const ClaimId &id);

    void onLogRead(const LogRead &read, TimePoint now);
    void onLogReadFailed(TimePoint now);
    /// False if the append is another's.
    bool onAppendAnswered(const AppendAnswered &answer, TimePoint now);

    /// Gives out the reads and appends that are due.
    void advance(TimePoint now, Outbox &out);
    TimePoint nextWakeUp() const;
    std::vector<ClaimDecision> takeDecisions();

    const ClaimTable &table() const { return m_table; }
    LogOffset next() const { return m_next; }
    std::size_t pending() const { return m_pending.size(); }
    /// False while the log refuses reads.
    bool isAvailable() const { return !m_failing; }
    /// When it was last needed; whoever keeps it decides when to drop it.
    TimePoint lastUsed() const { return m_lastUsed; }
    void use(TimePoint now) { m_lastUsed = now; }

private:
    /// Identifies a pending item; an outcome has the id of its claim.
    struct PendingId
    {
        ClaimId id;
        bool isOutcome = false;
        friend auto operator<=>(const PendingId &,
                                const PendingId &) = default; // NOLINT(modernize-use-nullptr)
    };

    struct Pending
    {
        Item item;
        TimePoint giveUpAt;
        TimePoint appendAt;      ///< When it is due to be appended, again if it was before.
        bool mayBeInLog = false; ///< Some append of it was not refused.
        bool isInAppend = false; ///< Part of the append in flight.
    };

    TimePoint giveUpTime(const ClaimId &id, bool isOutcome, TimePoint now) const;
    bool isInOutage(TimePoint now) const;
    void applyRecord(const LogRecord &logRecord);
    void reportWonClaims(const record::RecordT &record);
    void restartAfterGap(const LogRead &read, TimePoint now);
    void decidePending();
    void giveUpLate(TimePoint now);
    void prune(TimePoint now);
    void readOn(TimePoint now, Outbox &out);
    void appendDue(TimePoint now, Outbox &out);
    Bytes takeBatch(AppendId append, TimePoint now);
    TimePoint firstAppendDue() const;
    std::optional<Verdict> verdictOn(const Item &item) const;

    PartContext m_context;
    std::uint32_t m_partition;
    StreamId m_stream;
    ClaimTable m_table;
    LogOffset m_next = LogOffset(1); ///< Every record before it is folded or known to be gone.
    std::map<PendingId, Pending> m_pending;
    std::vector<ClaimDecision> m_decisions;
    std::optional<AppendId> m_append; ///< In flight; at most one.
    TimePoint m_appendedAt;
    TimePoint m_nextAppendAt;
    bool m_reading = false;
    TimePoint m_readAt; ///< When the read in flight, or the last one, was given out.
    TimePoint m_nextReadAt;
    bool m_failing = false;
    TimePoint m_failingSince; ///< Of the first failed read in a row.
    TimePoint m_nextPruneAt;
    TimePoint m_lastUsed;
};

} // namespace comfrey
