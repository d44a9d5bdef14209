// Base64 and SHA-256 by OpenSSL's libcrypto.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "comfrey/error.h"

namespace comfrey {

std::string encodeBase64(const std::vector<std::uint8_t> &bytes);

/// MalformedMessage for text that is not padded base64.
Result<std::vector<std::uint8_t>> decodeBase64(std::string_view text);

/// Lower-case hex SHA-256 of the text, the form in which the lists keep API keys.
std::string sha256Hex(std::string_view text);

} // namespace comfrey
