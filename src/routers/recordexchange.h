// Decides which records of the platform's store a router requests from another one, and what it
// takes over from the answer.
#pragma once

#include <cstdint>
#include <vector>

#include "routers/recordfeed.h"

namespace comfrey {

/// What a router says of its own records when it polls another one.
struct RecordPoll
{
    std::uint64_t source = 0; ///< Start id of the polled router that `since` refers to.
    std::uint64_t since = 0;  ///< Number of that router's last change that is known.
    KnownOrders known;
};

/// The records of a poll's answer as they were received.
struct ReceivedRecords
{
    std::uint64_t source = 0; ///< Start id of the answering router.
    std::uint64_t number = 0; ///< Of its last change.
    KnownOrders known;        ///< Of the answering router.
    std::vector<FeedRecord> records;
    std::vector<CompleteList> lists;
    bool isComplete = true; ///< False if a delta could not be applied.
};

/// What an answer to a poll consists of.
struct RecordAnswer
{
    std::vector<FeedChange> changes;
    std::vector<CompleteList> lists; ///< Of the topics where `changes` may lack removals.
};

/// The records that a router with this start id answers to the poll.
RecordAnswer answerRecordPoll(RecordFeed &feed, const RecordPoll &poll, std::uint64_t startId);

/// Position in the records of one other router.
class RecordPosition
{
public:
    RecordPoll poll(const RecordFeed &feed) const;
    /// Takes over the answer to `sent`. True if the feed has changed.
    bool apply(RecordFeed &feed, const RecordPoll &sent, ReceivedRecords received);

private:
    /// Start id of the other router; a restart numbers its changes anew.
    std::uint64_t m_source = 0;
    /// All its changes up to this number were received, or were known before.
    std::uint64_t m_number = 0;
    /// A delta could not be applied, so the next poll requests whole records.
    bool m_needsFullRecords = false;
};

} // namespace comfrey
