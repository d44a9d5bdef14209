// The two lists: follows the stream "config" and passes it on between routers.
#pragma once

#include <unordered_map>

#include "config/logfollower.h"
#include "facade/part.h"

namespace comfrey {

class ConfigPart : public Part, public ListsView
{
public:
    explicit ConfigPart(const PartContext &context);

    const char *name() const override { return "config"; }
    void onEvent(const Event &event, TimePoint now, Outbox &out) override;
    TimePoint nextWakeUp() const override;
    void dump(nlohmann::json &out, TimePoint now) const override;

    const Lists &lists() const override { return m_follower.state().lists; }
    const PlanEntry *customerOf(const ApiKeyHash &key) const override;
    bool isLoaded() const override { return m_follower.hasReachedEnd(); }

    /// Last record of the stream that is in force here.
    LogOffset offset() const { return m_follower.state().foldedTo; }

private:
    void onLogRead(const LogRead &read, TimePoint now, Outbox &out);
    void onReadFailed(TimePoint now);
    void readWhenDue(TimePoint now, Outbox &out);
    void noteResults(const std::vector<FoldResult> &results, Outbox &out);
    void rebuildIndex();

    PartContext m_context;
    LogFollower m_follower;
    /// Owner of each key; rebuilt whenever the revision changes.
    std::unordered_map<ApiKeyHash, CustomerId> m_owners;
    Revision m_indexedRevision;
    bool m_reading = false; ///< A read of the stream is out; there is at most one.
    TimePoint m_readAt; ///< When the next read is due, or when the one that is out counts as lost.
    std::uint32_t m_failures = 0; ///< Reads that failed since the last answer.
};

} // namespace comfrey
