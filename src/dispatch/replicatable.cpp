// Folds records of backend servers.
#include "dispatch/replicatable.h"

#include "placement/ranking.h"

namespace comfrey {

namespace {

constexpr Duration kEndedMemory = milliseconds(60000); ///< Longer than any report is delayed.
/// Bounds memory: more servers leave in no fleet within kLeavingMemory.
constexpr std::size_t kMostLeaving = 16384;

std::string incarnationOf(const ReplicaRecord &record)
{
    return record.id.value() + '@' + std::to_string(record.born);
}

} // namespace

bool ReplicaTable::isStale(const ReplicaRecord &record) const
{
    const auto known = m_replicas.find(record.id);
    if (known != m_replicas.end()) {
        const ReplicaRecord &last = known->second->record;
        return record.born < last.born
            || (record.born == last.born && record.sequence < last.sequence);
    }
    const auto ended = m_ended.find(record.id);
    return ended != m_ended.end()
        && (record.born < ended->second.born
            || (record.born == ended->second.born && record.sequence <= ended->second.sequence));
}

bool ReplicaTable::put(const ReplicaRecord &record, TimePoint readAt, TimePoint now)
{
    if (isStale(record))
        return false;
    auto &replica = m_replicas[record.id];
    const bool isNew = !replica || replica->record.born != record.born;
    if (isNew) {
        if (replica && !replica->isLeaving)
            m_endedUnannounced.push_back({replica->incarnation, TerminationEvidence::Restarted});
        // A restarted server holds nothing of before, and neither does what was known of it.
        replica = std::make_shared<Replica>();
        replica->incarnation = incarnationOf(record);
        replica->incarnationHash = static_cast<std::uint32_t>(hashOf(replica->incarnation));
        replica->load.setSlots(record.slots);
        replica->isLeaving = m_saidLeaving.count(replica->incarnation) > 0;
        if (const auto ended = m_ended.find(record.id);
            ended != m_ended.end() && ended->second.born == record.born)
            replica->pausedUntil = ended->second.pausedUntil;
    }
    const bool changed = isNew || replica->isLeaving != record.isDraining
        || replica->record.address != record.address || replica->record.service != record.service;
    replica->record = record;
    replica->coldUntil = readAt + record.coldFor;
    replica->isLeaving = replica->isLeaving || record.isDraining;
    replica->doubtedUntil = kNever;
    m_ended.erase(record.id);
    (void)now;
    return changed;
}

void ReplicaTable::remove(const BackendId &id, TimePoint readAt, TimePoint now)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    const bool mayHaveLapsed =
        m_storeLost || (m_storeBackAt != TimePoint::min() && now < m_storeBackAt + m_lapseGrace);
    Replica &replica = *found->second;
    if (mayHaveLapsed && !replica.isLeaving && now < readAt + m_lapseGrace) {
        // From when it was read, not from the store's return: only the way to the store may have
        // been cut, and then the server really left.
        if (replica.doubtedUntil == kNever)
            replica.doubtedUntil = readAt + m_lapseGrace;
        return;
    }
    erase(id, now);
}

void ReplicaTable::erase(const BackendId &id, TimePoint now)
{
    const auto found = m_replicas.find(id);
    if (!found->second->isLeaving)
        m_endedUnannounced.push_back(
            {found->second->incarnation, TerminationEvidence::RecordRemoved});
    found->second->isLeaving = true;
    m_ended[id] = {found->second->record.born, found->second->record.sequence,
                   found->second->pausedUntil, now};
    m_replicas.erase(found);
}

void ReplicaTable::disown(const BackendId &id)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end())
        found->second->isLeaving = true;
}

bool ReplicaTable::onSaidLeaving(const std::string &incarnation, TimePoint now)
{
    const auto found = m_replicas.find(BackendId(incarnation.substr(0, incarnation.rfind('@'))));
    if (found != m_replicas.end() && found->second->incarnation == incarnation)
        found->second->isLeaving = true;
    if (m_saidLeaving.size() >= kMostLeaving || !m_saidLeaving.emplace(incarnation, now).second)
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

void ReplicaTable::onStoreBack(TimePoint now)
{
    if (!m_storeLost)
        return;
    m_storeLost = false;
    m_storeBackAt = now;
}

void ReplicaTable::tick(TimePoint now)
{
    std::vector<BackendId> gone;
    for (const auto &[id, replica] : m_replicas) {
        if (replica->doubtedUntil != kNever && now >= replica->doubtedUntil)
            gone.push_back(id);
    }
    for (const BackendId &id : gone)
        erase(id, now);
    std::erase_if(m_ended,
                  [now](const auto &entry) { return now - entry.second.at > kEndedMemory; });
    std::erase_if(m_saidLeaving,
                  [now](const auto &entry) { return now - entry.second > kLeavingMemory; });
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

std::shared_ptr<Replica> ReplicaTable::servingBy(const ServiceName &service,
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
