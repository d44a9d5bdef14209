// Which backend server gets a request. One policy for engines, whose cached prompts are worth going
// back to, and one for plain services, where the shortest wait is all that counts.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "dispatch/replicatable.h"
#include "dispatch/requestfacts.h"

namespace comfrey {

/// A service's servers in the state that a choice needs.
struct ChoiceInput
{
    std::vector<std::shared_ptr<Replica>>
        replicas; ///< That take new work; without those tried already.
    std::vector<std::shared_ptr<Replica>> alive; ///< All that run, also those that are leaving.
    Duration smoothedWait;                       ///< Of the service, to the first bytes.
    std::uint64_t tieBreak = 0;                  ///< A random number of this choice.
    double promptRequests = 0;    ///< Of the whole fleet about the same prompt, at once.
    bool isZoneEvacuated = false; ///< The operator empties one: others bear its servers' load.
};

struct Choice
{
    std::shared_ptr<Replica> replica; ///< Null only if no replica takes work.
    std::shared_ptr<Replica>
        promptSource;        ///< Likely has cached prompt parts that `replica` lacks; may be null.
    const char *reason = ""; ///< For the log.
    double load = 0;         ///< Estimate of the replica's requests that the choice went by.
    double bound = 0;        ///< Load that it was held against; 0 if none.
    double promptRequests = 0;        ///< Of the fleet about the same prompt, as known here.
    std::uint32_t coldExcluded = 0;   ///< Servers that were left out since they are cold.
    std::uint32_t pausedExcluded = 0; ///< Servers that were left out since they want nothing now.
};

class ReplicaChooser
{
public:
    virtual ~ReplicaChooser() = default;
    virtual Choice choose(const RequestFacts &request, const ChoiceInput &input,
                          TimePoint now) const = 0;
};

/// For engines. Load: many chats over a few shared prompts, some prompt much asked for, at routers
/// that hear of each other's requests about a second late. Every router ranks the engines of a
/// prompt alike and takes one of the first that are not overloaded, so a prompt is read by few
/// engines whatever router its chats come through, and a hot one by as many as it fills.
class PromptChooser : public ReplicaChooser
{
public:
    Choice choose(const RequestFacts &request, const ChoiceInput &input,
                  TimePoint now) const override;

private:
    /// A server that may be chosen.
    struct Candidate
    {
        std::uint64_t weight = 0; ///< For the prompt; the highest ranks first.
        double load = 0;
        double bound = 0;
        const std::shared_ptr<Replica> *replica = nullptr;
    };

    /// Over how many of the servers in `open`, in the order of their rank, a prompt's requests are
    /// spread: as many as have room for those that the fleet has at once, and for those that
    /// overload the servers that rank before.
    static std::size_t spreadWidth(const std::vector<Candidate> &belowBound,
                                   const std::vector<Candidate> &atBound, double promptRequests,
                                   double meanLoad);
    /// Routers with equal news do not all choose the same one.
    static const Candidate &lessLoadedOfTwo(const std::vector<Candidate> &servers,
                                            std::uint64_t random);

    /// The engine that other routers' requests with this prompt went to, as far as this one can
    /// tell.
    static std::shared_ptr<Replica> likelyPromptHolder(std::uint64_t key, const Replica &chosen,
                                                       const ChoiceInput &input, TimePoint now);

    /// The service's load by its servers, those that get no new work for now too: by it the fleet's
    /// bound goes.
    static double serviceMeanLoad(const ChoiceInput &input, TimePoint now);
    /// While the servers of a zone idle, the fleet's bound is near for those that bear its load:
    /// every prompt has two, so that requests that come at once don't all go to one.
    static std::size_t minSpreadWidth(const ChoiceInput &input, double serviceMean,
                                      double acceptingMean);
    /// Requests that a server takes before others with the same prompt do. `openMean`: of the
    /// servers that take new work.
    static double loadBound(const Replica &replica, double serviceMean, double acceptingMean);

    // From the played loads of bench_placementload: 295 routers whose news are up to 1.2 s old.
    /// Times the mean load: within the fleet's bound of 2. With a hot prompt 0.025 of the
    /// requests are over that bound in the worst five seconds with 1.9, 0.017 with 1.6 and 0.020
    /// with 1.4; 0.048, 0.065 and 0.085 of the usual load's requests have their prompt read.
    static constexpr double kLoadFactor = 1.6;
    static constexpr double kLoadHeadroom =
        2; ///< Requests over it, so that small loads move nothing.
    /// The servers that are left of a service have to bear its whole load: a bound under it would
    /// open none of them.
    static constexpr double kMinLoadFactor = 1.2;
    /// When all slots of a service are taken, a bound at the slots would leave a few servers open,
    /// and all routers would send there at once: 0.084 of the requests over the fleet's bound
    /// at 2.8 times the usual load, 0.013 with this. Times the mean load, and requests over that.
    static constexpr double kSaturatedLoadFactor = 1.2;
    static constexpr double kSaturatedHeadroom = 1;
    /// Times the mean of all servers that those bear which take new work: a zone of four is empty.
    static constexpr double kEvacuatedLoadFactor = 1.25;
    /// A prompt's requests grow on while the news of them travel.
    static constexpr double kPromptGrowth = 2;
};

/// For plain services. Load: short calls to a few servers, some of them slowed by neighbours.
class ShortestWaitChooser : public ReplicaChooser
{
public:
    Choice choose(const RequestFacts &request, const ChoiceInput &input,
                  TimePoint now) const override;
};

} // namespace comfrey
