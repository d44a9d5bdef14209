// How results are shown: as lines for people, or as one JSON object with --json.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "comfrey/lists.h"
#include "generated/records.generated.h"

namespace comfrey::ctl {

nlohmann::json toJson(const Lists &lists);
nlohmann::json toJson(const record::ChangeT &change);
/// One line for each entry that the change writes or deletes.
std::string toText(const record::ChangeT &change);

} // namespace comfrey::ctl
