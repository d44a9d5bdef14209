// The two lists: follows the stream "config", from the log or from other routers, and passes it on.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "config/logfollower.h"
#include "config/logreader.h"
#include "config/peerexchange.h"
#include "config/snapshotwriter.h"
#include "facade/part.h"

namespace comfrey {

class ConfigPart : public Part, public ListsView
{
public:
    explicit ConfigPart(const PartContext &context);

    const char *name() const override { return "config"; }
    void onEvent(const Event &event, TimePoint now, Outbox &out) override;
    void onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now,
                   Outbox &out) override;
    TimePoint nextWakeUp() const override;
    void dump(nlohmann::json &out, TimePoint now) const override;

    const Lists &lists() const override { return m_follower.state().lists; }
    const PlanEntry *customerOf(const ApiKeyHash &key) const override;
    bool isLoaded() const override { return m_loaded; }
    LogOffset offset() const override { return m_follower.state().foldedTo; }
    TimePoint confirmedAt(TimePoint now) const override;

private:
    void onLogRead(const LogRead &read, TimePoint now, Outbox &out);
    void onGossip(const RouterId &from, const wire::GossipT &gossip, TimePoint now);
    void act(TimePoint now, Outbox &out);
    void updateRole(TimePoint now);
    void updateLoaded(TimePoint now);
    void takeResults(const std::vector<FoldResult> &results, TimePoint now, Outbox &out);
    void writeSnapshotWhenDue(TimePoint now, Outbox &out);
    void rebuildIndex();

    PartContext m_context;
    LogFollower m_follower;
    LogReader m_reader;
    PeerExchange m_exchange;
    SnapshotWriter m_snapshots;
    /// Owner of each key; rebuilt whenever the revision changes.
    std::unordered_map<ApiKeyHash, CustomerId> m_owners;
    Revision m_indexedRevision;
    std::optional<std::uint32_t> m_tailingRank;  ///< Of this router; nothing if it does not tail.
    std::optional<std::uint64_t> m_fleetVersion; ///< For which m_tailingRank was worked out.
    bool m_loaded = false;                       ///< Never false again once it is true.
    TimePoint m_loadBy = kNever;       ///< When the log's end counts without word of other routers.
    std::deque<FoldResult> m_problems; ///< Newest refused and skipped records, for the dump.
};

} // namespace comfrey
