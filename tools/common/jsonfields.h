// Reads optional fields of a JSON object; a field that is not there leaves the value as it is.
#pragma once

#include <chrono>

#include <nlohmann/json.hpp>

namespace comfrey {

template<typename T>
void readField(const nlohmann::json &object, const char *name, T &value)
{
    if (const auto found = object.find(name); found != object.end())
        value = found->get<T>();
}

inline void readField(const nlohmann::json &object, const char *name,
                      std::chrono::milliseconds &value)
{
    if (const auto found = object.find(name); found != object.end())
        value = std::chrono::milliseconds(found->get<std::int64_t>());
}

} // namespace comfrey
