// Makes the change that turns the lists in force into the wanted ones.
#include "config/changebetween.h"

#include "config/listrecord.h"

namespace comfrey {

namespace {

template<typename Entry>
bool sameContent(Entry left, const Entry &right)
{
    left.revision = right.revision;
    return left == right;
}

std::unique_ptr<record::BasisT> basisOf(const std::string &key, Revision revision)
{
    auto basis = std::make_unique<record::BasisT>();
    basis->key = key;
    basis->revision = revision.value();
    return basis;
}

/// The difference of one list. Written is the type of the list's entries in records.
template<typename Id, typename Entry, typename Written>
class ListDifference
{
public:
    using EntryMap = std::map<Id, Entry>;

    ListDifference(const char *kind, const EntryMap &inForce, const EntryMap &wanted,
                   Revision editedAt)
    {
        for (const auto &[id, entry] : wanted) {
            const auto found = inForce.find(id);
            const bool exists = found != inForce.end();
            if (exists && sameContent(found->second, entry))
                continue;
            upserts.push_back(toRecord(entry));
            touch(kind, id, exists ? found->second.revision : Revision(), editedAt);
        }
        for (const auto &[id, entry] : inForce) {
            if (wanted.contains(id))
                continue;
            deletes.push_back(id.value());
            touch(kind, id, entry.revision, editedAt);
        }
    }

    std::vector<std::unique_ptr<Written>> upserts;
    std::vector<std::string> deletes;
    std::vector<std::unique_ptr<record::BasisT>> bases;
    std::string overtaken; ///< Names the first entry that changed after the edit began.

private:
    void touch(const char *kind, const Id &id, Revision present, Revision editedAt)
    {
        bases.push_back(basisOf(id.value(), present));
        if (present > editedAt && overtaken.empty())
            overtaken = std::string(kind) + " \"" + id.value() + "\" was changed at revision "
                + std::to_string(present.value());
    }
};

} // namespace

Result<record::ChangeT> changeBetween(const ConfigState &inForce, const Lists &wanted,
                                      const ChangeId &id, const std::string &author)
{
    const Lists &present = inForce.lists;
    const Revision editedAt = wanted.revision.value() == 0 ? present.revision : wanted.revision;
    ListDifference<CustomerId, PlanEntry, record::PlanT> plans("customer", present.plans,
                                                               wanted.plans, editedAt);
    ListDifference<PlanId, EntitlementEntry, record::EntitlementT> entitlements(
        "entitlement of plan", present.entitlements, wanted.entitlements, editedAt);
    for (const std::string &overtaken : {plans.overtaken, entitlements.overtaken}) {
        if (!overtaken.empty())
            return failure(ErrorCode::Conflict,
                           overtaken + ", after revision " + std::to_string(editedAt.value())
                               + ", on which the lists were edited; read the lists again and redo "
                                 "the edit");
    }
    record::ChangeT change;
    change.changeId = id.value();
    change.author = author;
    change.baseOffset = inForce.foldedTo.value();
    change.upsertPlans = std::move(plans.upserts);
    change.deletePlans = std::move(plans.deletes);
    change.planBasis = std::move(plans.bases);
    change.upsertEntitlements = std::move(entitlements.upserts);
    change.deleteEntitlements = std::move(entitlements.deletes);
    change.entitlementBasis = std::move(entitlements.bases);
    return change;
}

bool isEmpty(const record::ChangeT &change)
{
    return change.upsertPlans.empty() && change.deletePlans.empty()
        && change.upsertEntitlements.empty() && change.deleteEntitlements.empty();
}

} // namespace comfrey
