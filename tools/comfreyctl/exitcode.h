// Exit codes of comfreyctl; docs/OPERATORS.md lists them.
#pragma once

#include "comfrey/error.h"

namespace comfrey::ctl {

enum class ExitCode : int {
    Ok = 0,
    Refused = 1,     ///< The lists break a rule, or the change lost to another one.
    Usage = 2,       ///< The command line is wrong.
    Unknown = 3,     ///< It is not known yet; the same command with the same change id finds out.
    Unreachable = 4, ///< The platform or a router does not answer.
};

inline ExitCode exitCodeOf(const Error &error)
{
    switch (error.code) {
    case ErrorCode::InvalidSettings:
    case ErrorCode::InvalidList:
    case ErrorCode::Conflict:
    case ErrorCode::NotFound:
        return ExitCode::Refused;
    case ErrorCode::Unknown:
        return ExitCode::Unknown;
    case ErrorCode::MalformedMessage:
    case ErrorCode::Unavailable:
        return ExitCode::Unreachable;
    }
    return ExitCode::Unreachable;
}

} // namespace comfrey::ctl
