// The placement policies: the usual ones as baselines, and affinity with bounded load.
#include <algorithm>
#include <utility>

#include "placement/placementpolicy.h"
#include "placement/ranking.h"

namespace comfrey {

namespace {

using Candidates = std::vector<EngineCandidate>;
using Order = std::vector<const BackendView *>;

Order enginesOf(const Candidates &candidates)
{
    Order engines;
    engines.reserve(candidates.size());
    for (const EngineCandidate &candidate : candidates)
        engines.push_back(candidate.engine);
    return engines;
}

std::uint32_t knownLoad(const EngineCandidate &candidate)
{
    return std::max(candidate.ownInFlight, candidate.fleetInFlight);
}

class RoundRobin : public PlacementPolicy
{
public:
    Order order(const PlacementQuestion &, const Candidates &candidates) override
    {
        Order engines = enginesOf(candidates);
        std::rotate(engines.begin(), engines.begin() + m_turn++ % engines.size(), engines.end());
        return engines;
    }

private:
    std::size_t m_turn = 0;
};

class RandomChoice : public PlacementPolicy
{
public:
    explicit RandomChoice(Random &random) : m_random(random) { }

    Order order(const PlacementQuestion &, const Candidates &candidates) override
    {
        Order engines = enginesOf(candidates);
        std::shuffle(engines.begin(), engines.end(), m_random);
        return engines;
    }

private:
    Random &m_random;
};

class LeastReportedLoad : public PlacementPolicy
{
public:
    Order order(const PlacementQuestion &, const Candidates &candidates) override
    {
        Candidates sorted = candidates;
        std::stable_sort(sorted.begin(), sorted.end(),
                         [](const EngineCandidate &left, const EngineCandidate &right) {
                             return left.fleetInFlight < right.fleetInFlight;
                         });
        return enginesOf(sorted);
    }

    bool usesReports() const override { return true; }
};

class HashOnly : public PlacementPolicy
{
public:
    Order order(const PlacementQuestion &question, const Candidates &candidates) override
    {
        return ranked(question.key, enginesOf(candidates));
    }
};

/// The less loaded of two random engines, by own counts and reports.
class TwoChoices : public PlacementPolicy
{
public:
    explicit TwoChoices(Random &random) : m_random(random) { }

    Order order(const PlacementQuestion &, const Candidates &candidates) override
    {
        Candidates shuffled = candidates;
        std::shuffle(shuffled.begin(), shuffled.end(), m_random);
        if (shuffled.size() > 1 && knownLoad(shuffled[1]) < knownLoad(shuffled[0]))
            std::swap(shuffled[0], shuffled[1]);
        return enginesOf(shuffled);
    }

    bool usesReports() const override { return true; }

private:
    Random &m_random;
};

/// Rendezvous order, the engine that served the chat last first, slow and new engines last. The
/// bound on an engine's load is kept by the slots of its home router.
class BoundedAffinity : public PlacementPolicy
{
public:
    Order order(const PlacementQuestion &question, const Candidates &candidates) override
    {
        Order ready;
        Order deferred;
        for (const EngineCandidate &candidate : candidates)
            (candidate.deferred ? deferred : ready).push_back(candidate.engine);
        Order all = ranked(question.key, ready);
        if (question.movedTo) {
            const auto moved =
                std::find_if(all.begin(), all.end(), [&question](const BackendView *engine) {
                    return engine->id == *question.movedTo;
                });
            if (moved != all.end())
                std::rotate(all.begin(), moved, moved + 1);
        }
        const Order last = ranked(question.key, deferred);
        all.insert(all.end(), last.begin(), last.end());
        return all;
    }

    bool asksForSlots() const override { return true; }
};

} // namespace

std::unique_ptr<PlacementPolicy> makePlacementPolicy(const std::string &name, Random &random)
{
    if (name.empty() || name == "bounded-affinity")
        return std::make_unique<BoundedAffinity>();
    if (name == "round-robin")
        return std::make_unique<RoundRobin>();
    if (name == "random")
        return std::make_unique<RandomChoice>(random);
    if (name == "least-reported-load")
        return std::make_unique<LeastReportedLoad>();
    if (name == "hash-only")
        return std::make_unique<HashOnly>();
    if (name == "p2c")
        return std::make_unique<TwoChoices>(random);
    return nullptr;
}

} // namespace comfrey
