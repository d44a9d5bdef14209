// Who is in the fleet: routers by heartbeat and platform list, back ends by list and observation.
#pragma once

#include <unordered_map>

#include "facade/part.h"
#include "membership/backendtable.h"
#include "membership/routertable.h"
#include "membership/rumorqueue.h"

namespace comfrey {

class MembershipPart : public Part, public FleetView
{
public:
    explicit MembershipPart(const PartContext &context);

    const char *name() const override { return "membership"; }
    void onEvent(const Event &event, TimePoint now, Outbox &out) override;
    void onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now,
                   Outbox &out) override;
    TimePoint nextWakeUp() const override;
    void dump(nlohmann::json &out, TimePoint now) const override;

    /// Notes where an attempt went, so that its end can tell of that back end.
    void noteSent(const SendToBackend &sent);

    /// Address for messages to a router; empty if it is not known.
    Endpoint peerAddress(const RouterId &id) const { return m_table.addressOf(id); }

    const RouterId &self() const override { return m_self; }
    const ZoneId &zone() const override { return m_zone; }
    const std::vector<RouterView> &routers() const override { return m_table.views(); }
    const std::vector<BackendView> &backends() const override { return m_backends.views(); }
    const BackendView *backend(const BackendId &id) const override { return m_backends.find(id); }
    std::uint64_t version() const override { return m_table.version() + m_backends.version(); }
    bool hasList() const override { return m_hasList; }

private:
    void onAttemptEnded(const AttemptEnded &ended, TimePoint now);
    void onReport(const LoadReport &report, TimePoint now);
    void readListWhenDue(TimePoint now, Outbox &out);
    void advanceWhenDue(TimePoint now);
    void probeWhenDue(TimePoint now, Outbox &out);
    void spreadWhenDue(TimePoint now, Outbox &out);
    void probe(const RouterId &id, TimePoint now, Outbox &out);
    std::optional<RouterId> nextTarget();
    void addNews(const wire::HeartbeatT &news, TimePoint now);
    wire::HeartbeatT ownHeartbeat(TimePoint now) const;
    wire::GossipT gossip(TimePoint now);

    PartContext m_context;
    RouterId m_self;
    ZoneId m_zone;
    RouterTable m_table;
    BackendTable m_backends;
    RumorQueue m_rumors;
    /// Back end of each attempt that has not ended.
    std::unordered_map<AttemptId, BackendId> m_sentTo;
    std::vector<RouterId> m_order; ///< Routers still to be probed in this round, in random order.
    std::uint64_t m_sequence = 1;  ///< Of the own heartbeat; grows with each interval.
    std::uint64_t m_rounds = 0;    ///< Probe intervals so far.
    bool m_hasList = false;
    bool m_leaving = false;
    TimePoint m_readAt;            ///< When the platform's list is read next.
    TimePoint m_advanceAt;         ///< When the tables let time pass next.
    TimePoint m_probeAt;           ///< When the next routers are probed.
    TimePoint m_spreadAt = kNever; ///< When news are sent out of turn.
    TimePoint m_lastSpreadAt;
};

} // namespace comfrey
