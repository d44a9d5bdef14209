// Rendezvous hashing with bounded loads, and the shortest expected wait of two random servers.
#include "dispatch/replicachooser.h"

#include <algorithm>
#include <limits>
#include <sstream>

#include "placement/ranking.h"

namespace comfrey {

namespace {

using ReplicaPointer = std::shared_ptr<Replica>;

/// Extra score of a server that fails all requests, relative to one that fails none.
constexpr double kFailureWeight = 4;

/// 0 for a healthy server, 1 for an unhealthy one, 2 for an unreachable one. Servers with a
/// higher rank are used only if no server has a lower one.
int healthRank(const Replica &replica, Duration smoothedWait, TimePoint now)
{
    if (replica.health.isUnreachable(now))
        return 2;
    return replica.health.shouldAvoid(smoothedWait, now) ? 1 : 0;
}

/// The lowest health rank among the replicas of `input`.
int bestHealthRank(const ChoiceInput &input, TimePoint now)
{
    int best = 2;
    for (const ReplicaPointer &replica : input.replicas)
        best = std::min(best, healthRank(*replica, input.smoothedWait, now));
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

std::vector<PromptPartId> sharedParts(const RequestFacts &request)
{
    std::vector<PromptPartId> parts;
    for (std::size_t index = 0; index + 1 < request.prompt.size(); ++index)
        parts.emplace_back(request.prompt[index].id);
    return parts;
}

std::string sharedPartIds(const RequestFacts &request)
{
    constexpr std::size_t kMaxListedParts = 8;
    std::ostringstream ids;
    ids << std::hex;
    for (std::size_t index = 0; index + 1 < request.prompt.size() && index < kMaxListedParts;
         ++index)
        ids << (index == 0 ? "" : ",") << request.prompt[index].id;
    return ids.str();
}

const PromptChooser::Candidate &
PromptChooser::lessLoadedOfTwo(const std::vector<Candidate> &servers, std::uint64_t random)
{
    const std::size_t first = random % servers.size();
    const std::size_t second = random / servers.size() % servers.size();
    const auto relative = [](const Candidate &entry) {
        return entry.load / (*entry.replica)->load.slots();
    };
    return relative(servers[second]) < relative(servers[first]) ? servers[second] : servers[first];
}

std::shared_ptr<Replica> PromptChooser::likelyPromptHolder(std::uint64_t key, const Replica &chosen,
                                                           const ChoiceInput &input, TimePoint now)
{
    const std::uint64_t chosenWeight = rendezvousWeight(key, chosen.record.id.value());
    ReplicaPointer best;
    std::uint64_t bestWeight = 0;
    for (const ReplicaPointer &replica : input.alive) {
        if (replica.get() == &chosen || replica->health.isUnreachable(now))
            continue;
        // A server that ranks lower holds the prompt only if it started before the chosen one.
        const std::uint64_t weight = rendezvousWeight(key, replica->record.id.value());
        if (weight < chosenWeight && replica->record.startedAtMs >= chosen.record.startedAtMs)
            continue;
        if (!best || weight > bestWeight) {
            best = replica;
            bestWeight = weight;
        }
    }
    return best;
}

double PromptChooser::loadBound(const Replica &replica, double serviceMean, double acceptingMean)
{
    const double slots = std::max<double>(replica.load.slots(),
                                          kSaturatedLoadFactor * serviceMean + kSaturatedHeadroom);
    const double bound = std::min(slots, kLoadFactor * serviceMean + kLoadHeadroom);
    return serviceMean < acceptingMean ? std::max(bound, kMinLoadFactor * acceptingMean) : bound;
}

double PromptChooser::serviceMeanLoad(const ChoiceInput &input, TimePoint now)
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
    const int maxHealthRank = bestHealthRank(input, now);
    double total = 0;
    for (const ReplicaPointer &replica : input.replicas)
        total += replica->load.estimate(now);
    const double mean = total / static_cast<double>(input.replicas.size());
    const double serviceMean = std::min(mean, serviceMeanLoad(input, now));

    const std::uint64_t key = affinityKey(request);
    std::vector<Candidate> belowBound; // One more request stays within the bound.
    std::vector<Candidate> atBound;
    for (const ReplicaPointer &replica : input.replicas) {
        if (healthRank(*replica, input.smoothedWait, now) > maxHealthRank)
            continue;
        const Candidate entry{rendezvousWeight(key, replica->record.id.value()),
                              replica->load.estimate(now), loadBound(*replica, serviceMean, mean),
                              &replica};
        (entry.load + 1 <= entry.bound ? belowBound : atBound).push_back(entry);
    }
    Choice choice;
    Candidate chosen;
    if (belowBound.empty()) {
        chosen = lessLoadedOfTwo(atBound, input.tieBreak);
        choice.reason = "all engines at their load bound";
    } else {
        std::sort(belowBound.begin(), belowBound.end(),
                  [](const Candidate &first, const Candidate &second) {
                      return first.weight > second.weight;
                  });
        const bool isFirst =
            std::none_of(atBound.begin(), atBound.end(), [&](const Candidate &entry) {
                return entry.weight > belowBound.front().weight;
            });
        const std::size_t width =
            std::max(spreadWidth(belowBound, atBound, input.promptRequests, mean),
                     std::min(belowBound.size(), minSpreadWidth(input, serviceMean, mean)));
        belowBound.resize(width);
        chosen = lessLoadedOfTwo(belowBound, input.tieBreak);
        choice.reason = width > 1 ? "one of the highest in rank"
            : isFirst             ? "highest in rank"
                                  : "highest in rank below its load bound";
    }
    choice.replica = *chosen.replica;
    choice.load = chosen.load;
    choice.bound = chosen.bound;
    choice.promptRequests = input.promptRequests;
    choice.promptSource = likelyPromptHolder(key, *choice.replica, input, now);
    return choice;
}

std::size_t PromptChooser::minSpreadWidth(const ChoiceInput &input, double serviceMean,
                                          double acceptingMean)
{
    return input.isZoneEvacuated && acceptingMean > kEvacuatedLoadFactor * serviceMean ? 2 : 1;
}

std::size_t PromptChooser::spreadWidth(const std::vector<Candidate> &belowBound,
                                       const std::vector<Candidate> &atBound, double promptRequests,
                                       double meanLoad)
{
    double excess = 0;
    for (const Candidate &entry : atBound) {
        if (entry.weight > belowBound.front().weight)
            excess += std::max(0.0, entry.load - entry.bound);
    }
    const double headroom = std::max(1.0, belowBound.front().bound - meanLoad);
    const double width = std::max(1 + excess / headroom, kPromptGrowth * promptRequests / headroom);
    return std::min(belowBound.size(), static_cast<std::size_t>(width));
}

Choice ShortestWaitChooser::choose(const RequestFacts &, const ChoiceInput &input,
                                   TimePoint now) const
{
    const int maxHealthRank = bestHealthRank(input, now);
    std::vector<const ReplicaPointer *> candidates;
    for (const ReplicaPointer &replica : input.replicas) {
        if (healthRank(*replica, input.smoothedWait, now) <= maxHealthRank)
            candidates.push_back(&replica);
    }
    if (candidates.empty())
        return {};
    // Taking the better of two random servers keeps routers with the same information from all
    // choosing the same one.
    const std::size_t first = input.tieBreak % candidates.size();
    const std::size_t step = candidates.size() > 1
        ? 1 + input.tieBreak / candidates.size() % (candidates.size() - 1)
        : 0;
    const std::size_t second = (first + step) % candidates.size();
    const auto score = [&](const Replica &replica) {
        const double wait =
            std::max<double>(1000, static_cast<double>(replica.health.smoothedLatency().count()));
        return wait * (1 + replica.load.estimate(now))
            * (1 + kFailureWeight * replica.health.failureShare());
    };
    Choice choice;
    choice.replica = score(**candidates[second]) < score(**candidates[first]) ? *candidates[second]
                                                                              : *candidates[first];
    choice.reason = "shorter wait of two";
    choice.load = choice.replica->load.estimate(now);
    return choice;
}

} // namespace comfrey
