// Decides which crashes are kept in the platform's store, for how long, and when the store is
// called. What is kept outlasts the routers: they know a crashing request or prompt part again
// after all of them lost power.
//
// A repeated crash is written at once, a first one after a delay, unless the request was cleared
// meanwhile or many servers crashed. The router that found a crash writes it, in one call for all
// that are due. Each record has its own key, so a call that is repeated changes nothing. Ages are
// taken from the writer's clock and are bounded, since the clocks of machines differ.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "comfrey/units.h"

namespace comfrey {

/// What a crash is attributed to.
enum class CrashSubject : std::uint8_t { Request, PromptPart };

/// A crash as it is kept.
struct KeptCrash
{
    CrashSubject subject = CrashSubject::Request;
    std::uint64_t id = 0;          ///< Fingerprint of the request, or id of the part.
    std::string incarnation;       ///< Of the server.
    std::uint64_t crashedAtMs = 0; ///< Unix milliseconds by the writer's clock.
    std::uint32_t sentMsBefore = 0;
    bool isFamiliar = false; ///< The part had sound answers before.
    std::string writer;      ///< Name of the router that found the crash.
};

/// A record of the store's topic; without a value its key is removed.
struct StoredCrash
{
    std::string key;
    std::optional<std::string> value;
};

/// A kept crash that counts, and how long ago it happened.
struct RecalledCrash
{
    KeptCrash crash;
    Duration age{0};
};

/// How a call that writes ended.
enum class CrashWrite : std::uint8_t {
    Written,
    Failed,  ///< Perhaps not done; a repeat may succeed.
    Refused, ///< The store won't take these records.
};

/// The outcome of a read of all records.
struct CrashRecall
{
    std::vector<RecalledCrash> crashes; ///< Oldest first.
    std::size_t expired = 0;
    std::size_t unreadable = 0;
    std::size_t dropped = 0; ///< Beyond the bound.
};

StoredCrash encode(const KeptCrash &crash);
std::optional<KeptCrash> decode(std::string_view key, std::string_view value);

class CrashRecords
{
public:
    /// `self` is the name under which this router writes.
    explicit CrashRecords(std::string self) : m_self(std::move(self)) { }

    /// This router found a crash. `isRepeated`: the request or part has crashed servers before.
    void onCrash(const KeptCrash &crash, bool isRepeated, TimePoint now);
    /// The request or part is no longer suspected of its crashes until `clearedAtMs`.
    void onCleared(CrashSubject subject, std::uint64_t id, std::uint64_t clearedAtMs,
                   TimePoint now);
    /// Records for one call of the store; empty if no call is due. A call ends with onWritten().
    /// `readsStore`: this router reads the store for others, and removes what nobody else will.
    std::vector<StoredCrash> takeBatch(bool readsStore, TimePoint now);
    /// The call ended. A failed one is repeated later, the records of a refused one are dropped.
    void onWritten(CrashWrite outcome, TimePoint now);
    /// Evaluates all records of the store. `wallTime` is in Unix milliseconds.
    CrashRecall recall(const std::vector<StoredCrash> &records, std::uint64_t wallTime,
                       TimePoint now);

    /// Records that are known to be in the store.
    std::size_t keptCount() const { return m_kept.size(); }
    /// Records that the store refused.
    std::uint64_t refusedCount() const { return m_refused; }
    /// First crashes that were not written since many servers crashed at once, or for want of room.
    std::uint64_t omittedCount() const { return m_omitted; }

    static Duration retention(CrashSubject subject);

    static constexpr std::size_t kMaxBatch = 32;    ///< Records of one call.
    static constexpr std::size_t kMaxPending = 256; ///< Records that wait for a call.
    static constexpr std::size_t kMaxRecalled = 1024;
    static constexpr Duration kMinCallInterval = milliseconds(1000);
    /// Before a first crash is written: most requests that broke with a server are cleared then.
    static constexpr Duration kSettleTime = milliseconds(2000);
    static constexpr Duration kMaxRetryDelay = milliseconds(30000);
    /// More servers at once crash for another reason than one request.
    static constexpr std::size_t kMaxServersAtOnce = 4;

private:
    struct Pending
    {
        KeptCrash crash;
        bool isRepeated = false;
        TimePoint foundAt;
    };

    struct Kept
    {
        CrashSubject subject = CrashSubject::Request;
        std::uint64_t id = 0;
        std::uint64_t crashedAtMs = 0;
        bool isOwn = false;
        TimePoint removeAt;
    };

    bool isDue(const Pending &pending, TimePoint now) const;
    /// Drops first crashes if too many servers crashed.
    void dropOutage();
    void keep(const std::string &key, const Kept &kept);

    std::string m_self;
    std::map<std::string, Pending> m_pending; ///< By key.
    std::map<std::string, Kept> m_kept;       ///< By key; none of them is pending.
    /// Records of the call that is under way or is to be repeated; empty without one.
    std::vector<StoredCrash> m_batch;
    std::map<std::string, Kept> m_batchKept; ///< What m_batch adds to m_kept.
    bool m_isCalling = false;
    TimePoint m_nextCallAt = TimePoint::min();
    Duration m_retryDelay{0};
    std::uint64_t m_omitted = 0;
    std::uint64_t m_refused = 0;
};

} // namespace comfrey
