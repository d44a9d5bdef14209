// The list of live and leaving instances. Readers see it as it was a set time ago.
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

namespace comfrey::standin {

class InstanceList
{
public:
    /// Stores the instance under `id`, whatever id the object names.
    void put(const std::string &id, nlohmann::json instance);
    /// False if there was none.
    bool remove(const std::string &id);
    /// {"instances":[...],"version":N} as of `lag` ago.
    nlohmann::json read(std::chrono::milliseconds lag);

private:
    struct Version
    {
        std::chrono::steady_clock::time_point since;
        nlohmann::json instances;
        std::uint64_t number = 0; ///< Grows with each change.
    };

    void remember();

    std::mutex m_mutex;
    std::map<std::string, nlohmann::json> m_instances; ///< The newest state.
    std::deque<Version> m_versions;                    ///< Oldest first.
    std::uint64_t m_lastNumber = 0;
};

} // namespace comfrey::standin
