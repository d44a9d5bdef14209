// The fold of the stream "config".
#include "config/fold.h"

#include "config/validate.h"
#include "wire/envelope.h"

namespace comfrey {

namespace {

constexpr std::size_t kRefusalLimit = 400; // Bytes of a refusal kept with its change.

void remember(ConfigState &state, SeenChange change)
{
    state.seen.push_back(std::move(change));
    while (state.seen.size() > kSeenChangesKept) {
        state.forgottenTo = state.seen.front().offset;
        state.seen.pop_front();
    }
}

FoldResult duplicateOf(const SeenChange &first, LogOffset offset)
{
    return {FoldKind::Duplicate, offset, first.change, first.revision, first.refusal};
}

FoldResult foldChange(ConfigState &state, LogOffset offset, const record::ChangeT &change)
{
    const ChangeId id(change.changeId);
    if (const SeenChange *first = state.find(id); first != nullptr)
        return duplicateOf(*first, offset);
    Result<Lists> lists = validate(change, state);
    if (lists) {
        state.lists = std::move(*lists);
        remember(state, {id, change.author, state.lists.revision, offset, {}});
        return {FoldKind::Accepted, offset, id, state.lists.revision, {}};
    }
    const std::string text = lists.error().text.substr(0, kRefusalLimit);
    // A change made before forgottenTo is refused for good without being remembered.
    if (LogOffset(change.baseOffset) >= state.forgottenTo)
        remember(state, {id, change.author, {}, offset, text});
    return {FoldKind::Refused, offset, id, {}, text};
}

FoldResult foldItem(ConfigState &state, LogOffset offset, const record::ItemT &item)
{
    if (const auto *change = item.entry.AsChange(); change != nullptr)
        return foldChange(state, offset, *change);
    if (item.entry.AsConfigSnapshot() != nullptr)
        return {FoldKind::Snapshot, offset, {}, {}, {}};
    return {FoldKind::Skipped, offset, {}, {}, "the item is of another kind"};
}

} // namespace

std::vector<FoldResult> foldRecord(ConfigState &state, LogOffset offset,
                                   const record::RecordT &record)
{
    std::vector<FoldResult> results;
    for (const auto &item : record.items)
        results.push_back(foldItem(state, offset, *item));
    state.foldedTo = offset;
    return results;
}

std::vector<FoldResult> foldPayload(ConfigState &state, LogOffset offset, const Bytes &payload)
{
    const Result<record::RecordT> record = decodeRecord(payload);
    if (record)
        return foldRecord(state, offset, *record);
    state.foldedTo = offset;
    return {{FoldKind::Skipped, offset, {}, {}, record.error().text}};
}

record::RecordT recordOf(const record::ChangeT &change)
{
    record::RecordT record;
    record.id = change.changeId;
    record.writer = change.author;
    auto item = std::make_unique<record::ItemT>();
    item->entry.Set(record::ChangeT(change));
    record.items.push_back(std::move(item));
    return record;
}

} // namespace comfrey
