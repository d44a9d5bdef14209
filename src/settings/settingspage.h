// The operators' page about settings, made from the table of settings.
#pragma once

#include <string>

namespace comfrey {

/// The whole text of docs/CONFIGURATION.md.
std::string settingsPage();

} // namespace comfrey
