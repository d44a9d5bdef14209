// Attributes crashes of backend servers to what the requests that they ran had in common: one part
// of their prompts, or the whole request. A server that crashes takes requests down that did
// nothing wrong, so the cause is searched as in group testing: the fewest causes that explain all
// crashes, the most frequent first, and of equally frequent ones the most specific.
//
// Counts against a cause: crashes one after the other, each under a request that was sent after the
// previous crash. Crashes at the same moment count once, since they may have one other reason.
// Counts for it: an answer that went on after its start, which forgives all earlier crashes.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// A shared part of a prompt as the router that reports a crash knows it.
struct CandidatePart
{
    PromptPartId id;
    bool isFamiliar = false; ///< Answers to requests with it went on after their start before.
};

/// A request whose answer had not gone on after its start when its server crashed.
struct CrashCandidate
{
    Fingerprint request;
    std::vector<CandidatePart> parts; ///< In the order of the prompt, without the request's own.
    TimePoint sentAt;
};

/// The candidates that one router had at a server that crashed.
struct CrashReport
{
    std::string incarnation; ///< Of the server.
    std::string reporter;    ///< Name of the router.
    TimePoint crashedAt;
    std::vector<CrashCandidate> candidates;
};

/// An answer to a request with a part that earlier crashes made suspect went on after its start.
struct SoundAnswer
{
    PromptPartId part;
    TimePoint begunAt;
};

/// A part whose requests are refused from now on, or are no longer.
struct PartVerdict
{
    PromptPartId part;
    bool isRefused = false;
    std::size_t crashes = 0;
};

/// A crash under a request with a certain part.
struct PartCrash
{
    std::string incarnation; ///< Of the server.
    TimePoint crashedAt;
    TimePoint sentAt;
    bool isFamiliar = false; ///< Answers to requests with the part went on before.
};

/// Collects crash reports and decides which prompt parts are refused. A refused part is probed by
/// one request of one router after a period that grows with the time over which it has crashed
/// servers; it is accepted again once an answer goes on after its start.
class CrashAttribution
{
public:
    /// `self` is the name under which this router reports crashes.
    explicit CrashAttribution(std::string self) : m_self(std::move(self)) { }

    const std::string &self() const { return m_self; }
    /// Records what this or another router reports. Call update() after the last report.
    void recordCrash(const CrashReport &report);
    /// An answer of this router that began at `begunAt` has gone on after its start.
    void onSoundAnswer(const std::vector<PromptPartId> &parts, TimePoint begunAt);
    /// Another router reported such an answer.
    void onRemoteSoundAnswer(const SoundAnswer &answer);
    /// Returns and clears the answers since the last call that the other routers need.
    std::vector<SoundAnswer> takeSoundAnswers() { return std::exchange(m_soundAnswers, {}); }
    /// True if this router saw an answer to a request with the part go on after its start lately.
    bool isFamiliar(PromptPartId part) const;

    /// Drops old crashes and decides anew if there is new evidence. Returns what changed.
    std::vector<PartVerdict> update(TimePoint now);
    /// Time until a refused part among `parts` may be probed, at least kMinProbeInterval; zero if
    /// none is refused.
    Duration remainingRefusal(const std::vector<PromptPartId> &parts, TimePoint now) const;
    /// True if a request with the parts is to be sent as the probe of the only refused one.
    bool tryProbe(const std::vector<PromptPartId> &parts, TimePoint now);
    /// The crashes since the part's last sound answer that this router reported first.
    std::vector<PartCrash> ownCrashes(PromptPartId part) const;
    /// Number of crashes on record.
    std::size_t crashCount() const { return m_crashes.size(); }
    /// Incarnations of the servers whose crashes a refused part explains.
    const std::set<std::string> &explainedCrashes() const { return m_explainedCrashes; }

    /// An answer that went on for so long is no longer at its start.
    static constexpr Duration kAnswerStart = milliseconds(300);
    /// Between two probes of a part: longer than it takes to learn how one ended.
    static constexpr Duration kMinProbeInterval = milliseconds(10000);
    static constexpr Duration kMinRefusal = milliseconds(30000);
    static constexpr Duration kMaxRefusal = milliseconds(1800000);
    static constexpr Duration kCrashRetention =
        milliseconds(3600000); ///< Longer than the longest refusal.
    /// Candidates of one report; later ones are dropped.
    static constexpr std::size_t kMaxCandidates = 64;
    static constexpr std::size_t kMaxPartsPerCandidate = 16;

private:
    /// What may have caused crashes.
    struct Cause
    {
        bool isRequest = false; ///< A whole request; else a part of prompts.
        std::uint64_t id = 0;

        friend bool operator==(const Cause &, const Cause &) = default;
    };

    struct CauseHash
    {
        std::size_t operator()(const Cause &cause) const noexcept
        {
            return std::hash<std::uint64_t>{}(cause.id) ^ (cause.isRequest ? 1U : 0U);
        }
    };

    /// A crash with the cause among its candidates.
    struct Occurrence
    {
        std::string incarnation;
        std::string reporter; ///< The first in the order of names.
        TimePoint crashedAt;
        TimePoint sentAt; ///< Of the last request with the cause.
    };

    struct Evidence
    {
        std::vector<Occurrence> occurrences; ///< At most one for each crash.
        TimePoint soundSince = TimePoint::min();
        std::size_t depth = 0; ///< Position in prompts; whole requests are deepest.
        bool isFamiliar = false;
    };

    struct RefusedPart
    {
        std::size_t crashes = 0;
        TimePoint firstCrashAt;
        TimePoint lastCrashAt;
        std::string probeOwner; ///< Router that may send the probe.
    };

    static constexpr std::size_t kCrashesBeforeRefusal = 2;
    /// Familiar parts need one crash more.
    static constexpr std::size_t kFamiliarCrashesBeforeRefusal = 3;
    static constexpr std::size_t kMaxOccurrences = 32768;  ///< Bounds memory to some megabytes.
    static constexpr std::size_t kMaxFamiliarParts = 8192; ///< Of each of two generations.

    void addOccurrence(const Cause &cause, std::size_t depth, bool isFamiliar,
                       Occurrence occurrence);
    void forgive(PromptPartId part, TimePoint begunAt);
    void evictOldestCrash();
    /// Occurrences after the last sound answer, without explained ones, each under a request that
    /// was sent after the one before it.
    static std::size_t successiveCrashes(const Evidence &evidence,
                                         const std::set<std::string> &explained);
    /// The refused parts by all evidence.
    std::map<PromptPartId, RefusedPart> attribute();
    static RefusedPart refusedPart(const Evidence &evidence);
    static TimePoint refusedUntil(const RefusedPart &part);

    std::string m_self;
    std::unordered_map<Cause, Evidence, CauseHash> m_evidence;
    /// Causes by incarnation, in the order in which the crashes became known.
    std::map<std::string, std::vector<Cause>> m_causesOfCrash;
    std::vector<std::pair<TimePoint, std::string>> m_crashes; ///< Time and incarnation.
    std::size_t m_occurrenceCount = 0;                        ///< Over all causes.
    std::map<PromptPartId, RefusedPart> m_refused;
    std::map<PromptPartId, TimePoint> m_probedAt; ///< Of refused parts only.
    std::set<std::string> m_explainedCrashes;
    std::vector<SoundAnswer> m_soundAnswers;
    std::unordered_set<PromptPartId> m_familiar;      ///< The current generation.
    std::unordered_set<PromptPartId> m_olderFamiliar; ///< The generation before it.
    bool m_hasNewEvidence = false;
};

} // namespace comfrey
