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
    return replica.health.shouldAvoid(usualWait, now) ? 1 : 0;
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

std::uint32_t promptHash(const RequestFacts &request)
{
    if (request.prompt.empty())
        return 0;
    const std::uint64_t key = affinityKey(request);
    return static_cast<std::uint32_t>(key ^ key >> 32U);
}

const PromptChooser::Ranked &PromptChooser::lessLoadedOfTwo(const std::vector<Ranked> &servers,
                                                            std::uint64_t random)
{
    const std::size_t one = random % servers.size();
    const std::size_t other = random / servers.size() % servers.size();
    const auto relative = [](const Ranked &entry) {
        return entry.load / (*entry.replica)->load.slots();
    };
    return relative(servers[other]) < relative(servers[one]) ? servers[other] : servers[one];
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

double PromptChooser::boundOf(const Replica &replica, double serviceMean, double openMean)
{
    const double slots =
        std::max<double>(replica.load.slots(), kFullFactor * serviceMean + kFullSpare);
    const double bound = std::min(slots, kLoadFactor * serviceMean + kLoadSpare);
    return serviceMean < openMean ? std::max(bound, kLeastFactor * openMean) : bound;
}

double PromptChooser::meanOfService(const ChoiceInput &input, TimePoint now)
{
    double total = 0;
    std::size_t count = 0;
    for (const ReplicaPointer &replica : input.alive) {
        if (replica->isLeaving)
            continue;
        total += replica->load.estimate(now);
        ++count;
    }
    return count == 0 ? std::numeric_limits<double>::infinity()
                      : total / static_cast<double>(count);
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
    const double mean = total / static_cast<double>(input.replicas.size());
    const double serviceMean = std::min(mean, meanOfService(input, now));

    const std::uint64_t key = affinityKey(request);
    std::vector<Ranked> open; // Under their bound.
    std::vector<Ranked> full;
    for (const ReplicaPointer &replica : input.replicas) {
        if (rank(*replica, input.usualWait, now) > allowed)
            continue;
        const Ranked entry{rendezvousWeight(key, replica->record.id.value()),
                           replica->load.estimate(now), boundOf(*replica, serviceMean, mean),
                           &replica};
        (entry.load + 1 <= entry.bound ? open : full).push_back(entry);
    }
    Choice choice;
    Ranked chosen;
    if (open.empty()) {
        chosen = lessLoadedOfTwo(full, input.tieBreak);
        choice.reason = "all over the bound";
    } else {
        std::sort(open.begin(), open.end(),
                  [](const Ranked &one, const Ranked &other) { return one.weight > other.weight; });
        const bool isFirst = std::none_of(full.begin(), full.end(), [&](const Ranked &entry) {
            return entry.weight > open.front().weight;
        });
        const std::size_t width =
            std::max(widthOf(open, full, input.promptRequests, mean),
                     std::min(open.size(), leastWidth(input, serviceMean, mean)));
        open.resize(width);
        chosen = lessLoadedOfTwo(open, input.tieBreak);
        choice.reason = width > 1 ? "one of the first in rank"
            : isFirst             ? "first in rank"
                                  : "first in rank under the bound";
    }
    choice.replica = *chosen.replica;
    choice.load = chosen.load;
    choice.bound = chosen.bound;
    choice.promptRequests = input.promptRequests;
    choice.promptSource = usualHolder(key, *choice.replica, input, now);
    return choice;
}

std::size_t PromptChooser::leastWidth(const ChoiceInput &input, double serviceMean, double openMean)
{
    return input.isZoneEmptied && openMean > kBearingFactor * serviceMean ? 2 : 1;
}

std::size_t PromptChooser::widthOf(const std::vector<Ranked> &open, const std::vector<Ranked> &full,
                                   double promptRequests, double meanLoad)
{
    double excess = 0;
    for (const Ranked &entry : full) {
        if (entry.weight > open.front().weight)
            excess += std::max(0.0, entry.load - entry.bound);
    }
    const double room = std::max(1.0, open.front().bound - meanLoad);
    const double width = std::max(1 + excess / room, kPromptGrowth * promptRequests / room);
    return std::min(open.size(), static_cast<std::size_t>(width));
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
            std::max<double>(1000, static_cast<double>(replica.health.smoothedLatency().count()));
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
