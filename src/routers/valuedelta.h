// The difference between two versions of a long text that are mostly equal, such as a configuration
// of hundreds of routes of which one changed.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace comfrey {

/// What turns `base` into `target`: pieces of `base`, and what is new.
std::string makeDelta(std::string_view base, std::string_view target);

/// The target; nothing if the delta was made for another base or is damaged.
std::optional<std::string> applyDelta(std::string_view base, std::string_view delta);

} // namespace comfrey
