// Counts how often each call ran, by its idempotency key.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace comfrey::standin {

class RunCounter
{
public:
    /// Counts a run when it starts; returns the number of the run of its key. A call without a key
    /// counts as a key of its own.
    std::uint64_t start(const std::string &key);
    /// {"calls","keys","repeats","without_key"}.
    nlohmann::json counts() const;
    /// The same of one key.
    nlohmann::json countsOf(const std::string &key) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_runs; ///< By key.
    std::uint64_t m_calls = 0;
    std::uint64_t m_withoutKey = 0;
};

} // namespace comfrey::standin
