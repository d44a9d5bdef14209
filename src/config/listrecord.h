// Entries of the two lists as they stand in records of the log.
#pragma once

#include <memory>

#include "comfrey/lists.h"
#include "generated/records.generated.h"

namespace comfrey {

std::unique_ptr<record::PlanT> toRecord(const PlanEntry &entry);
std::unique_ptr<record::EntitlementT> toRecord(const EntitlementEntry &entry);

PlanEntry fromRecord(const record::PlanT &entry);
EntitlementEntry fromRecord(const record::EntitlementT &entry);

} // namespace comfrey
