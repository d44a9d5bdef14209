// Writes docs/CONFIGURATION.md.
#include "settings/settingspage.h"

#include <sstream>

#include "settings/settingstable.h"

namespace comfrey {

namespace {

constexpr const char *kHead =
    "# Settings of a router\n"
    "\n"
    "This page is made from the table in `src/settings/settingstable.cpp` by\n"
    "`build/tools/settingspage/settingspage > docs/CONFIGURATION.md`; a test compares them.\n"
    "\n"
    "A router reads one TOML file: `comfreyd --config router.toml`. `comfreyd --check --config\n"
    "router.toml` checks it alone. The file is checked as a whole: every fault is listed as\n"
    "`FILE:LINE: SECTION.KEY: what is wrong`, and nothing starts before it has none. Unknown\n"
    "sections and keys are refused. Besides the ranges below:\n"
    "\n"
    "- `membership.suspect_after_ms` must be over twice `membership.heartbeat_interval_ms`, and\n"
    "  `membership.remove_after_ms` over `membership.suspect_after_ms`;\n"
    "- `outcome.claim_timeout_ms` must be over `outcome.collect_interval_ms`;\n"
    "- the three addresses of a router must differ (port 0 lets the kernel choose one).\n"
    "\n"
    "An id has 1 to 64 letters, digits, `.`, `_` or `-`. A setting without a default must be\n"
    "given.\n";

struct Row
{
    std::string byDefault;
    std::string range;
};

template<typename Number>
std::string shown(Number value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

Row rowOf(const TextSetting &kind)
{
    Row row;
    row.byDefault = kind.byDefault.empty() ? "none" : "`\"" + kind.byDefault + "\"`";
    switch (kind.form) {
    case TextForm::Id:
        row.range = "id";
        break;
    case TextForm::Address:
        row.range = "IPv4 address and port";
        break;
    case TextForm::Choice:
        for (const std::string &choice : kind.choices)
            row.range += (row.range.empty() ? "`\"" : ", `\"") + choice + "\"`";
        break;
    }
    return row;
}

template<typename NumericSetting>
Row rowOf(const NumericSetting &kind)
{
    Settings defaults;
    return {shown(kind.field(defaults)), shown(kind.lowest) + " to " + shown(kind.highest)};
}

} // namespace

std::string settingsPage()
{
    std::string page = kHead;
    std::string section;
    for (const SettingDescriptor &setting : settingsTable()) {
        if (setting.section != section) {
            section = setting.section;
            page += "\n## `[" + section + "]`\n\n| key | unit | default | range | meaning |\n"
                + "|---|---|---|---|---|\n";
        }
        const Row row = std::visit([](const auto &kind) { return rowOf(kind); }, setting.kind);
        page += "| `" + setting.key + "` | " + setting.unit + " | " + row.byDefault + " | "
            + row.range + " | " + setting.meaning + " |\n";
    }
    return page;
}

} // namespace comfrey
