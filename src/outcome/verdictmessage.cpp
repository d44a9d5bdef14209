// Verdicts on claims as messages between routers.
#include "outcome/verdictmessage.h"

namespace comfrey {

namespace {

constexpr std::uint8_t kOutcomeBit = 0x80; ///< In `kind`: the verdict is about an outcome.

void writeOutcome(wire::ClaimVerdictT &message, const RecordedOutcome &outcome)
{
    message.outcome = static_cast<std::uint8_t>(outcome.outcome) + 1;
    message.outcomeOffset = outcome.offset.value();
    message.status = static_cast<std::uint32_t>(outcome.status);
    message.body = outcome.body;
    message.contentType = outcome.contentType;
}

RecordedOutcome readOutcome(const wire::ClaimVerdictT &message)
{
    const auto last = static_cast<std::uint8_t>(Outcome::Unknown);
    const std::uint8_t value = message.outcome - 1;
    return {value <= last ? static_cast<Outcome>(value) : Outcome::Unknown,
            LogOffset(message.outcomeOffset), static_cast<int>(message.status), message.body,
            message.contentType};
}

} // namespace

wire::ClaimVerdictT toMessage(const ClaimDecision &decision)
{
    wire::ClaimVerdictT message;
    message.attempt = decision.id.number;
    message.incarnation = decision.id.incarnation.value();
    message.kind =
        static_cast<std::uint8_t>(decision.verdict.kind) | (decision.isOutcome ? kOutcomeBit : 0);
    const ClaimState &state = decision.verdict.state;
    message.holderRouter = state.holder.router.value();
    message.holderIncarnation = state.holder.incarnation.value();
    message.holderAttempt = state.holder.number;
    message.claimOffset = state.offset.value();
    message.requestHash = state.requestHash;
    if (state.outcome && !decision.isOutcome)
        writeOutcome(message, *state.outcome);
    return message;
}

ClaimDecision fromMessage(const wire::ClaimVerdictT &message, std::uint32_t partition,
                          const RouterId &receiver)
{
    ClaimDecision decision;
    decision.partition = partition;
    decision.id = {receiver, Incarnation(message.incarnation), message.attempt};
    decision.isOutcome = (message.kind & kOutcomeBit) != 0;
    const std::uint8_t kind = message.kind & static_cast<std::uint8_t>(~kOutcomeBit);
    const bool isKnown = kind <= static_cast<std::uint8_t>(VerdictKind::Recorded);
    decision.verdict.kind = isKnown ? static_cast<VerdictKind>(kind) : VerdictKind::Unavailable;
    ClaimState &state = decision.verdict.state;
    state.holder = {RouterId(message.holderRouter), Incarnation(message.holderIncarnation),
                    message.holderAttempt};
    state.offset = LogOffset(message.claimOffset);
    state.requestHash = message.requestHash;
    if (message.outcome != 0)
        state.outcome = readOutcome(message);
    return decision;
}

} // namespace comfrey
