// Detects requests that crash the backend servers that run them. Callers retry such a request
// through any router, so routers exchange their findings; a request that crashed enough servers is
// refused for a limited period.
//
// An attempt that ends without an answer is unresolved until the server is known to have terminated
// (its port refuses connections, or another server or a later start of it holds its place), until
// the server answers a request that was sent later, or until the attempt is too old to judge. The
// list of servers may show the termination of a silent server before its caller gives up, so
// terminations are remembered for as long as callers wait.
//
// A server may go on with a request whose caller has left. Such an attempt stays unresolved past
// later answers of the server, until the time that the request was given has passed. As nobody
// reads its connection, checks of the server are due meanwhile.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// How the termination of a server's process was detected.
enum class TerminationEvidence : std::uint8_t {
    ConnectionRefused, ///< Nothing listens at the server's address.
    AddressReused,     ///< Another server answers at the server's address.
    Restarted,         ///< The list of servers has a later start of the server.
    RecordRemoved,     ///< The record was removed, and the server had not announced its leave.
};

/// Text of the evidence in log lines and metric labels.
std::string_view nameOf(TerminationEvidence evidence);

/// An attempt that ended without a complete answer though the server may have run the request.
struct UnansweredAttempt
{
    Fingerprint request;
    /// Shared prompt parts that may have crashed the server; empty if the answer had gone on after
    /// its start.
    std::vector<PromptPartId> suspectParts;
    TimePoint sentAt;
    /// If the caller left: end of the time that the server was given. Else TimePoint::min().
    TimePoint mayRunUntil = TimePoint::min();

    bool isAbandoned() const { return mayRunUntil != TimePoint::min(); }
};

/// A crash that this router attributes to a request, or the request's successful run.
struct CrashFinding
{
    Fingerprint request;
    std::string
        incarnation; ///< Incarnation of the server that terminated; empty if the request succeeded.
    TerminationEvidence evidence = TerminationEvidence::ConnectionRefused;
    Duration detectionDelay{0};             ///< From the end of the attempt to the evidence.
    std::vector<PromptPartId> suspectParts; ///< As in UnansweredAttempt.
    TimePoint sentAt;                       ///< Of the attempt.
};

/// Tracks suspect requests and decides for how long each is refused.
class CrashGuard
{
public:
    /// Records an attempt, which counts as a crash if the server has terminated or does so soon
    /// after.
    void onAttemptUnanswered(UnansweredAttempt attempt, const std::string &incarnation,
                             TimePoint now);
    void onAttemptUnanswered(Fingerprint request, const std::string &incarnation, TimePoint now)
    {
        onAttemptUnanswered({request, {}, now}, incarnation, now);
    }
    /// The server answered a request that was sent at `sentAt`: attempts that ended until then did
    /// not crash it.
    void onServerAnswered(const std::string &incarnation, TimePoint sentAt);
    /// The server's process has terminated: its unresolved attempts become crashes.
    void onServerTerminated(const std::string &incarnation, TerminationEvidence evidence,
                            TimePoint now);
    /// The request succeeded, so the crashes attributed to it had other causes.
    void onSuccess(Fingerprint request);
    /// Returns and clears the findings since the last call, which the other routers need.
    std::vector<CrashFinding> takeFindings() { return std::exchange(m_findings, {}); }

    /// Records a crash that this or another router found at `now`. Returns false if it was already
    /// known or the table of suspects is full.
    bool recordCrash(Fingerprint request, const std::string &incarnation, TimePoint now);
    /// Sets the incarnations of the servers that crashed for another known reason than the whole
    /// request: they do not count against requests.
    void setExplainedCrashes(const std::set<std::string> &incarnations);
    /// Another router reported that the request succeeded.
    void onRemoteSuccess(Fingerprint request) { m_suspects.erase(request); }

    /// Time for which the request is still refused; zero if it may run.
    Duration remainingRefusal(Fingerprint request, TimePoint now) const;
    /// Number of known server incarnations that terminated while they ran the request.
    std::size_t crashCount(Fingerprint request) const;
    /// Incarnations of servers that may run abandoned requests and are to be checked now, at most
    /// kMaxChecksPerTick. A server that answers meanwhile needs none.
    std::vector<std::string> takeDueChecks(TimePoint now);
    /// Drops attempts, terminations and suspects that are too old.
    void tick(TimePoint now);

    /// How long a suspect request is remembered after its last crash.
    static constexpr Duration kCrashRetention =
        milliseconds(600000); // longer than the longest refusal
    static constexpr std::size_t kMaxChecksPerTick = 2;
    /// From the caller's leave to the first check; doubled for each further one.
    static constexpr Duration kFirstCheckDelay = milliseconds(300);

private:
    static constexpr std::size_t kCrashesBeforeRefusal =
        2; // two crashes are proof enough to spare a third server
    /// Refusal of a request that crashed just enough servers; doubled by each further crash. A
    /// wrong suspicion ends soon, and a right one costs few servers.
    static constexpr Duration kInitialRefusal = milliseconds(60000);
    static constexpr std::size_t kMaxDoublings = 3;

    /// How long an attempt stays unresolved after its end, or after the time that the server was
    /// given if that is later. Covers three heartbeats of a server and the
    /// propagation of the list, or a restart after a crash, which takes some seconds.
    static constexpr Duration kUnresolvedAttemptTimeout = milliseconds(8000);
    /// How long a termination is remembered: longer than the longest caller timeout, 15 s.
    static constexpr Duration kTerminationRetention = milliseconds(16000);
    /// Bounds memory; a router has fewer requests in progress.
    static constexpr std::size_t kMaxUnresolvedAttempts = 4096;
    /// Abandoned attempts among them. They are weaker evidence than broken connections.
    static constexpr std::size_t kMaxAbandonedAttempts = kMaxUnresolvedAttempts / 2;
    /// The list drops a server some heartbeats after its end: an attempt that was sent later did
    /// not end it.
    static constexpr Duration kMinRemovalDelay = milliseconds(2000);
    /// Prompt parts of abandoned attempts count only if the server's end is known so soon, since
    /// most servers drop a request when its caller leaves.
    static constexpr Duration kAbandonedPartsWindow = milliseconds(1000);
    static constexpr std::size_t kMaxSuspects = 16384;
    static constexpr std::size_t kMaxTerminations =
        4096; ///< Covers all servers of a large fleet at once.

    struct UnresolvedAttempt
    {
        UnansweredAttempt attempt;
        TimePoint endedAt;
        TimePoint nextCheckAt = kNever; ///< Of abandoned attempts only.
        Duration checkDelay{0};         ///< Before nextCheckAt.

        /// The server did not end under the attempt if it answers a request sent after this time.
        TimePoint resolvedAt() const { return std::max(endedAt, attempt.mayRunUntil); }
        /// Sets the next check to `delay` after `from`, or to the end of the run if that is sooner.
        void scheduleCheck(TimePoint from, Duration delay);
    };

    struct Termination
    {
        TerminationEvidence evidence;
        TimePoint detectedAt;
    };

    struct SuspectRequest
    {
        std::set<std::string>
            incarnations; ///< Incarnations that terminated while they ran the request.
        TimePoint lastCrashAt = TimePoint::min(); ///< When its finder learned of the last crash.
    };

    /// Removes the attempts for which `isDue` returns true from a list of m_unresolvedAttempts.
    void eraseAttempts(std::vector<UnresolvedAttempt> &attempts,
                       const std::function<bool(const UnresolvedAttempt &)> &isDue);
    /// True if the evidence shows that the server ended while it may have run the attempt.
    static bool mayHaveCrashed(const UnresolvedAttempt &unresolved, TerminationEvidence evidence,
                               TimePoint now);
    /// Records the crash and, unless it was known, adds a finding for the other routers.
    void confirmCrash(UnansweredAttempt attempt, const std::string &incarnation,
                      TerminationEvidence evidence, Duration detectionDelay, TimePoint now);
    /// Refusal after the suspect's last crash; zero below kCrashesBeforeRefusal.
    static Duration refusalPeriod(const SuspectRequest &suspect);

    std::map<Fingerprint, SuspectRequest> m_suspects;
    std::map<std::string, std::vector<UnresolvedAttempt>>
        m_unresolvedAttempts;                          ///< By incarnation; no list is empty.
    std::size_t m_unresolvedAttemptCount = 0;          ///< Over all incarnations.
    std::size_t m_abandonedAttemptCount = 0;           ///< Abandoned ones among them.
    std::map<std::string, Termination> m_terminations; ///< By incarnation; without refused
                                                       ///< connections, which may be temporary.
    std::set<std::string> m_explainedCrashes;          ///< Incarnations.
    std::vector<CrashFinding> m_findings;
};

} // namespace comfrey
