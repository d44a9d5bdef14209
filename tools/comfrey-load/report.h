// Sums the samples of a run up to the measures.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "comfrey-load/sample.h"

namespace comfrey::load {

struct RunFacts
{
    double timeScale = 1;
    std::uint64_t seed = 0;
    std::vector<Endpoint> services; ///< Asked for their counts.
    std::vector<double> latenessMs; ///< Wall time from each planned arrival to its sending.
};

/// All figures; times are model milliseconds.
nlohmann::json makeReport(const Workload &workload, const std::vector<PlannedRequest> &requests,
                          const std::vector<Sample> &samples, const RunFacts &facts);

/// The main figures as a table for people.
std::string reportTable(const nlohmann::json &report);

} // namespace comfrey::load
