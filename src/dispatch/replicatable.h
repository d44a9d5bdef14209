// Table of the backend servers in the platform's list. The list arrives as single records, which
// can be late or out of order and which expire while the platform's store is unavailable.
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

/// What a backend server reports about itself.
struct ReplicaRecord
{
    BackendId id;
    ServiceName service;
    Endpoint address;
    ZoneId zone;
    std::uint32_t slots = 1;
    bool isDraining = false;
    std::uint64_t sequence = 0;    ///< Number of the server's reports since its start.
    std::uint64_t startedAtMs = 0; ///< Start of the server process, in Unix milliseconds.
    Duration coldDuration{
        0}; ///< Counted from the report; a cold server can take only few requests.
};

/// A backend server and what this router knows about it.
struct Replica
{
    ReplicaRecord record;
    std::string incarnation; ///< The id and the start time: a restart makes a new incarnation.
    std::uint32_t incarnationHash =
        0;                  ///< Hash of `incarnation`, by which routers refer to the server.
    bool isLeaving = false; ///< Accepts no new work.
    TimePoint unconfirmedUntil =
        kNever;                    ///< Its record expired with the store; removed at this time.
    bool isRemovalInDoubt = false; ///< While it is unconfirmed.
    /// The server asked this router to send no requests before this time.
    TimePoint pausedUntil = TimePoint::min();
    TimePoint coldUntil = TimePoint::min(); ///< Can take only few requests before this time.
    ReplicaHealth health;
    ReplicaLoad load;
};

/// A server that ended without having announced that it leaves.
struct EndedReplica
{
    std::string incarnation;
    TerminationEvidence evidence = TerminationEvidence::RecordRemoved;
};

/// Keeps the newest record of each backend server and decides which servers accept new work.
class ReplicaTable
{
public:
    /// How long a leaving announcement is kept; longer than a server takes to leave.
    static constexpr Duration kLeavingRetention = milliseconds(600000);

    /// `relistTimeout`: how long a server whose record expired while the store was unavailable may
    /// take to be listed again. Must be shorter than the time within which a leaving server has to
    /// stop receiving work.
    explicit ReplicaTable(Duration relistTimeout) : m_relistTimeout(relistTimeout) { }
    /// Adds or updates a server whose record was read just now.
    bool put(const ReplicaRecord &record, TimePoint now) { return put(record, now, now); }
    /// Adds or updates a server. Older records than the known one are ignored. `readAt`: when the
    /// record was read from the store. Returns false if nothing that matters to routing changed.
    bool put(const ReplicaRecord &record, TimePoint readAt, TimePoint now);
    /// The server's record was removed or is unreadable. `readAt`: when a router first read this
    /// from the store. A removal in doubt is no evidence of an end, and the same record brings the
    /// server back.
    void remove(const BackendId &id, TimePoint readAt, TimePoint now, bool isInDoubt = false);
    /// Another server answered at the address of this one, which gets no more work.
    void markAddressTaken(const BackendId &id);
    /// The server announced to this or to another router that it leaves. Applies to the incarnation
    /// whether it is listed or not, and overrides the list. Returns false if this was known or too
    /// many announcements are kept.
    bool onLeavingAnnounced(const std::string &incarnation, TimePoint now);
    /// Incarnations whose leaving announcement became known since the last call.
    std::vector<std::string> takeNewlyLeaving() { return std::exchange(m_newlyLeaving, {}); }

    /// The operator evacuated or restored a zone. Servers of an evacuated zone get no new work.
    /// Returns false if the zone was in this state already.
    bool setEvacuated(const ZoneId &zone, bool isEvacuated);

    bool isAnyZoneEvacuated() const { return !m_evacuated.empty(); }

    /// The store became unavailable. From then until onStoreRestored(), and for the relist timeout
    /// after that, a missing record does not mean that the server left.
    void onStoreLost(TimePoint now);
    /// The store is available again.
    void onStoreRestored(TimePoint now);
    /// Removes servers that stayed unconfirmed for too long, and expired retentions.
    void tick(TimePoint now);
    /// Servers that ended since the last call without announcing it.
    std::vector<EndedReplica> takeUnannouncedEnds() { return std::exchange(m_unannouncedEnds, {}); }

    /// True if the server accepts new work: it is not leaving and its zone is not evacuated.
    bool takesWork(const Replica &replica) const
    {
        return !replica.isLeaving && m_evacuated.count(replica.record.zone) == 0;
    }
    /// Servers of the service that accept new work, in the order of their ids.
    std::vector<std::shared_ptr<Replica>> serving(const ServiceName &service) const;
    /// All servers of the service, including leaving ones and those of evacuated zones.
    std::vector<std::shared_ptr<Replica>> alive(const ServiceName &service) const;
    /// Null if the server is not listed.
    std::shared_ptr<Replica> find(const BackendId &id) const;
    std::vector<std::shared_ptr<Replica>> all() const;
    /// The server with this incarnation hash; null if no such server accepts new work.
    std::shared_ptr<Replica> servingWithHash(const ServiceName &service,
                                             std::uint32_t incarnationHash) const;
    std::size_t size() const { return m_replicas.size(); }

private:
    /// What is kept about a removed server, against delayed reports of it.
    struct RemovedReplica
    {
        std::uint64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
        TimePoint pausedUntil;
        TimePoint removedAt;
        /// Of a removal in doubt: the incarnation, if it had not announced its end; else empty.
        std::string endInDoubt;
        bool isInDoubt = false;
    };

    /// True if a newer record of the server, or its removal, is known.
    bool isStale(const ReplicaRecord &record) const;
    void erase(const BackendId &id, TimePoint now, bool isInDoubt);
    /// The server that was removed in doubt has ended.
    void confirmEnd(RemovedReplica &removed, TerminationEvidence evidence);

    Duration m_relistTimeout;
    std::map<BackendId, std::shared_ptr<Replica>> m_replicas;
    std::map<BackendId, RemovedReplica>
        m_removed; ///< A delayed report must not bring a removed server back.
    std::map<std::string, TimePoint>
        m_leavingSince; ///< By incarnation: when its announcement became known.
    std::vector<std::string> m_newlyLeaving;
    std::set<ZoneId> m_evacuated;
    std::vector<EndedReplica> m_unannouncedEnds;
    bool m_storeLost = false;
    TimePoint m_storeRestoredAt = TimePoint::min();
};

} // namespace comfrey
