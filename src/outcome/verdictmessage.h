// Verdicts on claims as messages between routers.
#pragma once

#include "generated/messages.generated.h"
#include "outcome/claimlog.h"

namespace comfrey {

wire::ClaimVerdictT toMessage(const ClaimDecision &decision);

/// `receiver` is this router, whose claim the verdict is about.
ClaimDecision fromMessage(const wire::ClaimVerdictT &message, std::uint32_t partition,
                          const RouterId &receiver);

} // namespace comfrey
