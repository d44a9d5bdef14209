// Requests that crash the backend servers that run them. Callers send such a request again, through
// any router, so routers tell each other; after crashes of a few servers it is refused for a term.
//
// A sending that ends without an answer is a question: it stays open until the server shows that it
// ended (its port refuses, another server or a later start has its place) or that it lives (it
// answers what was sent later), or until it is too old to tell. The list may show the end of a
// silent server before its caller gives up, so ends are remembered for as long as callers wait.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// What shows that the process of a server has ended.
enum class TerminationEvidence : std::uint8_t {
    ConnectionRefused, ///< Nothing listens at its address.
    AddressReused,     ///< Another server answers at its address.
    Restarted,         ///< The list has a later start of it.
    RecordRemoved,     ///< Its record was removed though it had not said that it leaves.
};

std::string_view nameOf(TerminationEvidence evidence);

/// What this router found out about a request.
struct CrashFinding
{
    Fingerprint request;
    std::string incarnation; ///< The incarnation that ended; empty if the request ran well.
    TerminationEvidence evidence = TerminationEvidence::ConnectionRefused;
    Duration detectionDelay{0}; ///< From the end of the sending to the evidence.
};

class CrashGuard
{
public:
    /// A sending of the request ended without a whole answer, while the server may have run it.
    void onAttemptUnanswered(Fingerprint request, const std::string &incarnation, TimePoint now);
    /// The server answered a request that was sent at `sentAt`.
    void onServerAnswered(const std::string &incarnation, TimePoint sentAt);
    /// The server's process has ended.
    void onServerTerminated(const std::string &incarnation, TerminationEvidence evidence,
                            TimePoint now);
    /// The request ran to a good end: the crashes beside it had other causes.
    void onSuccess(Fingerprint request);
    /// What this router found out since the last call, for the other routers.
    std::vector<CrashFinding> takeFindings() { return std::exchange(m_findings, {}); }

    /// Found out here or told by another router. True if that was not known yet.
    bool recordCrash(Fingerprint request, const std::string &incarnation, TimePoint now);
    /// Another router saw it run well.
    void onRemoteSuccess(Fingerprint request) { m_suspects.erase(request); }

    /// How long the request is refused from now on; zero if it may run.
    Duration remainingRefusal(Fingerprint request, TimePoint now) const;
    /// Servers that ended under it, as far as is known.
    std::size_t crashCount(Fingerprint request) const;
    void tick(TimePoint now);

    /// From the last crash until nothing is known of the request any more.
    static constexpr Duration kCrashRetention =
        milliseconds(600000); // longer than the longest term

private:
    static constexpr std::size_t kCrashesBeforeRefusal =
        2; // a third server must not pay for a sure suspicion
    /// For how long a request is refused that crashed just enough servers. Twice as long with each
    /// crash more: a wrong suspicion ends soon, a right one costs few servers.
    static constexpr Duration kInitialRefusal = milliseconds(60000);
    static constexpr std::size_t kMaxDoublings = 3;

    /// A question is open for so long: three heartbeats of a server and the way of the list, or its
    /// start after a crash, which takes some seconds.
    static constexpr Duration kUnresolvedAttemptTimeout = milliseconds(8000);
    /// How long an end is remembered: the longest time limit of a caller is 15 s.
    static constexpr Duration kTerminationRetention = milliseconds(16000);
    /// Bounds memory: a router has fewer requests under way.
    static constexpr std::size_t kMaxUnresolvedAttempts = 4096;
    static constexpr std::size_t kMaxSuspects = 16384;
    static constexpr std::size_t kMaxTerminations = 4096; ///< All servers of a large fleet at once.

    struct UnresolvedAttempt
    {
        Fingerprint request;
        TimePoint endedAt;
    };

    struct Termination
    {
        TerminationEvidence evidence;
        TimePoint detectedAt;
    };

    struct SuspectRequest
    {
        std::set<std::string> incarnations; ///< Incarnations that ended under it.
        TimePoint lastCrashAt;              ///< When the last one became known here.
    };

    /// The request is suspected, and the other routers are told, unless that is known.
    void confirmCrash(Fingerprint request, const std::string &incarnation,
                      TerminationEvidence evidence, Duration detectionDelay, TimePoint now);
    static Duration refusalPeriod(const SuspectRequest &suspect);

    std::map<Fingerprint, SuspectRequest> m_suspects;
    std::map<std::string, std::vector<UnresolvedAttempt>>
        m_unresolvedAttempts; ///< By server; none is empty.
    std::size_t m_unresolvedAttemptCount = 0;
    std::map<std::string, Termination>
        m_terminations; ///< By server; only of servers that are gone for sure.
    std::vector<CrashFinding> m_findings;
};

} // namespace comfrey
