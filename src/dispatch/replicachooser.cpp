// Rendezvous ranking under a bound on load, and shortest expected wait.
#include "dispatch/replicachooser.h"

#include <algorithm>
#include <limits>

#include "placement/ranking.h"

namespace comfrey {

namespace {

using ReplicaPointer = std::shared_ptr<Replica>;

/// How much worse a server is that fails all requests than one that fails none.
constexpr double kFailureWeight = 4;

/// A server that failed lately comes after every other one; `spare` is for when all did.
int rank(const Replica &replica, Duration usualWait, TimePoint now)
{
    if (replica.health.isUnreachable(now))
        return 2;
    return replica.health.isDoubtful(usualWait, now) ? 1 : 0;
}

int bestRank(const ChoiceInput &input, TimePoint now)
{
    int best = 2;
    for (const ReplicaPointer &replica : input.replicas)
        best = std::min(best, rank(*replica, input.usualWait, now));
    return best;
}

} // namespace

std::uint64_t affinityKey(const RequestFacts &request)
{
    if (request.prompt.size() >= 2)
        return request.prompt[request.prompt.size() - 2].id;
    if (!request.prompt.empty())
        return request.prompt.front().id;
    return hashOf(request.id);
}

std::shared_ptr<Replica> PromptChooser::usualHolder(std::uint64_t key, const Replica &chosen,
                                                    const ChoiceInput &input, TimePoint now)
{
    const std::uint64_t chosenWeight = rendezvousWeight(key, chosen.record.id.value());
    ReplicaPointer best;
    std::uint64_t bestWeight = 0;
    for (const ReplicaPointer &replica : input.alive) {
        if (replica.get() == &chosen || replica->health.isUnreachable(now))
            continue;
        // One that ranks lower held the prompt only before the chosen one was there.
        const std::uint64_t weight = rendezvousWeight(key, replica->record.id.value());
        if (weight < chosenWeight && replica->record.born >= chosen.record.born)
            continue;
        if (!best || weight > bestWeight) {
            best = replica;
            bestWeight = weight;
        }
    }
    return best;
}

Choice PromptChooser::choose(const RequestFacts &request, const ChoiceInput &input,
                             TimePoint now) const
{
    if (input.replicas.empty())
        return {};
    const int allowed = bestRank(input, now);
    double total = 0;
    for (const ReplicaPointer &replica : input.replicas)
        total += replica->load.estimate(now);
    const double bound =
        kLoadFactor * total / static_cast<double>(input.replicas.size()) + kLoadSpare;

    const std::uint64_t key = affinityKey(request);
    ReplicaPointer best;
    std::uint64_t bestWeight = 0;
    ReplicaPointer leastLoaded;
    double leastLoad = std::numeric_limits<double>::max();
    std::uint64_t highestWeight = 0;
    for (const ReplicaPointer &replica : input.replicas) {
        if (rank(*replica, input.usualWait, now) > allowed)
            continue;
        const double load = replica->load.estimate(now);
        const std::uint64_t weight = rendezvousWeight(key, replica->record.id.value());
        highestWeight = std::max(highestWeight, weight);
        const double relative = load / replica->load.slots();
        if (relative < leastLoad) {
            leastLoad = relative;
            leastLoaded = replica;
        }
        if (load + 1 > bound || load + 1 > replica->load.slots())
            continue;
        if (!best || weight > bestWeight) {
            best = replica;
            bestWeight = weight;
        }
    }
    Choice choice;
    choice.replica = best ? best : leastLoaded;
    choice.reason = !best             ? "all over the bound"
        : bestWeight == highestWeight ? "first in rank"
                                      : "first in rank under the bound";
    choice.load = choice.replica->load.estimate(now);
    choice.bound = bound;
    choice.promptSource = usualHolder(key, *choice.replica, input, now);
    return choice;
}

Choice ShortestWaitChooser::choose(const RequestFacts &, const ChoiceInput &input,
                                   TimePoint now) const
{
    const int allowed = bestRank(input, now);
    std::vector<const ReplicaPointer *> candidates;
    for (const ReplicaPointer &replica : input.replicas) {
        if (rank(*replica, input.usualWait, now) <= allowed)
            candidates.push_back(&replica);
    }
    if (candidates.empty())
        return {};
    // Two at random, and the better of them: routers with the same news do not all choose the same.
    const std::size_t one = input.tieBreak % candidates.size();
    const std::size_t step = candidates.size() > 1
        ? 1 + input.tieBreak / candidates.size() % (candidates.size() - 1)
        : 0;
    const std::size_t other = (one + step) % candidates.size();
    const auto score = [&](const Replica &replica) {
        const double wait =
            std::max<double>(1000, static_cast<double>(replica.health.wait().count()));
        return wait * (1 + replica.load.estimate(now))
            * (1 + kFailureWeight * replica.health.failureShare());
    };
    Choice choice;
    choice.replica = score(**candidates[other]) < score(**candidates[one]) ? *candidates[other]
                                                                           : *candidates[one];
    choice.reason = "shorter wait of two";
    choice.load = choice.replica->load.estimate(now);
    return choice;
}

} // namespace comfrey
