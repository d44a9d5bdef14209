// The claims of one partition, folded from the records of its stream. The fold is a pure function
// of the records: every router that reads them finds the same claim first. No clock takes part in
// who wins.
//
// A claim wins if its key is unknown, or if the key's last claim ended with a recorded "not run"
// and the new claim names that record's offset in `based_on`. So a doubled append of an older
// claim can't win a key that was freed later.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "comfrey/actions.h"
#include "comfrey/events.h"
#include "generated/records.generated.h"
#include "outcome/claimkey.h"

namespace comfrey {

struct RecordedOutcome
{
    Outcome outcome = Outcome::Unknown;
    LogOffset offset; ///< Of the record that tells it.
    int status = 0;
    std::string body;
    std::string contentType;
};

/// The claim that holds a key.
struct ClaimState
{
    ClaimId holder;
    LogOffset offset;
    std::uint64_t requestHash = 0;
    UnixMs issued = 0;
    std::optional<RecordedOutcome> outcome;
};

/// What the log says about one claim. A verdict never changes once it is given.
enum class VerdictKind : std::uint8_t {
    Won,         ///< It is the key's first claim: its router may send the call.
    Lost,        ///< Another claim holds the key.
    Expired,     ///< The key may have been used by a claim that the log forgot.
    Unavailable, ///< The log does not answer; the claim may still be appended.
    Recorded,    ///< Of an outcome: the key's claim has one.
};

struct Verdict
{
    VerdictKind kind = VerdictKind::Unavailable;
    ClaimState state; ///< Of the key; empty for Expired and Unavailable.
};

ClaimKey keyOf(const record::ClaimT &claim);
ClaimId idOf(const record::ClaimT &claim);
ClaimKey keyOf(const record::ClaimOutcomeT &outcome);
ClaimId idOf(const record::ClaimOutcomeT &outcome);

class ClaimTable
{
public:
    /// Records must come in the order of offsets without a gap.
    void apply(LogOffset offset, const record::RecordT &record);

    /// Forgets everything: records were missed. Keys issued before `floor` are refused from now on,
    /// and so are opaque ones.
    void restart(UnixMs floor);

    /// Forgets keys with an issue time before `floor` and refuses them from now on.
    void prune(UnixMs floor);

    /// Nothing while the log has not decided yet.
    std::optional<Verdict> verdictOn(const record::ClaimT &claim) const;
    std::optional<Verdict> verdictOn(const record::ClaimOutcomeT &outcome) const;

    const ClaimState *find(const ClaimKey &key) const;
    std::size_t size() const { return m_claims.size(); }
    UnixMs floor() const { return m_floor; }
    bool knowsOpaqueKeys() const { return m_opaqueKnown; }

private:
    void applyClaim(LogOffset offset, const record::ClaimT &claim);
    void applyOutcome(LogOffset offset, const record::ClaimOutcomeT &outcome);
    bool covers(const record::ClaimT &claim) const;

    std::unordered_map<ClaimKey, ClaimState> m_claims;
    LogOffset m_foldedTo;      ///< The last record that was applied.
    UnixMs m_floor = 0;        ///< Every claim of a key issued at or after it is in m_claims.
    bool m_opaqueKnown = true; ///< Every claim of an opaque key ever made is in m_claims.
};

} // namespace comfrey
