// The claims of one partition, folded from the records of its stream.
#include "outcome/claimtable.h"

namespace comfrey {

namespace {

/// True if the key's last claim certainly did not run and `claim` builds on that knowledge.
bool isFreedFor(const ClaimState &state, const record::ClaimT &claim)
{
    return state.outcome && state.outcome->outcome == Outcome::NotRun
        && state.outcome->offset.value() == claim.basedOn && state.requestHash == claim.requestHash;
}

Outcome outcomeFrom(std::uint8_t value)
{
    return value <= static_cast<std::uint8_t>(Outcome::Unknown) ? static_cast<Outcome>(value)
                                                                : Outcome::Unknown;
}

} // namespace

ClaimKey keyOf(const record::ClaimT &claim)
{
    return {CustomerId(claim.customer), IdempotencyKey(claim.key)};
}

ClaimId idOf(const record::ClaimT &claim)
{
    return {RouterId(claim.router), Incarnation(claim.incarnation), claim.attempt};
}

ClaimKey keyOf(const record::ClaimOutcomeT &outcome)
{
    return {CustomerId(outcome.customer), IdempotencyKey(outcome.key)};
}

ClaimId idOf(const record::ClaimOutcomeT &outcome)
{
    return {RouterId(outcome.router), Incarnation(outcome.incarnation), outcome.attempt};
}

void ClaimTable::apply(LogOffset offset, const record::RecordT &record)
{
    m_foldedTo = offset;
    for (const auto &item : record.items) {
        if (item == nullptr)
            continue;
        if (const auto *claim = item->entry.AsClaim())
            applyClaim(offset, *claim);
        else if (const auto *outcome = item->entry.AsClaimOutcome())
            applyOutcome(offset, *outcome);
    }
}

void ClaimTable::restart(UnixMs floor)
{
    m_claims.clear();
    m_floor = std::max(m_floor, floor);
    m_opaqueKnown = false;
}

void ClaimTable::prune(UnixMs floor)
{
    if (floor <= m_floor)
        return;
    m_floor = floor;
    std::erase_if(m_claims, [floor](const auto &entry) {
        return entry.second.issued != 0 && entry.second.issued < floor;
    });
}

std::optional<Verdict> ClaimTable::verdictOn(const record::ClaimT &claim) const
{
    if (claim.basedOn > m_foldedTo.value())
        return std::nullopt;
    const ClaimState *state = find(keyOf(claim));
    if (state == nullptr) {
        if (covers(claim))
            return std::nullopt;
        return Verdict{VerdictKind::Expired, {}};
    }
    if (state->holder == idOf(claim))
        return Verdict{VerdictKind::Won, *state};
    if (isFreedFor(*state, claim))
        return std::nullopt;
    return Verdict{VerdictKind::Lost, *state};
}

std::optional<Verdict> ClaimTable::verdictOn(const record::ClaimOutcomeT &outcome) const
{
    if (outcome.claimOffset > m_foldedTo.value())
        return std::nullopt;
    const ClaimState *state = find(keyOf(outcome));
    const bool holds = state != nullptr && state->offset.value() == outcome.claimOffset;
    if (holds && !state->outcome)
        return std::nullopt;
    return Verdict{VerdictKind::Recorded, state == nullptr ? ClaimState{} : *state};
}

const ClaimState *ClaimTable::find(const ClaimKey &key) const
{
    const auto found = m_claims.find(key);
    return found == m_claims.end() ? nullptr : &found->second;
}

void ClaimTable::applyClaim(LogOffset offset, const record::ClaimT &claim)
{
    const auto found = m_claims.find(keyOf(claim));
    const bool wins = found == m_claims.end() ? covers(claim) : isFreedFor(found->second, claim);
    if (!wins)
        return;
    m_claims[keyOf(claim)] =
        ClaimState{idOf(claim), offset, claim.requestHash, claim.issuedMs, std::nullopt};
}

void ClaimTable::applyOutcome(LogOffset offset, const record::ClaimOutcomeT &outcome)
{
    const auto found = m_claims.find(keyOf(outcome));
    if (found == m_claims.end() || found->second.offset.value() != outcome.claimOffset)
        return;
    if (found->second.outcome)
        return;
    found->second.outcome =
        RecordedOutcome{outcomeFrom(outcome.outcome), offset, static_cast<int>(outcome.status),
                        outcome.body, outcome.contentType};
}

bool ClaimTable::covers(const record::ClaimT &claim) const
{
    if (claim.basedOn != 0)
        return false;
    return claim.issuedMs == 0 ? m_opaqueKnown : claim.issuedMs >= m_floor;
}

} // namespace comfrey
