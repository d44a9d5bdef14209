// Deltas between two versions of a long text that are mostly equal, such as a configuration with
// hundreds of routes of which one changed.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace comfrey {

/// Encodes `target` as copies from `base` and new text.
std::string makeDelta(std::string_view base, std::string_view target);

/// Decodes the target. None if the delta was made for another base or is damaged.
std::optional<std::string> applyDelta(std::string_view base, std::string_view delta);

} // namespace comfrey
