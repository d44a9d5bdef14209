// Applies records, removals and leaving announcements of backend servers.
#include "dispatch/replicatable.h"

#include "placement/ranking.h"

namespace comfrey {

namespace {

constexpr Duration kRemovedRetention = milliseconds(60000); ///< Longer than any delay of a report.
/// Limits memory use. No fleet has more servers that leave within ReplicaTable::kLeavingRetention.
constexpr std::size_t kMaxLeaving = 16384;

std::string incarnationOf(const ReplicaRecord &record)
{
    return record.id.value() + '@' + std::to_string(record.startedAtMs);
}

} // namespace

bool ReplicaTable::isStale(const ReplicaRecord &record) const
{
    const auto known = m_replicas.find(record.id);
    if (known != m_replicas.end()) {
        const ReplicaRecord &last = known->second->record;
        return record.startedAtMs < last.startedAtMs
            || (record.startedAtMs == last.startedAtMs && record.sequence < last.sequence);
    }
    const auto removed = m_removed.find(record.id);
    return removed != m_removed.end()
        && (record.startedAtMs < removed->second.startedAtMs
            || (record.startedAtMs == removed->second.startedAtMs
                && (record.sequence < removed->second.sequence
                    || (record.sequence == removed->second.sequence
                        && !removed->second.isInDoubt))));
}

bool ReplicaTable::put(const ReplicaRecord &record, TimePoint readAt, TimePoint now)
{
    if (isStale(record))
        return false;
    auto &replica = m_replicas[record.id];
    const bool isNew = !replica || replica->record.startedAtMs != record.startedAtMs;
    if (isNew) {
        if (replica && !replica->isLeaving)
            m_unannouncedEnds.push_back({replica->incarnation, TerminationEvidence::Restarted});
        // A restarted server has lost its state, so its health and load start afresh too.
        replica = std::make_shared<Replica>();
        replica->incarnation = incarnationOf(record);
        replica->incarnationHash = static_cast<std::uint32_t>(hashOf(replica->incarnation));
        replica->load.setSlots(record.slots);
        replica->isLeaving = m_leavingSince.count(replica->incarnation) > 0;
        if (const auto removed = m_removed.find(record.id); removed != m_removed.end()) {
            if (removed->second.startedAtMs == record.startedAtMs)
                replica->pausedUntil = removed->second.pausedUntil;
            else
                confirmEnd(removed->second, TerminationEvidence::Restarted);
        }
    }
    const bool changed = isNew || replica->isLeaving != record.isDraining
        || replica->record.address != record.address || replica->record.service != record.service;
    replica->record = record;
    replica->coldUntil = readAt + record.coldDuration;
    replica->isLeaving = replica->isLeaving || record.isDraining;
    replica->unconfirmedUntil = kNever;
    m_removed.erase(record.id);
    (void)now;
    return changed;
}

void ReplicaTable::remove(const BackendId &id, TimePoint readAt, TimePoint now, bool isInDoubt)
{
    const bool mayHaveExpired = m_storeLost
        || (m_storeRestoredAt != TimePoint::min() && now < m_storeRestoredAt + m_relistTimeout);
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end()) {
        const auto removed = m_removed.find(id);
        if (removed == m_removed.end() || isInDoubt)
            return;
        if (mayHaveExpired)
            removed->second.endInDoubt.clear();
        confirmEnd(removed->second, TerminationEvidence::RecordRemoved);
        return;
    }
    Replica &replica = *found->second;
    if (mayHaveExpired && !replica.isLeaving && now < readAt + m_relistTimeout) {
        // The timeout counts from the read, not from the store's recovery: possibly only this
        // router's connection to the store was cut, and then the server really left.
        replica.isRemovalInDoubt = isInDoubt;
        if (replica.unconfirmedUntil == kNever)
            replica.unconfirmedUntil = readAt + m_relistTimeout;
        return;
    }
    erase(id, now, isInDoubt);
}

void ReplicaTable::erase(const BackendId &id, TimePoint now, bool isInDoubt)
{
    const auto found = m_replicas.find(id);
    const std::string ended = found->second->isLeaving ? "" : found->second->incarnation;
    found->second->isLeaving = true;
    RemovedReplica &removed = m_removed[id];
    removed = {found->second->record.startedAtMs,
               found->second->record.sequence,
               found->second->pausedUntil,
               now,
               ended,
               true};
    if (!isInDoubt)
        confirmEnd(removed, TerminationEvidence::RecordRemoved);
    m_replicas.erase(found);
}

void ReplicaTable::confirmEnd(RemovedReplica &removed, TerminationEvidence evidence)
{
    removed.isInDoubt = false;
    const std::string ended = std::exchange(removed.endInDoubt, std::string());
    if (!ended.empty() && m_leavingSince.count(ended) == 0)
        m_unannouncedEnds.push_back({ended, evidence});
}

void ReplicaTable::markAddressTaken(const BackendId &id)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end())
        found->second->isLeaving = true;
}

bool ReplicaTable::onLeavingAnnounced(const std::string &incarnation, TimePoint now)
{
    const auto found = m_replicas.find(BackendId(incarnation.substr(0, incarnation.rfind('@'))));
    if (found != m_replicas.end() && found->second->incarnation == incarnation)
        found->second->isLeaving = true;
    if (m_leavingSince.size() >= kMaxLeaving || !m_leavingSince.emplace(incarnation, now).second)
        return false;
    m_newlyLeaving.push_back(incarnation);
    return true;
}

bool ReplicaTable::setEvacuated(const ZoneId &zone, bool isEvacuated)
{
    return isEvacuated ? m_evacuated.insert(zone).second : m_evacuated.erase(zone) > 0;
}

void ReplicaTable::onStoreLost(TimePoint)
{
    m_storeLost = true;
}

void ReplicaTable::onStoreRestored(TimePoint now)
{
    if (!m_storeLost)
        return;
    m_storeLost = false;
    m_storeRestoredAt = now;
}

void ReplicaTable::tick(TimePoint now)
{
    std::vector<BackendId> expired;
    for (const auto &[id, replica] : m_replicas) {
        if (replica->unconfirmedUntil != kNever && now >= replica->unconfirmedUntil)
            expired.push_back(id);
    }
    for (const BackendId &id : expired)
        erase(id, now, m_replicas.at(id)->isRemovalInDoubt);
    std::erase_if(m_removed, [now](const auto &entry) {
        return now - entry.second.removedAt > kRemovedRetention;
    });
    std::erase_if(m_leavingSince,
                  [now](const auto &entry) { return now - entry.second > kLeavingRetention; });
}

std::vector<std::shared_ptr<Replica>> ReplicaTable::serving(const ServiceName &service) const
{
    std::vector<std::shared_ptr<Replica>> found;
    for (const auto &[id, replica] : m_replicas) {
        if (takesWork(*replica) && replica->record.service == service)
            found.push_back(replica);
    }
    return found;
}

std::shared_ptr<Replica> ReplicaTable::servingWithHash(const ServiceName &service,
                                                       std::uint32_t incarnationHash) const
{
    for (const auto &replica : serving(service)) {
        if (replica->incarnationHash == incarnationHash)
            return replica;
    }
    return nullptr;
}

std::vector<std::shared_ptr<Replica>> ReplicaTable::alive(const ServiceName &service) const
{
    std::vector<std::shared_ptr<Replica>> found;
    for (const auto &[id, replica] : m_replicas) {
        if (replica->record.service == service)
            found.push_back(replica);
    }
    return found;
}

std::shared_ptr<Replica> ReplicaTable::find(const BackendId &id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<Replica>> ReplicaTable::all() const
{
    std::vector<std::shared_ptr<Replica>> replicas;
    for (const auto &[id, replica] : m_replicas)
        replicas.push_back(replica);
    return replicas;
}

} // namespace comfrey
