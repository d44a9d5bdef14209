// The loader of settings: every fault of the file is listed, not only the first.
#include "settings/settingsfile.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>

#include <toml++/toml.h>

#include "settings/settingstable.h"

namespace comfrey {

namespace {

constexpr std::size_t kIdLength = 64;
constexpr int kHighestPort = 65535;

bool isId(std::string_view text)
{
    constexpr std::string_view allowed =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
    return !text.empty() && text.size() <= kIdLength
        && text.find_first_not_of(allowed) == std::string_view::npos;
}

bool isNumberUpTo(std::string_view text, int highest)
{
    int value = -1;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && stop == end && value >= 0 && value <= highest;
}

bool isIp4(std::string_view text)
{
    int parts = 0;
    while (true) {
        const std::size_t dot = text.find('.');
        ++parts;
        if (!isNumberUpTo(text.substr(0, dot), 255))
            return false;
        if (dot == std::string_view::npos)
            return parts == 4;
        text.remove_prefix(dot + 1);
    }
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    return colon != std::string_view::npos && isIp4(text.substr(0, colon))
        && isNumberUpTo(text.substr(colon + 1), kHighestPort);
}

std::string shown(float value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

/// Fills Settings from one document and gathers its faults.
class Loader
{
public:
    Loader(const std::string &file, const toml::table &document)
        : m_file(file), m_document(document)
    { }

    Result<Settings> load();

private:
    void refuseUnknown();
    void readOne(const SettingDescriptor &setting);
    void read(const SettingDescriptor &setting, const TextSetting &kind, const toml::node *node);
    void read(const SettingDescriptor &setting, const CountSetting &kind, const toml::node *node);
    void read(const SettingDescriptor &setting, const RatioSetting &kind, const toml::node *node);
    void checkText(const SettingDescriptor &setting, const TextSetting &kind,
                   const toml::node &node, const std::string &value);
    void checkTogether();
    void checkAddressesDiffer();
    const toml::node *find(const std::string &section, const std::string &key) const;
    std::uint32_t lineOf(const std::string &section, const std::string &key) const;
    void fail(std::uint32_t line, const std::string &key, const std::string &what);

    struct Fault
    {
        std::uint32_t line = 0;
        std::string text;
    };

    const std::string &m_file;
    const toml::table &m_document;
    Settings m_settings;
    std::vector<Fault> m_faults;
};

Result<Settings> Loader::load()
{
    refuseUnknown();
    for (const SettingDescriptor &setting : settingsTable())
        readOne(setting);
    if (m_faults.empty())
        checkTogether();
    if (m_faults.empty())
        return m_settings;
    std::stable_sort(m_faults.begin(), m_faults.end(),
                     [](const Fault &left, const Fault &right) { return left.line < right.line; });
    std::string all;
    for (const Fault &fault : m_faults)
        all += (all.empty() ? "" : "\n") + fault.text;
    return failure(ErrorCode::InvalidSettings, all);
}

void Loader::fail(std::uint32_t line, const std::string &key, const std::string &what)
{
    m_faults.push_back({line, m_file + ":" + std::to_string(line) + ": " + key + ": " + what});
}

void Loader::refuseUnknown()
{
    for (const auto &[sectionKey, sectionNode] : m_document) {
        const std::string section(sectionKey.str());
        const std::uint32_t line = sectionNode.source().begin.line;
        const auto &table = settingsTable();
        const auto inSection = [&section](const auto &entry) { return entry.section == section; };
        if (std::none_of(table.begin(), table.end(), inSection)) {
            fail(line, section, "unknown section");
            continue;
        }
        const toml::table *entries = sectionNode.as_table();
        if (entries == nullptr) {
            fail(line, section, "must be a table of settings");
            continue;
        }
        for (const auto &[entryKey, node] : *entries) {
            const std::string key(entryKey.str());
            const auto same = [&](const auto &entry) {
                return entry.section == section && entry.key == key;
            };
            if (std::none_of(table.begin(), table.end(), same))
                fail(node.source().begin.line, std::string(section).append(".").append(key),
                     "unknown key");
        }
    }
}

const toml::node *Loader::find(const std::string &section, const std::string &key) const
{
    const toml::table *entries = m_document[section].as_table();
    return entries == nullptr ? nullptr : entries->get(key);
}

std::uint32_t Loader::lineOf(const std::string &section, const std::string &key) const
{
    if (const toml::node *node = find(section, key); node != nullptr)
        return node->source().begin.line;
    const toml::node *entries = m_document.get(section);
    return entries == nullptr ? 1 : entries->source().begin.line;
}

void Loader::readOne(const SettingDescriptor &setting)
{
    const toml::node *node = find(setting.section, setting.key);
    std::visit([&](const auto &kind) { read(setting, kind, node); }, setting.kind);
}

void Loader::read(const SettingDescriptor &setting, const TextSetting &kind, const toml::node *node)
{
    const std::string key = setting.section + "." + setting.key;
    std::string &field = kind.field(m_settings);
    field = kind.byDefault;
    if (node == nullptr) {
        if (kind.byDefault.empty())
            fail(lineOf(setting.section, setting.key), key, "is missing and has no default");
        return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value)
        return fail(node->source().begin.line, key, "must be a text");
    field = *value;
    checkText(setting, kind, *node, *value);
}

void Loader::checkText(const SettingDescriptor &setting, const TextSetting &kind,
                       const toml::node &node, const std::string &value)
{
    const std::string key = setting.section + "." + setting.key;
    const std::uint32_t line = node.source().begin.line;
    const std::string quoted = '"' + value + '"';
    if (kind.form == TextForm::Id && !isId(value))
        fail(line, key, quoted + " is not an id of 1 to 64 letters, digits, '.', '_' or '-'");
    if (kind.form == TextForm::Address && !isAddress(value))
        fail(line, key, quoted + " is not an address \"IP:port\"");
    const auto &choices = kind.choices;
    if (kind.form != TextForm::Choice
        || std::find(choices.begin(), choices.end(), value) != choices.end())
        return;
    std::string all;
    for (const std::string &choice : choices)
        all += (all.empty() ? "\"" : ", \"") + choice + '"';
    fail(line, key, quoted + " is none of " + all);
}

void Loader::read(const SettingDescriptor &setting, const CountSetting &kind,
                  const toml::node *node)
{
    if (node == nullptr)
        return;
    const std::string key = setting.section + "." + setting.key;
    const std::uint32_t line = node->source().begin.line;
    const auto value = node->value_exact<std::int64_t>();
    if (!value)
        return fail(line, key, "must be a whole number");
    if (*value < kind.lowest || *value > kind.highest)
        return fail(line, key,
                    std::to_string(*value) + " is not in the range of "
                        + std::to_string(kind.lowest) + " to " + std::to_string(kind.highest));
    kind.field(m_settings) = static_cast<std::uint32_t>(*value);
}

void Loader::read(const SettingDescriptor &setting, const RatioSetting &kind,
                  const toml::node *node)
{
    if (node == nullptr)
        return;
    const std::string key = setting.section + "." + setting.key;
    const std::uint32_t line = node->source().begin.line;
    if (!node->is_number())
        return fail(line, key, "must be a number");
    const auto value = static_cast<float>(node->value<double>().value_or(NAN));
    // Also false for a value that is not a number.
    const bool inRange = value >= kind.lowest && value <= kind.highest;
    if (!inRange)
        return fail(line, key,
                    shown(value) + " is not in the range of " + shown(kind.lowest) + " to "
                        + shown(kind.highest));
    kind.field(m_settings) = value;
}

void Loader::checkTogether()
{
    const settings::MembershipT &membership = m_settings.membership;
    if (membership.suspectAfterMs <= 2 * membership.heartbeatIntervalMs)
        fail(lineOf("membership", "suspect_after_ms"), "membership.suspect_after_ms",
             "must be over twice membership.heartbeat_interval_ms");
    if (membership.removeAfterMs <= membership.suspectAfterMs)
        fail(lineOf("membership", "remove_after_ms"), "membership.remove_after_ms",
             "must be over membership.suspect_after_ms");
    const settings::OutcomeT &outcome = m_settings.outcome;
    if (outcome.claimTimeoutMs <= outcome.collectIntervalMs)
        fail(lineOf("outcome", "claim_timeout_ms"), "outcome.claim_timeout_ms",
             "must be over outcome.collect_interval_ms");
    checkAddressesDiffer();
}

void Loader::checkAddressesDiffer()
{
    const std::array<std::pair<const char *, const std::string *>, 3> addresses = {
        {{"caller_address", &m_settings.router.callerAddress},
         {"operator_address", &m_settings.router.operatorAddress},
         {"peer_address", &m_settings.router.peerAddress}}};
    std::map<std::string, std::string> seen;
    for (const auto &[key, address] : addresses) {
        const bool choosesPort = address->ends_with(":0");
        const auto [first, isNew] = seen.emplace(*address, key);
        if (!isNew && !choosesPort)
            fail(lineOf("router", key), std::string("router.") + key,
                 "is the same as router." + first->second);
    }
}

} // namespace

Result<Settings> parseSettings(std::string_view text, const std::string &name)
{
    // The library throws, and must be compiled alike in every file of a program.
    try {
        const toml::table document = toml::parse(text, std::string_view(name));
        return Loader(name, document).load();
    } catch (const toml::parse_error &error) {
        return failure(ErrorCode::InvalidSettings,
                       name + ":" + std::to_string(error.source().begin.line) + ": "
                           + std::string(error.description()));
    }
}

Result<Settings> readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return failure(ErrorCode::InvalidSettings, path + ":0: cannot be read");
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return parseSettings(text, path);
}

} // namespace comfrey
