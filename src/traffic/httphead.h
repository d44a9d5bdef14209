// The head of an HTTP/1.1 message: first line and header fields, in the order of arrival.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace comfrey {

struct HttpField
{
    std::string name;
    std::string value;
};

/// Header names compare without regard to case.
bool sameFieldName(std::string_view left, std::string_view right);

struct HttpHead
{
    std::string method;  ///< Requests only.
    std::string target;  ///< Requests only: path and query as they came.
    unsigned status = 0; ///< Responses only: 100 to 599 once a head was parsed, so 0 is no answer.
    unsigned minorVersion = 1;
    std::vector<HttpField> fields;
    std::optional<std::uint64_t> contentLength;
    bool isChunked = false;
    bool keepsAlive = true; ///< The sender leaves the connection open after this message.

    /// The first field of that name, or null.
    const std::string *find(std::string_view name) const;
    std::string_view valueOf(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    void add(std::string name, std::string value)
    {
        fields.push_back({std::move(name), std::move(value)});
    }
    void removeAll(std::string_view name);

    /// The body ends with the connection: a response without a length.
    bool endsWithConnection() const { return !contentLength && !isChunked; }
};

/// Memory that the fields of a head take, which is many times the bytes of tiny fields.
std::size_t heldBytes(const HttpHead &head);

/// True for fields that concern one connection only and are never passed on.
bool isHopByHop(std::string_view name);

/// Removes the hop-by-hop fields and those that the Connection field names.
void removeHopByHop(HttpHead &head);

/// Appends `fields` and the empty line that ends a head.
void appendFields(std::string &out, const std::vector<HttpField> &fields);

} // namespace comfrey
