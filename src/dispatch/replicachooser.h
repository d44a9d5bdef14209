// Chooses the backend server of a request. Engines have a policy that reuses their cached prompts;
// plain services have one that minimises the expected wait.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "dispatch/replicatable.h"
#include "dispatch/requestfacts.h"

namespace comfrey {

/// The servers of a service and the state on which a choice depends.
struct ChoiceInput
{
    std::vector<std::shared_ptr<Replica>>
        replicas; ///< Servers that accept new work and were not tried yet.
    std::vector<std::shared_ptr<Replica>> alive; ///< All running servers, including leaving ones.
    Duration smoothedWait;                       ///< Time to the first bytes, over the service.
    std::uint64_t tieBreak = 0;                  ///< A random number, drawn for this choice.
    double promptRequests = 0;    ///< Concurrent requests of the fleet for the prompt.
    bool isZoneEvacuated = false; ///< A zone is evacuated; the others carry its load.
};

/// The server that was chosen, and the figures behind the choice for the log.
struct Choice
{
    std::shared_ptr<Replica> replica; ///< Null only if no replica accepts work.
    std::shared_ptr<Replica>
        promptSource;          ///< Likely caches prompt parts that `replica` lacks; may be null.
    const char *reason = "";   ///< Logged with the choice.
    double load = 0;           ///< Estimated requests at the replica.
    double bound = 0;          ///< Upper limit that `load` was compared with; 0 if none.
    double promptRequests = 0; ///< Concurrent requests of the fleet for the prompt, as known here.
    std::uint32_t coldExcluded = 0;   ///< Number of servers excluded because they are cold.
    std::uint32_t pausedExcluded = 0; ///< Number of servers excluded because they are paused.
    std::uint32_t regionExcluded = 0; ///< Number of servers excluded by the allowed regions.
};

/// A policy that chooses a server among those of a service.
class ReplicaChooser
{
public:
    virtual ~ReplicaChooser() = default;
    /// Chooses one of `input.replicas`; the replica is null if there are none.
    virtual Choice choose(const RequestFacts &request, const ChoiceInput &input,
                          TimePoint now) const = 0;
};

/// Policy for engines: rendezvous hashing with bounded loads. It serves many chats that share a few
/// prompts, some of them very popular, at routers that learn of each other's requests about a
/// second late. Every router ranks the engines for a prompt in the same order and takes one of the
/// first that are below their load bound. So only few engines read a prompt, whichever router its
/// chats pass through, and a hot prompt spreads over as many engines as its requests fill.
class PromptChooser : public ReplicaChooser
{
public:
    Choice choose(const RequestFacts &request, const ChoiceInput &input,
                  TimePoint now) const override;

private:
    /// A server that may be chosen, with its rank, load and load bound.
    struct Candidate
    {
        std::uint64_t weight = 0; ///< Rendezvous weight for the prompt; the highest ranks first.
        double load = 0;
        double bound = 0;
        const std::shared_ptr<Replica> *replica = nullptr;
    };

    /// Number of servers in `belowBound`, in the order of their rank, over which the requests for a
    /// prompt are spread: as many as have headroom for the fleet's concurrent requests for it and
    /// for the excess load of the servers that rank higher.
    static std::size_t spreadWidth(const std::vector<Candidate> &belowBound,
                                   const std::vector<Candidate> &atBound, double promptRequests,
                                   double meanLoad);
    /// The less loaded of two servers picked at random, so that routers with the same information
    /// do not all choose the same server.
    static const Candidate &lessLoadedOfTwo(const std::vector<Candidate> &servers,
                                            std::uint64_t random);

    /// The engine that most likely caches the prompt because other requests for it were sent there;
    /// null if there is none.
    static std::shared_ptr<Replica> likelyPromptHolder(std::uint64_t key, const Replica &chosen,
                                                       const ChoiceInput &input, TimePoint now);

    /// Mean load of the service's servers, including those that accept no new work for now. The
    /// fleet's limit on overload is defined by this mean. Infinite without servers.
    static double serviceMeanLoad(const ChoiceInput &input, TimePoint now);
    /// Minimum number of engines for each prompt. While the servers of a zone idle, those that
    /// carry its load are close to the fleet's limit; then every prompt has two engines, so that
    /// requests that arrive together do not all go to one.
    static std::size_t minSpreadWidth(const ChoiceInput &input, double serviceMean,
                                      double acceptingMean);
    /// Number of requests that a server takes before the next in rank is used. `serviceMean`: mean
    /// load of the service; `acceptingMean`: mean load of the servers that accept new work.
    static double loadBound(const Replica &replica, double serviceMean, double acceptingMean);

    // The figures below are of the simulated loads of bench_placementload: 295 routers whose
    // information about each other is up to 1.2 s old.
    /// Load bound as a multiple of the mean load, below the fleet's limit of 2. With a hot prompt,
    /// the share of requests above that limit in the worst five seconds is 0.025 at 1.9, 0.017 at
    /// 1.6 and 0.020 at 1.4. Of the requests of the usual load, 0.048, 0.065 and 0.085 make an
    /// engine read their prompt.
    static constexpr double kLoadFactor = 1.6;
    static constexpr double kLoadHeadroom =
        2; ///< Requests above it, so that small loads move no prompt.
    /// Smallest load bound as a multiple of the mean load of the servers that accept work. They
    /// carry the whole load of the service, and a bound below that mean would admit requests to
    /// none.
    static constexpr double kMinLoadFactor = 1.2;
    /// Smallest slot limit: a multiple of the mean load, and requests above that. With all slots of
    /// a service taken, a bound equal to the slots would leave a few servers below it, and all
    /// routers would send there at once: at 2.8 times the usual load 0.084 of the requests exceed
    /// the fleet's limit, and 0.013 with this rule.
    static constexpr double kSaturatedLoadFactor = 1.2;
    static constexpr double kSaturatedHeadroom = 1;
    /// Ratio of the mean load of the accepting servers to that of all servers above which a zone
    /// counts as idle: one zone of four is evacuated.
    static constexpr double kEvacuatedLoadFactor = 1.25;
    /// Allows for the growth of a prompt's requests while their count travels between routers.
    static constexpr double kPromptGrowth = 2;
};

/// Policy for plain services: short calls to a few servers, some of them slowed down by other load
/// on their machines. Takes the better of two random servers by expected wait and failure share.
class ShortestWaitChooser : public ReplicaChooser
{
public:
    Choice choose(const RequestFacts &request, const ChoiceInput &input,
                  TimePoint now) const override;
};

} // namespace comfrey
