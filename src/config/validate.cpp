// The rules of the two lists, for one entry, for a change and for whole lists.
#include "config/validate.h"

#include <algorithm>
#include <map>
#include <set>

#include "config/listrecord.h"

namespace comfrey {

namespace {

constexpr std::size_t kNameLimit = 128;        // Characters of a name.
constexpr std::size_t kChangeEntryLimit = 500; // Entries that one change touches.
constexpr std::size_t kNamesPerEntryLimit = 256;
constexpr std::uint32_t kShareLimit = 1000000;
constexpr std::size_t kKeyHashLength = 64; // Hex digits of SHA-256.
constexpr Duration kContractLimit = std::chrono::hours(1);

std::string quoted(const std::string &name)
{
    return '"' + name + '"';
}

tl::unexpected<Error> invalid(const std::string &text)
{
    return failure(ErrorCode::InvalidList, text);
}

bool isName(const std::string &text)
{
    const auto printable = [](char c) { return c > ' ' && c < 127 && c != '"' && c != '\\'; };
    return !text.empty() && text.size() <= kNameLimit
        && std::all_of(text.begin(), text.end(), printable);
}

bool isKeyHash(const std::string &text)
{
    const auto isHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == kKeyHashLength && std::all_of(text.begin(), text.end(), isHex);
}

template<typename Id>
Result<void> checkNames(const std::vector<Id> &names, const std::string &owner, const char *kind)
{
    if (names.size() > kNamesPerEntryLimit)
        return invalid(owner + " has more than " + std::to_string(kNamesPerEntryLimit) + " " + kind
                       + "s");
    for (const Id &name : names) {
        if (!isName(name.value()))
            return invalid(owner + " has a malformed " + kind + " name " + quoted(name.value()));
    }
    return {};
}

Result<void> checkEntry(const PlanEntry &entry)
{
    const std::string owner = "customer " + quoted(entry.customer.value());
    if (!isName(entry.customer.value()))
        return invalid("malformed customer name " + quoted(entry.customer.value()));
    if (!isName(entry.plan.value()))
        return invalid(owner + " has a malformed plan name " + quoted(entry.plan.value()));
    if (entry.share < 1 || entry.share > kShareLimit)
        return invalid(owner + " has a share outside 1 to " + std::to_string(kShareLimit));
    for (const Duration &promise : {entry.contract.firstToken, entry.contract.betweenTokens}) {
        if (promise <= Duration::zero() || promise > kContractLimit)
            return invalid(owner + " has a contracted time outside 0 to 1 hour");
    }
    if (entry.keys.size() > kNamesPerEntryLimit)
        return invalid(owner + " has too many keys");
    if (!std::all_of(entry.keys.begin(), entry.keys.end(),
                     [](const ApiKeyHash &key) { return isKeyHash(key.value()); }))
        return invalid(owner + " has a key that is not a lower-case hex SHA-256");
    return {};
}

Result<void> checkEntry(const EntitlementEntry &entry)
{
    const std::string owner = "entitlement of plan " + quoted(entry.plan.value());
    if (!isName(entry.plan.value()))
        return invalid("malformed plan name " + quoted(entry.plan.value()));
    Result<void> result = checkNames(entry.models, owner, "model");
    if (result)
        result = checkNames(entry.adapters, owner, "adapter");
    if (result)
        result = checkNames(entry.services, owner, "service");
    if (!result)
        return result;
    const PlanLimits &limits = entry.limits;
    for (const std::uint32_t limit : {limits.requestsInFlight, limits.requestsPerSecond,
                                      limits.promptTokens, limits.outputTokens, limits.bodyBytes}) {
        if (limit == 0)
            return invalid(owner + " has a limit of 0");
    }
    return {};
}

/// Checks what concerns both lists together.
Result<void> checkTogether(const Lists &lists)
{
    std::map<ApiKeyHash, CustomerId> owners;
    for (const auto &[customer, entry] : lists.plans) {
        if (!lists.entitlements.contains(entry.plan))
            return invalid("customer " + quoted(customer.value()) + " has plan "
                           + quoted(entry.plan.value()) + ", which has no entitlement");
        for (const ApiKeyHash &key : entry.keys) {
            const auto [owner, isNew] = owners.emplace(key, customer);
            if (!isNew)
                return invalid("customers " + quoted(owner->second.value()) + " and "
                               + quoted(customer.value()) + " have the same key, or one twice");
        }
    }
    return {};
}

/// The entries of one list that a change touches, with the revision that each was based on.
class TouchedEntries
{
public:
    TouchedEntries(const char *kind, const std::vector<std::unique_ptr<record::BasisT>> &bases)
        : m_kind(kind)
    {
        for (const auto &basis : bases)
            m_duplicate = !m_bases.emplace(basis->key, basis->revision).second || m_duplicate;
    }

    void touch(const std::string &key) { m_duplicate = !m_keys.insert(key).second || m_duplicate; }

    std::size_t size() const { return m_keys.size(); }

    Result<void> checkShape() const
    {
        const auto sameKey = [](const std::string &key, const auto &basis) {
            return key == basis.first;
        };
        const bool same = m_keys.size() == m_bases.size()
            && std::equal(m_keys.begin(), m_keys.end(), m_bases.begin(), sameKey);
        if (m_duplicate || !same)
            return invalid(std::string("the change does not name each touched ") + m_kind
                           + " once with the revision that it was based on");
        return {};
    }

    /// `revisionOf` gives the present revision of an entry, 0 if there is none.
    template<typename RevisionOf>
    Result<void> checkBases(const ConfigState &state, const RevisionOf &revisionOf) const
    {
        for (const auto &[key, basis] : m_bases) {
            const Revision present = revisionOf(key);
            if (present != Revision(basis))
                return conflict(state, key, Revision(basis), present);
        }
        return {};
    }

private:
    tl::unexpected<Error> conflict(const ConfigState &state, const std::string &key, Revision basis,
                                   Revision present) const
    {
        std::string text = m_kind + (" " + quoted(key));
        if (present.value() == 0) {
            text += " was deleted";
        } else {
            text += " was changed by ";
            const SeenChange *winner = state.findRevision(present);
            text += winner == nullptr
                ? std::string("a change")
                : "change " + quoted(winner->change.value()) + " of " + quoted(winner->author);
            text += " (revision " + std::to_string(present.value()) + ")";
        }
        text += " after revision " + std::to_string(basis.value())
            + ", on which this change was based; read the lists again, redo the edit and publish "
              "it "
              "with a new change id";
        return failure(ErrorCode::Conflict, std::move(text));
    }

    const char *m_kind;
    std::map<std::string, std::uint64_t> m_bases;
    std::set<std::string> m_keys;
    bool m_duplicate = false; ///< A key was named twice.
};

TouchedEntries touchedPlans(const record::ChangeT &change)
{
    TouchedEntries touched("customer", change.planBasis);
    for (const auto &plan : change.upsertPlans)
        touched.touch(plan->customer);
    for (const std::string &customer : change.deletePlans)
        touched.touch(customer);
    return touched;
}

TouchedEntries touchedEntitlements(const record::ChangeT &change)
{
    TouchedEntries touched("entitlement of plan", change.entitlementBasis);
    for (const auto &entitlement : change.upsertEntitlements)
        touched.touch(entitlement->plan);
    for (const std::string &plan : change.deleteEntitlements)
        touched.touch(plan);
    return touched;
}

/// The present revision of an entry, or 0.
template<typename Id, typename Entry>
auto revisionIn(const std::map<Id, Entry> &entries)
{
    return [&entries](const std::string &key) {
        const auto found = entries.find(Id(key));
        return found == entries.end() ? Revision() : found->second.revision;
    };
}

Result<void> checkBases(const record::ChangeT &change, const ConfigState &state)
{
    const TouchedEntries plans = touchedPlans(change);
    const TouchedEntries entitlements = touchedEntitlements(change);
    const std::size_t touched = plans.size() + entitlements.size();
    if (touched == 0 || touched > kChangeEntryLimit)
        return invalid("the change touches " + std::to_string(touched) + " entries, not 1 to "
                       + std::to_string(kChangeEntryLimit));
    Result<void> result = plans.checkShape();
    if (result)
        result = entitlements.checkShape();
    if (result)
        result = plans.checkBases(state, revisionIn(state.lists.plans));
    if (result)
        result = entitlements.checkBases(state, revisionIn(state.lists.entitlements));
    return result;
}

Result<Lists> applied(const record::ChangeT &change, const Lists &before)
{
    Lists lists = before;
    lists.revision = before.revision.next();
    for (const auto &plan : change.upsertPlans) {
        PlanEntry entry = fromRecord(*plan);
        entry.revision = lists.revision;
        if (const Result<void> checked = checkEntry(entry); !checked)
            return tl::make_unexpected(checked.error());
        lists.plans.insert_or_assign(entry.customer, std::move(entry));
    }
    for (const auto &entitlement : change.upsertEntitlements) {
        EntitlementEntry entry = fromRecord(*entitlement);
        entry.revision = lists.revision;
        if (const Result<void> checked = checkEntry(entry); !checked)
            return tl::make_unexpected(checked.error());
        lists.entitlements.insert_or_assign(entry.plan, std::move(entry));
    }
    for (const std::string &customer : change.deletePlans)
        lists.plans.erase(CustomerId(customer));
    for (const std::string &plan : change.deleteEntitlements)
        lists.entitlements.erase(PlanId(plan));
    return lists;
}

} // namespace

Result<Lists> validate(const record::ChangeT &change, const ConfigState &state)
{
    if (!isName(change.changeId))
        return invalid("malformed change id " + quoted(change.changeId));
    if (LogOffset(change.baseOffset) < state.forgottenTo)
        return failure(
            ErrorCode::Conflict,
            "change " + quoted(change.changeId) + " was made at offset "
                + std::to_string(change.baseOffset)
                + ", too long ago to tell it from a copy of a forgotten change; read the "
                  "lists again and redo the edit with a new change id");
    if (const Result<void> checked = checkBases(change, state); !checked)
        return tl::make_unexpected(checked.error());
    Result<Lists> lists = applied(change, state.lists);
    if (!lists)
        return lists;
    if (const Result<void> checked = checkTogether(*lists); !checked)
        return tl::make_unexpected(checked.error());
    return lists;
}

Result<void> validateLists(const Lists &lists)
{
    for (const auto &[customer, entry] : lists.plans) {
        if (Result<void> checked = checkEntry(entry); !checked)
            return checked;
    }
    for (const auto &[plan, entry] : lists.entitlements) {
        if (Result<void> checked = checkEntry(entry); !checked)
            return checked;
    }
    return checkTogether(lists);
}

} // namespace comfrey
