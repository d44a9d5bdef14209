// Backend servers as the platform's list tells of them. The list comes as single records, late, at
// times out of order, and lapses while the platform's store is down.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"
#include "dispatch/crashguard.h"
#include "dispatch/replicahealth.h"
#include "dispatch/replicaload.h"

namespace comfrey {

/// What a backend server says of itself.
struct ReplicaRecord
{
    BackendId id;
    ServiceName service;
    Endpoint address;
    ZoneId zone;
    std::uint32_t slots = 1;
    bool isDraining = false;
    std::uint64_t sequence = 0;    ///< Counts the server's reports since its start.
    std::uint64_t startedAtMs = 0; ///< Unix milliseconds of its start.
    Duration coldDuration{0};      ///< From the report on: it bears few requests until then.
};

/// A backend server with what this router knows of it.
struct Replica
{
    ReplicaRecord record;
    std::string incarnation; ///< The id and the start: a restarted server has another one.
    std::uint32_t incarnationHash = 0; ///< Names it between routers.
    bool isLeaving = false;            ///< Gets no new work.
    TimePoint unconfirmedUntil =
        kNever; ///< Its record lapsed with the store; gone after that time.
    /// It wants nothing from this router until then.
    TimePoint pausedUntil = TimePoint::min();
    TimePoint coldUntil = TimePoint::min();
    ReplicaHealth health;
    ReplicaLoad load;
};

/// A server that ended though it had not said that it leaves.
struct EndedReplica
{
    std::string incarnation;
    EndEvidence evidence = EndEvidence::Unlisted;
};

class ReplicaTable
{
public:
    /// For how long a server's word that it leaves is kept: longer than it takes to leave.
    static constexpr Duration kLeavingRetention = milliseconds(600000);

    /// `lapseGrace`: how long a server whose record lapsed while the store was down may take to be
    /// listed again; shorter than the time within which a leaving server must get no more work.
    explicit ReplicaTable(Duration relistTimeout) : m_relistTimeout(relistTimeout) { }
    /// A record without a removal. False if it tells nothing new.
    bool put(const ReplicaRecord &record, TimePoint now) { return put(record, now, now); }
    bool put(const ReplicaRecord &record, TimePoint readAt, TimePoint now);
    /// The server's record was removed, or can't be read; `readAt`: when the first router read so.
    void remove(const BackendId &id, TimePoint readAt, TimePoint now);
    /// The server itself said that another one has its address.
    void markAddressTaken(const BackendId &id);
    /// The server itself said that it leaves, here or to another router. Holds for the incarnation,
    /// listed or not, whatever the list says. False if that was known.
    bool onLeavingAnnounced(const std::string &incarnation, TimePoint now);
    /// Incarnations that said so and became known since the last call.
    std::vector<std::string> takeNewlyLeaving() { return std::exchange(m_newlyLeaving, {}); }

    /// The operator empties a zone: its servers get no new work until it is taken back. False if
    /// that was known.
    bool setEvacuated(const ZoneId &zone, bool isEvacuated);

    bool isAnyZoneEvacuated() const { return !m_evacuated.empty(); }

    /// Between the two, and for the grace after, a missing record does not mean a server that
    /// left.
    void onStoreLost(TimePoint now);
    void onStoreRestored(TimePoint now);
    void tick(TimePoint now);
    /// Servers that ended unannounced since the last call.
    std::vector<EndedReplica> takeUnannouncedEnds() { return std::exchange(m_unannouncedEnds, {}); }

    bool takesWork(const Replica &replica) const
    {
        return !replica.isLeaving && m_evacuated.count(replica.record.zone) == 0;
    }
    /// Servers that take new work, in the order of their ids.
    std::vector<std::shared_ptr<Replica>> serving(const ServiceName &service) const;
    /// Also those that are leaving, or in a zone that is emptied.
    std::vector<std::shared_ptr<Replica>> alive(const ServiceName &service) const;
    std::shared_ptr<Replica> find(const BackendId &id) const;
    std::vector<std::shared_ptr<Replica>> all() const;
    /// Null if no such server takes new work.
    std::shared_ptr<Replica> servingWithHash(const ServiceName &service,
                                             std::uint32_t incarnationHash) const;
    std::size_t size() const { return m_replicas.size(); }

private:
    struct RemovedReplica
    {
        std::uint64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
        TimePoint pausedUntil;
        TimePoint removedAt;
    };

    bool isStale(const ReplicaRecord &record) const;
    void erase(const BackendId &id, TimePoint now);

    Duration m_relistTimeout;
    std::map<BackendId, std::shared_ptr<Replica>> m_replicas;
    std::map<BackendId, RemovedReplica>
        m_removed; ///< Removed ones: a delayed report must not bring them back.
    std::map<std::string, TimePoint> m_leavingSince; ///< By incarnation: when it became known.
    std::vector<std::string> m_newlyLeaving;
    std::set<ZoneId> m_evacuated;
    std::vector<EndedReplica> m_unannouncedEnds;
    bool m_storeLost = false;
    TimePoint m_storeRestoredAt = TimePoint::min();
};

} // namespace comfrey
