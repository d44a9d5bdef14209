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
    /// {"instances":[...]} as of `lag` ago.
    nlohmann::json read(std::chrono::milliseconds lag);

private:
    struct Version
    {
        std::chrono::steady_clock::time_point since;
        nlohmann::json instances;
    };

    void remember();

    std::mutex m_mutex;
    std::map<std::string, nlohmann::json> m_instances; ///< The newest state.
    std::deque<Version> m_versions;                    ///< Oldest first.
};

} // namespace comfrey::standin
