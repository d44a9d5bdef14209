// The two lists as operators write them: TOML with [[plans]] and [[entitlements]], in one file or
// in several.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "comfrey/error.h"
#include "comfrey/lists.h"

namespace comfrey {

/// One file's name, for errors, and its text.
struct ListsText
{
    std::string file;
    std::string text;
};

/// Reads lists from texts. The top-level key `revision` names the revision on which the lists were
/// edited and becomes Lists::revision; without it that is 0. Error InvalidList names file, line and
/// key; unknown keys are errors.
Result<Lists> parseLists(const std::vector<ListsText> &texts);

/// Reads the files and parses them. Error NotFound for a file that cannot be read.
Result<Lists> readListsFiles(const std::vector<std::string> &files);

/// The lists as one TOML file that parseLists() reads back.
std::string listsToToml(const Lists &lists);

/// Lower-case hex SHA-256 of a caller's key.
ApiKeyHash hashOfApiKey(std::string_view key);

} // namespace comfrey
