// Splitting of "IP:port" texts.
#pragma once

#include <string>
#include <string_view>

#include "comfrey/error.h"

namespace comfrey {

struct HostPort
{
    std::string host;
    int port = 0; ///< 0 to 65535; 0 lets the kernel choose when listening.
};

/// InvalidSettings for a text that is not "IP:port".
Result<HostPort> parseEndpoint(std::string_view text);

} // namespace comfrey
