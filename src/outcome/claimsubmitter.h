// Brings this router's claims and outcomes to the partitions' streams, and gives back what the log
// decided. A partition has a collector, the first router in its rendezvous order, which appends for
// everyone; the next two follow the stream too and take over. A router that hears nothing from them
// appends and reads the stream itself.
//
// All of it may be lost, doubled or late: a submission is sent again until it is decided or
// withdrawn, and a verdict is a fact about the log whoever tells it.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "outcome/claimlog.h"

namespace comfrey {

class ClaimSubmitter
{
public:
    explicit ClaimSubmitter(const PartContext &context);

    /// Until a decision is given back, or withdraw().
    void submit(const record::ClaimT &claim, TimePoint now, Outbox &out);
    /// Until it is recorded.
    void submit(const record::ClaimOutcomeT &outcome, TimePoint now, Outbox &out);

    /// Stops submitting the claim. True if it is certain that it is in no append and never will be.
    bool withdraw(const ClaimId &id);

    /// Tells the claim's router that it won, for a router that may have given the claim up.
    void remind(std::uint32_t partition, const ClaimState &state, Outbox &out);

    void onEvent(const Event &event, TimePoint now, Outbox &out);
    void onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now, Outbox &out);
    TimePoint nextWakeUp() const;

    /// Decisions about this router's own claims and outcomes, each maybe more than once.
    std::vector<ClaimDecision> takeDecisions();

    /// True when nothing of this router or of others waits to be appended or decided.
    bool isIdle() const;
    void dump(nlohmann::json &out) const;

private:
    using Item = ClaimLog::Item;
    using SubmissionId = std::pair<ClaimId, bool>; ///< True for an outcome.

    struct Submission
    {
        Item item;
        std::uint32_t partition = 0;
        std::uint32_t sends = 0;
        TimePoint nextSendAt;
        bool leftThisRouter = false; ///< Another router may append it.
    };

    void add(Item item, const SubmissionId &id, const ClaimKey &key, TimePoint now, Outbox &out);
    void send(Submission &submission, TimePoint now, Outbox &out);
    RouterId target(const Submission &submission) const;
    void sendDue(TimePoint now, Outbox &out);
    void submitHere(const Item &item, std::uint32_t partition, ClaimLog::Duty duty, TimePoint now);
    void acceptBatch(const wire::ClaimBatchT &batch, TimePoint now);
    void settle(ClaimDecision decision, Outbox &out);
    void advanceLogs(TimePoint now, Outbox &out);
    void rankPartitions(TimePoint now);
    ClaimLog &logOf(std::uint32_t partition, TimePoint now);
    ClaimLog *logOf(const StreamId &stream);
    bool follows(std::uint32_t partition) const;
    bool isRanked(std::uint32_t partition) const;
    void followRanked(TimePoint now);
    Duration retryInterval() const;
    std::uint32_t partitionCount() const;

    PartContext m_context;
    std::map<std::uint32_t, std::unique_ptr<ClaimLog>> m_logs; ///< Of the partitions it follows.
    std::vector<std::vector<RouterId>> m_ranks; ///< Of each partition, the collector first.
    std::uint64_t m_ranksVersion = 0;           ///< Of the fleet view.
    bool m_isRanked = false;
    TimePoint m_followFrom = kNever; ///< Before it the fleet view is too young to follow by rank.
    std::map<SubmissionId, Submission> m_submissions;
    std::vector<ClaimDecision> m_decisions;
};

} // namespace comfrey
