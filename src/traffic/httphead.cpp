// Header fields: look-up, and which of them end at this hop.
#include "traffic/httphead.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace comfrey {

namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection",       "keep-alive",         "transfer-encoding",  "te", "trailer", "upgrade",
    "proxy-connection", "proxy-authenticate", "proxy-authorization"};

char lower(char letter)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

/// The members of a comma-separated list.
std::vector<std::string> listMembers(std::string_view list)
{
    std::vector<std::string> members;
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        const std::string_view member = trimmed(list.substr(0, comma));
        if (!member.empty())
            members.emplace_back(member);
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return members;
}

} // namespace

bool sameFieldName(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
                      [](char one, char other) { return lower(one) == lower(other); });
}

const std::string *HttpHead::find(std::string_view name) const
{
    for (const HttpField &field : fields) {
        if (sameFieldName(field.name, name))
            return &field.value;
    }
    return nullptr;
}

std::string_view HttpHead::valueOf(std::string_view name) const
{
    const std::string *value = find(name);
    return value ? std::string_view(*value) : std::string_view();
}

std::size_t HttpHead::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(fields.begin(), fields.end(),
                      [&](const HttpField &field) { return sameFieldName(field.name, name); }));
}

void HttpHead::removeAll(std::string_view name)
{
    std::erase_if(fields, [&](const HttpField &field) { return sameFieldName(field.name, name); });
}

std::size_t heldBytes(const HttpHead &head)
{
    std::size_t bytes = head.fields.capacity() * sizeof(HttpField);
    for (const HttpField &field : head.fields)
        bytes += field.name.size() + field.value.size();
    return bytes;
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                       [&](std::string_view hop) { return sameFieldName(hop, name); });
}

void removeHopByHop(HttpHead &head)
{
    std::vector<std::string> named;
    for (const HttpField &field : head.fields) {
        if (sameFieldName(field.name, "connection")) {
            for (std::string &member : listMembers(field.value))
                named.push_back(std::move(member));
        }
    }
    std::erase_if(head.fields, [&](const HttpField &field) {
        return isHopByHop(field.name)
            || std::any_of(named.begin(), named.end(), [&](const std::string &name) {
                   return sameFieldName(name, field.name);
               });
    });
}

void appendFields(std::string &out, const std::vector<HttpField> &fields)
{
    for (const HttpField &field : fields) {
        out += field.name;
        out += ": ";
        out += field.value;
        out += "\r\n";
    }
    out += "\r\n";
}

} // namespace comfrey
