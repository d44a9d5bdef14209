// Decides for one router which requests are admitted, which backend server gets a request and
// whether a failed attempt may be retried. The dispatcher does no I/O: it is driven by events and
// by the present time, which callers pass in.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/allowedregions.h"
#include "dispatch/crashguard.h"
#include "dispatch/engineadmission.h"
#include "dispatch/replicachooser.h"
#include "dispatch/replicatable.h"
#include "dispatch/requestfacts.h"
#include "dispatch/retrybudget.h"
#include "dispatch/routetable.h"
#include "quarantine/crashattribution.h"

namespace comfrey {

/// Number of concurrent requests per 32-bit key: a hash of a server's incarnation or of a prompt.
using RequestCounts = std::unordered_map<std::uint32_t, std::uint32_t>;

/// Why a request is not admitted.
enum class Refusal : std::uint8_t {
    None,
    NoConfiguration, ///< This router has received no configuration yet.
    UnknownRoute,    ///< No route matches the host and path.
    UnknownKey,      ///< The API key belongs to no organisation.
    Quarantined,     ///< Earlier runs of the same request crashed their servers.
    PartQuarantined, ///< Requests with one of its prompt parts crashed their servers.
};

/// The outcome of admission, under the configuration version that decided it.
struct Admission
{
    Refusal refusal = Refusal::None;
    Duration quarantineRemaining{0}; ///< How long Quarantined or PartQuarantined lasts.
    bool isProbe = false; ///< Finds out whether a refused prompt part still crashes servers.
    std::shared_ptr<const RouteTable> table; ///< Owns `route` and `organisation`.
    const Route *route = nullptr;
    const Organisation *organisation = nullptr; ///< Null if the route needs no API key.
    ServiceName service;
    AllowedRegions regions; ///< Of the servers that the request may be sent to.
};

/// How one attempt ended, as far as retries are concerned.
enum class AttemptResult : std::uint8_t {
    NotSent, ///< No connection was made, so the server did not receive the request.
    NotRun,  ///< The server reported that it did not run the request.
    Failed,  ///< The server answered with an error.
    Unknown, ///< The request was sent, but no complete answer arrived.
};

/// Settings that stay the same while the router runs.
struct DispatcherSettings
{
    RetryBudgetLimits retries;
    Duration relistTimeout = milliseconds(1700); ///< See the constructor of ReplicaTable.
    std::string router;                          ///< Name of this router.
    std::uint64_t seed = 0;                      ///< Seed of the generator that breaks ties.
    ZoneRegions zoneRegions;                     ///< The region of each zone with servers.
};

/// Combines the routes, the backend servers, the retry budgets and the replica choosers of a
/// router. Every attempt is reported once with onAttemptStarted() and once with onAttemptEnded().
class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherSettings &settings);

    /// Replaces the configuration. Returns false if the version of `config` is not newer.
    bool apply(FleetConfig config);
    /// The current routes; null before the first configuration.
    std::shared_ptr<const RouteTable> table() const { return m_table; }
    ReplicaTable &replicas() { return m_replicas; }
    const ReplicaTable &replicas() const { return m_replicas; }

    /// Checks the route, the API key and the quarantine of a request and picks its service. An
    /// admitted request adds to the retry budget of the service.
    Admission admit(const RequestFacts &request, TimePoint now);
    /// Whether a request with a prompt may be sent to an engine now. Where the configuration does
    /// not tell the engines' slots, always. `arrivedAt` and `deadline` are the request's here.
    EngineVerdict askForEngine(const RequestFacts &request, const Admission &admission,
                               TimePoint arrivedAt, TimePoint deadline, TimePoint now);
    /// A request that was held does not ask again.
    void withdrawFromEngines(const RequestFacts &request, const Admission &admission);
    /// The first token of an engine's answer came `waited` after the request was sent.
    void onFirstToken(const RequestFacts &request, const Admission &admission, Duration waited,
                      TimePoint now);
    /// An engine's answer ended whole, `duration` after the request was sent.
    void onEngineAnswerEnded(const RequestFacts &request, const Admission &admission,
                             Duration duration);
    /// Chooses a server in `regions` for the request, except the incarnations in `tried`. The
    /// replica is null if no server is left.
    Choice choose(const RequestFacts &request, const ServiceName &service,
                  const std::vector<std::string> &tried, TimePoint now,
                  const AllowedRegions &regions = {});
    /// True if a server of the service accepts new work in `regions`.
    bool hasServerIn(const ServiceName &service, const AllowedRegions &regions) const;
    /// The server for which the shared queue granted a lease; null if it accepts no new work, has
    /// asked this router for a pause, or lies outside `regions`.
    std::shared_ptr<Replica> leasedReplica(const ServiceName &service,
                                           std::uint32_t incarnationHash, TimePoint now,
                                           const AllowedRegions &regions = {}) const;
    /// Time until the first pause ends if every available server of the service has asked for a
    /// pause; nothing otherwise.
    std::optional<Duration> remainingPauseOfAll(const ServiceName &service, TimePoint now) const;
    /// Incarnation hashes of the servers of the service that the next attempt must avoid: those in
    /// `tried`, those that are leaving or paused or outside `regions`, and unhealthy ones as long
    /// as a healthy server remains.
    std::vector<std::uint32_t> excludedServers(const ServiceName &service,
                                               const std::vector<std::string> &tried, TimePoint now,
                                               const AllowedRegions &regions = {}) const;
    /// Returns true if the request may be sent to another server: the number of `attempts` is below
    /// its maximum, and an attempt that the server may have run can be repeated on this route after
    /// `possibleRuns` runs. Consumes the retry budget, except when the last attempt was not sent.
    bool mayRetry(const Admission &admission, AttemptResult result, std::uint32_t attempts,
                  std::uint32_t possibleRuns, TimePoint now);

    /// An attempt was sent to the server.
    void onAttemptStarted(Replica &replica, const RequestFacts &request, TimePoint now);
    /// The server asked this router to send no requests for `pause`. Returns the remaining pause,
    /// which has an upper limit so that no server excludes itself for ever.
    Duration onPause(Replica &replica, Duration pause, TimePoint now);
    /// An answer of the server reported the load that all routers put on it.
    void onLoadReport(Replica &replica, const AnswerFacts::Load &load, TimePoint now);
    /// A successful answer began `waited` after the request was sent.
    void onAnswer(Replica &replica, Duration waited, TimePoint now);
    /// The server answered an attempt with an error.
    void onFailure(Replica &replica, TimePoint now);
    /// No connection could be made for an attempt. `isRefused`: nothing listens at the address.
    void onUnreachable(Replica &replica, bool isRefused, TimePoint now);
    /// As onUnreachable(), but found by a connection check that belongs to no attempt.
    void onUnreachableWithoutRequest(Replica &replica, bool isRefused, TimePoint now);
    /// Another server answered at the address of `replica`.
    void onAddressTaken(const Replica &replica, TimePoint now);
    /// The connection failed after the answer had begun.
    void onAnswerInterrupted(Replica &replica, TimePoint now);
    /// The attempt was given up `waited` after it was sent, before an answer began.
    void onAbandoned(Replica &replica, Duration waited, TimePoint now);
    /// The attempt ended in any way, `duration` after it was sent, and no longer loads the server.
    void onAttemptEnded(Replica &replica, const RequestFacts &request, Duration duration);

    /// Requests of this router at each server, by the hash of the server's incarnation.
    RequestCounts localRequests() const;
    /// Sets the requests of all other routers at each server, by the same hash.
    void setRemoteRequests(const RequestCounts &requests, TimePoint now);
    /// Requests of this router for each prompt, by promptHash().
    const RequestCounts &localPromptRequests() const { return m_localPromptRequests; }
    /// Sets the requests of all other routers for each prompt. Routers do not report prompts with
    /// few requests.
    void setRemotePromptRequests(RequestCounts requests)
    {
        m_remotePromptRequests = std::move(requests);
    }

    CrashGuard &crashGuard() { return m_crashGuard; }
    CrashAttribution &crashAttribution() { return m_crashAttribution; }
    /// Time for which an admitted request must not be sent to a server; zero if it may.
    Duration remainingQuarantine(const RequestFacts &request, const Admission &admission,
                                 TimePoint now) const;
    /// Decides anew which prompt parts are refused. Returns what changed.
    std::vector<PartVerdict> updateCrashAttribution(TimePoint now);
    /// Smoothed time from sending a request to the first bytes of a successful answer, over all
    /// servers of the service; zero before the first answer.
    Duration smoothedWait(const ServiceName &service) const;
    /// Applies expiries that are due, and passes unannounced ends of servers to the crash guard.
    void tick(TimePoint now);

private:
    struct Service
    {
        explicit Service(const RetryBudgetLimits &limits) : retries(limits) { }
        RetryBudget retries;
        double smoothedWaitUs = 0;     ///< Time to the first bytes, over all servers.
        double smoothedDurationUs = 0; ///< Time from the start of an attempt to its end.
    };

    Service &service(const ServiceName &name);
    bool isIn(const AllowedRegions &regions, const Replica &replica) const
    {
        return regions.allows(replica.record.zone, m_settings.zoneRegions);
    }
    /// Mean failure share of the service's available servers other than `except`; 1 if there are
    /// none, so that the only server of a service is never ejected.
    double meanFailureShare(const Replica &except) const;
    /// Removes cold servers from `list` for as large a share of the requests as keeps the total
    /// rate of all routers within what cold servers can take. Returns the number removed.
    std::uint32_t excludeColdServers(const ServiceName &service,
                                     std::vector<std::shared_ptr<Replica>> &list, TimePoint now);
    /// What this router knows of the room at the service's engines.
    EngineRoom engineRoom(const ServiceName &service, TimePoint now);
    /// Chooses an engine with the fleet-wide number of requests for the prompt.
    Choice chooseForPrompt(const RequestFacts &request, ChoiceInput &input, TimePoint now) const;

    DispatcherSettings m_settings;
    std::shared_ptr<const RouteTable> m_table; ///< Null before the first configuration.
    ReplicaTable m_replicas;
    std::map<ServiceName, Service> m_services;
    TimePoint m_latestPauseEnd = TimePoint::min(); ///< No server is paused after this time.
    CrashGuard m_crashGuard;
    CrashAttribution m_crashAttribution;
    RequestCounts m_localPromptRequests;
    RequestCounts m_remotePromptRequests;
    PromptChooser m_promptChooser;
    ShortestWaitChooser m_waitChooser;
    std::mt19937_64 m_random;
    ShareAdmission m_engineAdmission;
    WorkEstimator m_workEstimator;
};

} // namespace comfrey
