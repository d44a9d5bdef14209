// Prometheus text from the state dump: one gauge per numeric value, named by its path.
#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace comfrey {

std::string prometheusText(const nlohmann::json &state);

} // namespace comfrey
