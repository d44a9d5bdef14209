// The decisions of one router about the requests that pass through it: who may call what, which
// backend server gets a request, and whether it may be sent once more. Events and the present time
// go in; there is no I/O here.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/crashguard.h"
#include "dispatch/replicachooser.h"
#include "dispatch/replicatable.h"
#include "dispatch/requestfacts.h"
#include "dispatch/retrybudget.h"
#include "dispatch/routetable.h"

namespace comfrey {

/// Requests at once, by a hash of what they are counted by.
using RequestCounts = std::unordered_map<std::uint32_t, std::uint32_t>;

enum class Refusal : std::uint8_t {
    None,
    NoConfiguration, ///< This router knows no configuration yet.
    UnknownRoute,
    UnknownKey,
    Quarantined, ///< The request has crashed the servers that ran it.
};

/// A request that may pass, under the version of the configuration that admitted it.
struct Admission
{
    Refusal refusal = Refusal::None;
    Duration quarantineRemaining{0};         ///< Of Refusal::Quarantined.
    std::shared_ptr<const RouteTable> table; ///< Keeps `route` and `organisation` alive.
    const Route *route = nullptr;
    const Organisation *organisation = nullptr; ///< Null on public routes.
    ServiceName service;
};

/// How one sending of a request ended, as far as retrying is concerned.
enum class AttemptResult : std::uint8_t {
    NotSent, ///< No connection: the server never heard of it.
    NotRun,  ///< The server said that it did not run it.
    Failed,  ///< The server answered with a failure of its own.
    Unknown, ///< Sent, and no whole answer came.
};

struct DispatcherSettings
{
    RetryBudgetLimits retries;
    Duration relistTimeout = milliseconds(1700); ///< See ReplicaTable.
    std::uint64_t seed = 0;                      ///< Of the choices among equals.
};

class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherSettings &settings);

    /// A newer configuration. False if its version is not newer.
    bool apply(FleetConfig config);
    std::shared_ptr<const RouteTable> table() const { return m_table; }
    ReplicaTable &replicas() { return m_replicas; }
    const ReplicaTable &replicas() const { return m_replicas; }

    Admission admit(const RequestFacts &request, TimePoint now);
    /// A server for the request, other than those in `tried`. Null if there is none.
    Choice choose(const RequestFacts &request, const ServiceName &service,
                  const std::vector<std::string> &tried, TimePoint now);
    /// The server that a place in the shared queue is at; null if it takes no work from here.
    std::shared_ptr<Replica> leasedReplica(const ServiceName &service,
                                           std::uint32_t incarnationHash, TimePoint now) const;
    /// If all servers of the service want nothing now: until the first of them does again.
    std::optional<Duration> remainingPauseOfAll(const ServiceName &service, TimePoint now) const;
    /// Servers of the service that a request that was sent to `tried` is not to go to, by the hash
    /// of their incarnations: those, those that leave or want nothing now, and those in doubt while
    /// there are others.
    std::vector<std::uint32_t> excludedServers(const ServiceName &service,
                                               const std::vector<std::string> &tried,
                                               TimePoint now) const;
    /// True if the request may go to another server after `sends` sendings of which `runs` may have
    /// run. Draws on the retry budget.
    bool mayRetry(const Admission &admission, AttemptResult result, std::uint32_t attempts,
                  std::uint32_t possibleRuns, TimePoint now);

    void onAttemptStarted(Replica &replica, const RequestFacts &request, TimePoint now);
    /// The server wants nothing from this router for a while. Returns for how long that is kept:
    /// no server sets itself aside for ever.
    Duration onPause(Replica &replica, Duration pause, TimePoint now);
    void onLoadReport(Replica &replica, const AnswerFacts::Load &load, TimePoint now);
    /// A good answer began `waited` after the request was sent.
    void onAnswer(Replica &replica, Duration waited, TimePoint now);
    void onFailure(Replica &replica, TimePoint now);
    /// No connection could be made for a request; `isRefused`: nothing listens at the address.
    void onUnreachable(Replica &replica, bool isRefused, TimePoint now);
    /// The same, found without a request.
    void onUnreachableWithoutRequest(Replica &replica, bool isRefused, TimePoint now);
    /// Another server answers at its address.
    void onAddressTaken(const Replica &replica, TimePoint now);
    void onAnswerInterrupted(Replica &replica, TimePoint now);
    void onAbandoned(Replica &replica, Duration waited, TimePoint now);
    /// The request holds no place at the server any more.
    /// `held`: since it was sent.
    void onAttemptEnded(Replica &replica, const RequestFacts &request, Duration duration);

    /// This router's requests at each server, by the hash of its incarnation.
    RequestCounts localRequests() const;
    /// Those of all other routers.
    void setRemoteRequests(const RequestCounts &requests, TimePoint now);
    /// This router's requests about each prompt, by promptHash().
    const RequestCounts &localPromptRequests() const { return m_localPromptRequests; }
    /// Those of all other routers, where they have many.
    void setRemotePromptRequests(RequestCounts requests)
    {
        m_remotePromptRequests = std::move(requests);
    }

    CrashGuard &crashGuard() { return m_crashGuard; }
    Duration smoothedWait(const ServiceName &service) const;
    void tick(TimePoint now);

private:
    struct Service
    {
        explicit Service(const RetryBudgetLimits &limits) : retries(limits) { }
        RetryBudget retries;
        double smoothedWaitUs = 0;     ///< Smoothed time to the first bytes over all servers.
        double smoothedDurationUs = 0; ///< Smoothed time from the sending to its end.
    };

    Service &service(const ServiceName &name);
    double meanFailureShare(const Replica &except) const;
    /// Leaves cold servers out of `list` for so many requests that all routers together send them
    /// no more than they bear. Returns how many.
    std::uint32_t excludeColdServers(const ServiceName &service,
                                     std::vector<std::shared_ptr<Replica>> &list, TimePoint now);
    Choice chooseForPrompt(const RequestFacts &request, ChoiceInput &input, TimePoint now) const;

    DispatcherSettings m_settings;
    std::shared_ptr<const RouteTable> m_table; ///< Null before the first configuration.
    ReplicaTable m_replicas;
    std::map<ServiceName, Service> m_services;
    TimePoint m_latestPauseEnd = TimePoint::min(); ///< No server pauses later.
    CrashGuard m_crashGuard;
    RequestCounts m_localPromptRequests;
    RequestCounts m_remotePromptRequests;
    PromptChooser m_promptChooser;
    ShortestWaitChooser m_waitChooser;
    std::mt19937_64 m_random;
};

} // namespace comfrey
