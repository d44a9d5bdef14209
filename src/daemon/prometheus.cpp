// Prometheus text from the state dump.
#include "daemon/prometheus.h"

#include <cctype>

#include <nlohmann/json.hpp>

namespace comfrey {

namespace {

/// "slotAsks" under "chat" becomes "comfrey_chat_slot_asks".
void appendName(std::string &path, const std::string &key)
{
    path += '_';
    for (const char letter : key) {
        const auto byte = static_cast<unsigned char>(letter);
        if (std::isupper(byte) != 0 && path.back() != '_')
            path += '_';
        path += std::isalnum(byte) != 0 ? static_cast<char>(std::tolower(byte)) : '_';
    }
}

void appendLines(const std::string &path, const nlohmann::json &value, std::string &out)
{
    if (value.is_object()) {
        for (const auto &[key, child] : value.items()) {
            std::string name = path;
            appendName(name, key);
            appendLines(name, child, out);
        }
        return;
    }
    if (value.is_boolean())
        out += path + (value.get<bool>() ? " 1\n" : " 0\n");
    else if (value.is_number())
        out += path + ' ' + value.dump() + '\n';
}

} // namespace

std::string prometheusText(const nlohmann::json &state)
{
    std::string text;
    appendLines("comfrey", state, text);
    return text;
}

} // namespace comfrey
