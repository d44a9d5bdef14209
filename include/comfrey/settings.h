// The settings of one router. The sections are generated from schema/settings.fbs; the TOML loader
// (src/settings) fills and checks them.
#pragma once

#include "generated/settings.generated.h"

namespace comfrey {

struct Settings
{
    settings::RouterT router;
    settings::PlatformT platform;
    settings::ConfigT config;
    settings::MembershipT membership;
    settings::PlacementT placement;
    settings::AdmissionT admission;
    settings::HealthT health;
    settings::QuarantineT quarantine;
    settings::OutcomeT outcome;
    settings::OrdersT orders;
};

} // namespace comfrey
