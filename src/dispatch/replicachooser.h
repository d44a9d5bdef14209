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
    Duration usualWait;                          ///< Of the service, to the first bytes.
    std::uint64_t tieBreak = 0;                  ///< A random number of this choice.
};

struct Choice
{
    std::shared_ptr<Replica> replica; ///< Null only if there is no replica at all.
    std::shared_ptr<Replica>
        promptSource;        ///< Likely has cached prompt parts that `replica` lacks; may be null.
    const char *reason = ""; ///< For the log.
    double load = 0;         ///< Estimate of the replica's requests that the choice went by.
    double bound = 0;        ///< Load that it was held against; 0 if none.
};

class ReplicaChooser
{
public:
    virtual ~ReplicaChooser() = default;
    virtual Choice choose(const RequestFacts &request, const ChoiceInput &input,
                          TimePoint now) const = 0;
};

/// For engines. Load: many chats over a few shared prompts, some prompt much asked for. Every
/// router ranks the engines of a prompt alike and takes the first one that is not overloaded, so a
/// prompt is read by few engines whatever router its chats come through.
class PromptChooser : public ReplicaChooser
{
public:
    Choice choose(const RequestFacts &request, const ChoiceInput &input,
                  TimePoint now) const override;

private:
    /// The engine that other routers' requests with this prompt went to, as far as this one can
    /// tell.
    static std::shared_ptr<Replica> usualHolder(std::uint64_t key, const Replica &chosen,
                                                const ChoiceInput &input, TimePoint now);

    static constexpr double kLoadFactor =
        1.9;                                ///< Times the mean load: within the fleet's bound of 2.
    static constexpr double kLoadSpare = 2; ///< Requests over it, so that small loads move nothing.
};

/// For plain services. Load: short calls to a few servers, some of them slowed by neighbours.
class ShortestWaitChooser : public ReplicaChooser
{
public:
    Choice choose(const RequestFacts &request, const ChoiceInput &input,
                  TimePoint now) const override;
};

} // namespace comfrey
