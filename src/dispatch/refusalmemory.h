// Remembers the requests that a queue refused, so that it recognises callers that come back.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "comfrey/units.h"

namespace comfrey {

/// A refused request and what its caller was told.
struct RefusedAttempt
{
    TimePoint onTimeDeadline; ///< Of the caller's first attempt: later attempts keep it.
    TimePoint refusedAt;
    Duration callerTime{0}; ///< Time that the caller had left when it was refused.
    TimePoint retryAt;      ///< The caller was asked to come back at this time.
};

/// A caller's new attempt has an id of its own. It is recognised by the request's fingerprint and
/// by the time that the caller has left: that of a new attempt has shrunk by the time since the
/// refused one, while that of another caller with an equal request has not. Bounded: the oldest
/// refusals are dropped first.
class RefusalMemory
{
public:
    static constexpr std::size_t kMaxRefusals = 4096; ///< Some seconds of refusals; about 400 KB.
    /// Of one fingerprint, since take() looks through all of these.
    static constexpr std::size_t kMaxEqualRefusals = 16;

    void add(std::uint64_t fingerprint, const RefusedAttempt &refusal);
    /// The refusal after which this attempt comes, which is forgotten then.
    std::optional<RefusedAttempt> take(std::uint64_t fingerprint, Duration callerTime,
                                       TimePoint now);
    std::size_t size() const { return m_refusals.size(); }

private:
    /// Drops refusals whose callers have left by `now`, and the oldest ones above the bound.
    void dropOld(TimePoint now);

    struct Entry
    {
        std::uint64_t sequence = 0; ///< In m_byAge.
        RefusedAttempt refusal;
    };

    using Entries = std::multimap<std::uint64_t, Entry>; ///< By fingerprint.

    Entries m_refusals;
    std::map<std::uint64_t, Entries::iterator> m_byAge; ///< Same entries, in order of add().
    std::uint64_t m_lastSequence = 0;
};

} // namespace comfrey
