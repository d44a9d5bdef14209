// The store of model weights: grants a limited number of fetches, each order once.
#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace comfrey::standin {

class WeightStore
{
public:
    explicit WeightStore(double fetchesPerMinute);

    /// False over the rate. An order that was granted before is granted again without a charge.
    bool fetch(const std::string &order);
    nlohmann::json counters() const;

private:
    const double m_fetchesPerMinute;
    mutable std::mutex m_mutex;
    std::set<std::string> m_granted; ///< Orders.
    std::uint64_t m_limited = 0;
    std::uint64_t m_repeats = 0;
    double m_rights; ///< Token bucket of one minute's fetches.
    std::chrono::steady_clock::time_point m_refilled = std::chrono::steady_clock::now();
};

} // namespace comfrey::standin
