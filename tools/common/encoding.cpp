#include "common/encoding.h"

#include <array>

#include <openssl/evp.h>
#include <openssl/sha.h>

namespace comfrey {

namespace {

constexpr std::size_t kGroupBytes = 3; // three bytes become four characters
constexpr std::size_t kGroupCharacters = 4;

std::size_t paddingOf(std::string_view text)
{
    if (text.ends_with("=="))
        return 2;
    return text.ends_with("=") ? 1 : 0;
}

} // namespace

std::string encodeBase64(const std::vector<std::uint8_t> &bytes)
{
    const std::size_t groups = (bytes.size() + kGroupBytes - 1) / kGroupBytes;
    std::string text(groups * kGroupCharacters + 1, '\0'); // libcrypto writes a final zero
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), bytes.data(),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

Result<std::vector<std::uint8_t>> decodeBase64(std::string_view text)
{
    if (text.empty())
        return std::vector<std::uint8_t>{};
    if (text.size() % kGroupCharacters != 0)
        return failure(ErrorCode::MalformedMessage,
                       "base64 text has a length that is no multiple of 4");
    std::vector<std::uint8_t> bytes(text.size() / kGroupCharacters * kGroupBytes);
    const int length =
        EVP_DecodeBlock(bytes.data(), reinterpret_cast<const unsigned char *>(text.data()),
                        static_cast<int>(text.size()));
    if (length < 0)
        return failure(ErrorCode::MalformedMessage,
                       "base64 text holds a character outside its alphabet");
    bytes.resize(static_cast<std::size_t>(length) - paddingOf(text));
    return bytes;
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4]);
        hex.push_back(digits[byte & 0x0f]);
    }
    return hex;
}

} // namespace comfrey
