// What a check of a configuration reports.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace comfrey {

/// What is wrong with an entry.
enum class FindingKind : std::uint8_t {
    Error,         ///< The entry is invalid or refers to something that does not exist.
    NeverMatches,  ///< No request can ever use the entry.
    Contradiction, ///< Two limits cannot hold together, or one makes the other pointless.
};

/// Name of the kind in the output of tools.
constexpr std::string_view nameOf(FindingKind kind)
{
    switch (kind) {
    case FindingKind::Error:
        return "error";
    case FindingKind::NeverMatches:
        return "never-matches";
    case FindingKind::Contradiction:
        return "contradiction";
    }
    return "error";
}

/// One fault of a configuration.
struct Finding
{
    FindingKind kind = FindingKind::Error;
    std::string entry; ///< The entry as an operator finds it, e.g. `route "chat"`.
    std::string text;  ///< Why, in one sentence without a full stop.
    friend bool operator==(const Finding &, const Finding &) = default;
};

/// In the order in which the configuration holds the entries.
using Findings = std::vector<Finding>;

/// True if the configuration must not be sent.
inline bool hasErrors(const Findings &findings)
{
    return std::any_of(findings.begin(), findings.end(),
                       [](const Finding &finding) { return finding.kind == FindingKind::Error; });
}

} // namespace comfrey
