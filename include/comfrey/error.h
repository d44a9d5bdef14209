// Error values. Functions that can fail return Result<T>; nothing throws on the request path.
#pragma once

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace comfrey {

enum class ErrorCode : std::uint8_t {
    InvalidSettings,  ///< A settings file is malformed or out of range.
    InvalidList,      ///< A list of plans or entitlements breaks a rule.
    Conflict,         ///< An entry changed since the revision that the change was based on.
    MalformedMessage, ///< Bytes from another process do not decode.
    Unavailable,      ///< The other side cannot be reached now.
    Unknown,          ///< It cannot be told whether the operation took effect.
    NotFound,
};

/// An error code with a text that names the thing that failed.
struct Error
{
    ErrorCode code = ErrorCode::Unavailable;
    std::string text;
};

template<typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> failure(ErrorCode code, std::string text)
{
    return tl::make_unexpected(Error{code, std::move(text)});
}

} // namespace comfrey
