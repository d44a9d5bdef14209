// Snapshots of the state of the stream "config".
#include "config/snapshot.h"

#include "config/listrecord.h"
#include "config/validate.h"

namespace comfrey {

namespace {

std::unique_ptr<record::SeenChangeT> toRecord(const SeenChange &change)
{
    auto written = std::make_unique<record::SeenChangeT>();
    written->changeId = change.change.value();
    written->revision = change.revision.value();
    written->offset = change.offset.value();
    written->author = change.author;
    written->refusal = change.refusal;
    return written;
}

SeenChange fromRecord(const record::SeenChangeT &change)
{
    return {ChangeId(change.changeId), change.author, Revision(change.revision),
            LogOffset(change.offset), change.refusal};
}

ConfigState stateOf(const record::ConfigSnapshotT &snapshot)
{
    ConfigState state;
    state.foldedTo = LogOffset(snapshot.foldedTo);
    state.forgottenTo = LogOffset(snapshot.forgottenTo);
    state.lists.revision = Revision(snapshot.revision);
    for (const auto &plan : snapshot.plans) {
        PlanEntry entry = comfrey::fromRecord(*plan);
        state.lists.plans.insert_or_assign(entry.customer, std::move(entry));
    }
    for (const auto &entitlement : snapshot.entitlements) {
        EntitlementEntry entry = comfrey::fromRecord(*entitlement);
        state.lists.entitlements.insert_or_assign(entry.plan, std::move(entry));
    }
    for (const auto &change : snapshot.seen)
        state.seen.push_back(fromRecord(*change));
    return state;
}

} // namespace

record::RecordT snapshotOf(const ConfigState &state, const std::string &writer)
{
    record::ConfigSnapshotT snapshot;
    snapshot.foldedTo = state.foldedTo.value();
    snapshot.forgottenTo = state.forgottenTo.value();
    snapshot.revision = state.lists.revision.value();
    for (const auto &[customer, entry] : state.lists.plans)
        snapshot.plans.push_back(comfrey::toRecord(entry));
    for (const auto &[plan, entry] : state.lists.entitlements)
        snapshot.entitlements.push_back(comfrey::toRecord(entry));
    for (const SeenChange &change : state.seen)
        snapshot.seen.push_back(toRecord(change));
    record::RecordT record;
    record.id = "snapshot-" + std::to_string(snapshot.foldedTo);
    record.writer = writer;
    auto item = std::make_unique<record::ItemT>();
    item->entry.Set(std::move(snapshot));
    record.items.push_back(std::move(item));
    return record;
}

bool adoptSnapshot(ConfigState &state, const record::ConfigSnapshotT &snapshot)
{
    const LogOffset foldedTo(snapshot.foldedTo);
    if (foldedTo <= state.foldedTo || Revision(snapshot.revision) < state.lists.revision)
        return false;
    ConfigState newer = stateOf(snapshot);
    if (!validateLists(newer.lists))
        return false;
    state = std::move(newer);
    return true;
}

const record::ConfigSnapshotT *snapshotIn(const record::RecordT &record)
{
    for (const auto &item : record.items) {
        if (const auto *snapshot = item->entry.AsConfigSnapshot(); snapshot != nullptr)
            return snapshot;
    }
    return nullptr;
}

} // namespace comfrey
