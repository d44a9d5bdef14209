// Finds an engine for each request: the policy gives the order, the home routers' slots say which
// of them has room. A request that finds its first engines full waits at several at once and takes
// the slot that comes first.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "health/enginehealth.h"
#include "placement/movedchats.h"
#include "placement/placementpolicy.h"
#include "placement/slotexchange.h"

namespace comfrey {

using SearchId = Number<struct SearchIdTag>; ///< One search for an engine; unique per router.

struct PlacementQuery
{
    RequestId request;
    std::uint64_t key = 0; ///< affinityKey() of the request.
    ModelId model;
    Tokens promptTokens = 0;
    std::vector<BackendId> exclude; ///< Engines that failed or run the request already.
    SlotAskOptions options;
};

/// The end of a search. If found, the attempt has its slot until Placer::ended().
struct Placement
{
    SearchId search;
    RequestId request;
    bool found = false;
    AttemptId attempt;
    BackendId engine;
    std::optional<Endpoint> importFrom; ///< Engine that likely has the chat's KV cache.
};

class Placer
{
public:
    Placer(const PartContext &context, EngineHealth &health);

    SearchId find(const PlacementQuery &query, TimePoint now, Outbox &out);
    /// Ends a search without a placement; without effect if it has ended.
    void cancel(SearchId search, TimePoint now, Outbox &out);
    /// The searches that ended since the last call.
    std::vector<Placement> takePlacements() { return std::exchange(m_placements, {}); }

    /// The attempt of a placement has ended: its slot is free again.
    void ended(AttemptId attempt, std::uint8_t slowQuarters, TimePoint now, Outbox &out);
    /// The engine has the chat's prompt in its cache now.
    void served(std::uint64_t key, const ModelId &model, const BackendId &engine);
    void noticeSlow(const BackendId &engine, double ratio, TimePoint now, Outbox &out);
    void onReport(const LoadReport &report, Outbox &out);
    void setWaiting(const ModelId &model, std::uint32_t count);

    void onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now, Outbox &out);
    void tick(TimePoint now, Outbox &out);
    TimePoint nextWakeUp() const;
    /// True if the policy gives slow engines less work, by slots and by health.
    bool asksForSlots() const { return m_policy->asksForSlots(); }
    const SlotExchange &slots() const { return m_slots; }
    void dump(nlohmann::json &out, TimePoint now) const;

private:
    struct Search
    {
        PlacementQuery query;
        std::vector<BackendId> order;
        std::size_t next = 0;              ///< In `order`: the first engine not asked yet.
        std::vector<AttemptId> unanswered; ///< Asks without an answer.
        std::vector<AttemptId> queued;     ///< Asks that wait at their home router.
        bool homesSilent = true;           ///< Every ask of this round timed out so far.
        TimePoint startedAt;
        TimePoint stalledUntil = kNever; ///< When it starts over: no home router answered.
    };

    std::vector<EngineCandidate> candidates(const PlacementQuery &query, TimePoint now);
    std::vector<BackendId> orderFor(const PlacementQuery &query, TimePoint now);
    void askMore(SearchId id, TimePoint now, Outbox &out);
    void onNews(const SlotNews &news, TimePoint now, Outbox &out);
    void withoutHomes(SearchId id, TimePoint now);
    void place(SearchId id, AttemptId attempt, const BackendId &engine);
    void endSearch(SearchId id, AttemptId kept, TimePoint now, Outbox &out);
    void fail(SearchId id);
    const std::map<std::uint64_t, std::size_t> &poolsOf(const ModelId &model);
    void handleNews(TimePoint now, Outbox &out);
    std::optional<Endpoint> importSource(const Search &search, const BackendId &engine) const;

    PartContext m_context;
    EngineHealth &m_health;
    std::unique_ptr<PlacementPolicy> m_policy; ///< Never null.
    SlotExchange m_slots;
    MovedChats m_moved;
    std::map<SearchId, Search> m_searches;
    std::unordered_map<AttemptId, SearchId> m_asks;    ///< Open asks of all searches.
    std::unordered_map<AttemptId, BackendId> m_placed; ///< Attempts that have not ended.
    std::map<BackendId, std::uint32_t> m_inFlight;     ///< Counts of m_placed.
    std::map<BackendId, std::uint32_t> m_reported;     ///< Running and waiting, by late reports.
    std::vector<Placement> m_placements;
    SearchId m_lastSearch;
    TimePoint m_medianAt; ///< Next look at the median slowness.
    std::map<ModelId, std::map<std::uint64_t, std::size_t>> m_pools; ///< Engines by pool.
    std::uint64_t m_poolsVersion = 0; ///< Of the fleet that m_pools was made for.
};

} // namespace comfrey
