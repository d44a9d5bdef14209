// Describes every setting of the router: section, key, unit, default, range and meaning. The loader
// and docs/CONFIGURATION.md are made from this table.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "comfrey/settings.h"

namespace comfrey {

/// What a text setting has to look like.
enum class TextForm : std::uint8_t {
    Id,      ///< Letters, digits, '.', '_' and '-'; 1 to 64 of them.
    Address, ///< "IP:port".
    Choice,  ///< One of TextSetting::choices.
};

struct TextSetting
{
    std::string &(*field)(Settings &);
    TextForm form = TextForm::Id;
    std::string byDefault; ///< Empty: the key must be given.
    std::vector<std::string> choices;
};

struct CountSetting
{
    std::uint32_t &(*field)(Settings &);
    std::uint32_t lowest = 0;
    std::uint32_t highest = 0;
};

struct RatioSetting
{
    float &(*field)(Settings &);
    float lowest = 0;
    float highest = 0;
};

struct SettingDescriptor
{
    std::string section;
    std::string key;
    std::string unit;
    std::variant<TextSetting, CountSetting, RatioSetting> kind;
    std::string meaning;
};

/// All settings in the order of their sections.
const std::vector<SettingDescriptor> &settingsTable();

} // namespace comfrey
