// Reads and writes the two lists as TOML. A key is a plain text, which is hashed here, or
// "sha256:" and its hash, which is how lists are written.
#include "settings/listsfile.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <initializer_list>
#include <iterator>
#include <limits>
#include <optional>
#include <sstream>

#include <openssl/evp.h>
#include <toml++/toml.h>

#include "config/validate.h"

namespace comfrey {

namespace {

constexpr std::string_view kHashPrefix = "sha256:";

/// Reads one table of the file. The first error sticks; every read after it is harmless.
class TableReader
{
public:
    TableReader(const std::string &file, const toml::table &table, std::string name,
                std::optional<Error> &error)
        : m_file(file), m_table(table), m_name(std::move(name)), m_error(error)
    { }

    void allow(std::initializer_list<std::string_view> keys)
    {
        for (const auto &[key, value] : m_table) {
            if (std::find(keys.begin(), keys.end(), key.str()) == keys.end())
                fail(value, key.str(), "is not known");
        }
    }

    std::string text(std::string_view key)
    {
        const toml::node *node = m_table.get(key);
        if (node == nullptr) {
            fail(m_table, key, "is missing");
            return {};
        }
        return textOf(*node, key);
    }

    void number(std::string_view key, std::uint32_t &value)
    {
        const toml::node *node = m_table.get(key);
        if (node == nullptr)
            return;
        const std::optional<std::int64_t> read = node->value_exact<std::int64_t>();
        if (!read || *read < 0 || *read > std::numeric_limits<std::uint32_t>::max())
            return fail(*node, key, "is not a whole number from 0 to 4294967295");
        value = static_cast<std::uint32_t>(*read);
    }

    /// A time in milliseconds, whole or with a fraction.
    void time(std::string_view key, Duration &value)
    {
        constexpr double limitMs = 3600000;
        const toml::node *node = m_table.get(key);
        if (node == nullptr)
            return;
        const std::optional<double> read = node->value<double>();
        if (!read || !node->is_number() || !(*read > 0 && *read <= limitMs))
            return fail(*node, key, "is not a time in milliseconds, above 0 and up to 3600000");
        value = Duration(static_cast<Duration::rep>(*read * 1000));
    }

    std::vector<std::string> texts(std::string_view key)
    {
        std::vector<std::string> values;
        const toml::node *node = m_table.get(key);
        if (node == nullptr)
            return values;
        const toml::array *array = node->as_array();
        if (array == nullptr) {
            fail(*node, key, "is not an array of strings");
            return values;
        }
        for (const toml::node &item : *array)
            values.push_back(textOf(item, key));
        return values;
    }

    template<typename Id>
    std::vector<Id> names(std::string_view key)
    {
        const std::vector<std::string> read = texts(key);
        return std::vector<Id>(read.begin(), read.end());
    }

    void fail(const toml::node &at, std::string_view key, std::string_view what)
    {
        if (m_error)
            return;
        std::ostringstream text;
        text << m_file << ':' << at.source().begin.line << ": key \"" << key << "\" in " << m_name
             << ' ' << what;
        m_error = Error{ErrorCode::InvalidList, text.str()};
    }

private:
    std::string textOf(const toml::node &node, std::string_view key)
    {
        const std::optional<std::string> read = node.value_exact<std::string>();
        if (read && !read->empty())
            return *read;
        fail(node, key, "is not a string with at least one character");
        return {};
    }

    const std::string &m_file;
    const toml::table &m_table;
    std::string m_name;
    std::optional<Error> &m_error;
};

ApiKeyHash keyOf(const std::string &written)
{
    if (written.starts_with(kHashPrefix))
        return ApiKeyHash(written.substr(kHashPrefix.size()));
    return hashOfApiKey(written);
}

PlanEntry readPlan(TableReader &reader)
{
    reader.allow({"customer", "plan", "share", "first_token_ms", "between_tokens_ms", "keys"});
    PlanEntry entry;
    entry.customer = CustomerId(reader.text("customer"));
    entry.plan = PlanId(reader.text("plan"));
    reader.number("share", entry.share);
    reader.time("first_token_ms", entry.contract.firstToken);
    reader.time("between_tokens_ms", entry.contract.betweenTokens);
    for (const std::string &key : reader.texts("keys"))
        entry.keys.push_back(keyOf(key));
    return entry;
}

EntitlementEntry readEntitlement(TableReader &reader)
{
    reader.allow({"plan", "models", "adapters", "services", "requests_in_flight",
                  "requests_per_second", "prompt_tokens", "output_tokens", "body_bytes"});
    EntitlementEntry entry;
    entry.plan = PlanId(reader.text("plan"));
    entry.models = reader.names<ModelId>("models");
    entry.adapters = reader.names<AdapterId>("adapters");
    entry.services = reader.names<ServiceName>("services");
    reader.number("requests_in_flight", entry.limits.requestsInFlight);
    reader.number("requests_per_second", entry.limits.requestsPerSecond);
    reader.number("prompt_tokens", entry.limits.promptTokens);
    reader.number("output_tokens", entry.limits.outputTokens);
    reader.number("body_bytes", entry.limits.bodyBytes);
    return entry;
}

/// Reads one text into the lists.
class TextReader
{
public:
    TextReader(const std::string &file, const toml::table &root, Lists &lists)
        : m_file(file), m_root(root), m_lists(lists)
    { }

    std::optional<Error> read()
    {
        TableReader reader(m_file, m_root, "the file", m_error);
        reader.allow({"revision", "plans", "entitlements"});
        readRevision(reader);
        readEach("plans", [this](const toml::table &table, TableReader &entryReader) {
            PlanEntry entry = readPlan(entryReader);
            const CustomerId id = entry.customer;
            if (!m_lists.plans.emplace(id, std::move(entry)).second)
                entryReader.fail(table, "customer", "names \"" + id.value() + "\" a second time");
        });
        readEach("entitlements", [this](const toml::table &table, TableReader &entryReader) {
            EntitlementEntry entry = readEntitlement(entryReader);
            const PlanId id = entry.plan;
            if (!m_lists.entitlements.emplace(id, std::move(entry)).second)
                entryReader.fail(table, "plan", "names \"" + id.value() + "\" a second time");
        });
        return m_error;
    }

private:
    void readRevision(TableReader &reader)
    {
        const toml::node *node = m_root.get("revision");
        if (node == nullptr)
            return;
        const std::optional<std::int64_t> revision = node->value_exact<std::int64_t>();
        if (!revision || *revision < 0)
            return reader.fail(*node, "revision", "is not a whole number of at least 0");
        m_lists.revision = Revision(static_cast<std::uint64_t>(*revision));
    }

    template<typename ReadEntry>
    void readEach(std::string_view list, const ReadEntry &readEntry)
    {
        const toml::node *node = m_root.get(list);
        if (node == nullptr)
            return;
        const std::string name = "[[" + std::string(list) + "]]";
        TableReader reader(m_file, m_root, name, m_error);
        const toml::array *array = node->as_array();
        if (array == nullptr)
            return reader.fail(*node, list, "is not an array of tables");
        for (const toml::node &item : *array) {
            const toml::table *table = item.as_table();
            if (table == nullptr)
                return reader.fail(item, list, "is not an array of tables");
            TableReader entryReader(m_file, *table, name, m_error);
            readEntry(*table, entryReader);
        }
    }

    const std::string &m_file;
    const toml::table &m_root;
    Lists &m_lists;
    std::optional<Error> m_error;
};

std::optional<Error> readText(const ListsText &text, Lists &lists)
{
    try {
        const toml::table root = toml::parse(text.text, text.file);
        return TextReader(text.file, root, lists).read();
    } catch (const toml::parse_error &error) {
        return Error{ErrorCode::InvalidList,
                     text.file + ':' + std::to_string(error.source().begin.line) + ": "
                         + std::string(error.description())};
    }
}

template<typename Id>
toml::array arrayOf(const std::vector<Id> &ids, std::string_view prefix = {})
{
    toml::array array;
    for (const Id &id : ids)
        array.push_back(std::string(prefix) + id.value());
    return array;
}

double inMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

toml::table tableOf(const PlanEntry &entry)
{
    return toml::table{
        {"customer", entry.customer.value()},
        {"plan", entry.plan.value()},
        {"share", static_cast<std::int64_t>(entry.share)},
        {"first_token_ms", inMilliseconds(entry.contract.firstToken)},
        {"between_tokens_ms", inMilliseconds(entry.contract.betweenTokens)},
        {"keys", arrayOf(entry.keys, kHashPrefix)},
    };
}

toml::table tableOf(const EntitlementEntry &entry)
{
    return toml::table{
        {"plan", entry.plan.value()},
        {"models", arrayOf(entry.models)},
        {"adapters", arrayOf(entry.adapters)},
        {"services", arrayOf(entry.services)},
        {"requests_in_flight", static_cast<std::int64_t>(entry.limits.requestsInFlight)},
        {"requests_per_second", static_cast<std::int64_t>(entry.limits.requestsPerSecond)},
        {"prompt_tokens", static_cast<std::int64_t>(entry.limits.promptTokens)},
        {"output_tokens", static_cast<std::int64_t>(entry.limits.outputTokens)},
        {"body_bytes", static_cast<std::int64_t>(entry.limits.bodyBytes)},
    };
}

} // namespace

Result<Lists> parseLists(const std::vector<ListsText> &texts)
{
    Lists lists;
    for (const ListsText &text : texts) {
        if (std::optional<Error> error = readText(text, lists))
            return tl::make_unexpected(*std::move(error));
    }
    if (const Result<void> checked = validateLists(lists); !checked)
        return tl::make_unexpected(checked.error());
    return lists;
}

Result<Lists> readListsFiles(const std::vector<std::string> &files)
{
    std::vector<ListsText> texts;
    for (const std::string &file : files) {
        std::ifstream stream(file, std::ios::binary);
        if (!stream)
            return failure(ErrorCode::NotFound, "cannot read the file \"" + file + "\"");
        texts.push_back({file, std::string(std::istreambuf_iterator<char>(stream), {})});
    }
    return parseLists(texts);
}

std::string listsToToml(const Lists &lists)
{
    toml::array plans;
    for (const auto &[customer, entry] : lists.plans)
        plans.push_back(tableOf(entry));
    toml::array entitlements;
    for (const auto &[plan, entry] : lists.entitlements)
        entitlements.push_back(tableOf(entry));
    toml::table root;
    root.insert("revision", static_cast<std::int64_t>(lists.revision.value()));
    root.insert("plans", std::move(plans));
    root.insert("entitlements", std::move(entitlements));
    std::ostringstream text;
    text << root << '\n';
    return text.str();
}

ApiKeyHash hashOfApiKey(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < length; ++i) {
        hex.push_back(digits[digest.at(i) >> 4U]);
        hex.push_back(digits[digest.at(i) & 15U]);
    }
    return ApiKeyHash(hex);
}

} // namespace comfrey
