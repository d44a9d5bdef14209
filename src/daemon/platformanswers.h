// Reads the answers of the platform's interfaces. What another writer left in a list must neither
// end the process nor hide the other entries.
#pragma once

#include <functional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "comfrey/error.h"
#include "comfrey/events.h"

namespace comfrey {

/// The list of instances and its version; 0 if it has none.
struct InstanceList
{
    InstanceListRead instances;
    std::uint64_t version = 0;
};

/// Reads a list of instances. An entry that cannot be read is left out and passed to `onUnreadable`
/// with the reason. Fails if `text` is no list.
Result<InstanceList>
readInstanceList(const std::string &text,
                 const std::function<void(const std::string &reason)> &onUnreadable);

/// Reads records of a stream. Fails if one of them cannot be read.
Result<LogRead> readLogAnswer(const StreamId &stream, const std::string &text);

/// The whole number `name` of a JSON object; `fallback` if it is missing. Throws
/// nlohmann::json::exception if it is something else or does not fit.
std::uint64_t unsignedMember(const nlohmann::json &object, const char *name, std::uint64_t fallback,
                             std::uint64_t largest);

} // namespace comfrey
