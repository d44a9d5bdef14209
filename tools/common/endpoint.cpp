#include "common/endpoint.h"

#include <charconv>

namespace comfrey {

namespace {

constexpr int kMaxPort = 65535;

} // namespace

Result<HostPort> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    const std::string quoted = "\"" + std::string(text) + "\"";
    if (colon == std::string_view::npos || colon == 0)
        return failure(ErrorCode::InvalidSettings, quoted + " is not of the form IP:port");
    HostPort result;
    result.host = std::string(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    const char *end = digits.data() + digits.size();
    const auto [rest, error] = std::from_chars(digits.data(), end, result.port);
    if (error != std::errc() || rest != end || result.port < 0 || result.port > kMaxPort)
        return failure(ErrorCode::InvalidSettings, "the port of " + quoted + " is not in 0..65535");
    return result;
}

} // namespace comfrey
