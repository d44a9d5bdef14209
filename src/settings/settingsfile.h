// Reads the settings of a router from a TOML file and checks them as a whole.
#pragma once

#include <string>
#include <string_view>

#include "comfrey/error.h"
#include "comfrey/settings.h"

namespace comfrey {

/// Reads and checks the file. The text of an InvalidSettings error has one line per fault, each
/// "FILE:LINE: SECTION.KEY: what is wrong".
Result<Settings> readSettings(const std::string &path);

/// The same for a text; `name` stands for the file in errors.
Result<Settings> parseSettings(std::string_view text, const std::string &name);

} // namespace comfrey
