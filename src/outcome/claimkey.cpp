// Identity of a call that may not be repeated.
#include "outcome/claimkey.h"

#include <algorithm>
#include <charconv>

#include <xxhash.h>

namespace comfrey {

namespace {

constexpr std::size_t kMsDigits = 13; // Of every time from 2001 to 2286.
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionAt = 14; // Position of the version digit in a UUID's text.
constexpr int kHex = 16;

bool isHex(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f')
        || (character >= 'A' && character <= 'F');
}

bool isUuid7(std::string_view text)
{
    if (text.size() != kUuidLength || text[kUuidVersionAt] != '7')
        return false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool dash = at == 8 || at == 13 || at == 18 || at == 23;
        if (dash ? text[at] != '-' : !isHex(text[at]))
            return false;
    }
    return true;
}

/// A UUIDv7 starts with 48 bits of Unix milliseconds: 8 digits, a dash, 4 digits.
UnixMs uuid7Time(std::string_view text)
{
    const std::string digits = std::string(text.substr(0, 8)) + std::string(text.substr(9, 4));
    UnixMs time = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), time, kHex);
    return time;
}

bool startsWithMs(std::string_view text)
{
    if (text.size() <= kMsDigits || text[kMsDigits] != '-')
        return false;
    const std::string_view digits = text.substr(0, kMsDigits);
    return std::all_of(digits.begin(), digits.end(),
                       [](char digit) { return digit >= '0' && digit <= '9'; });
}

std::uint64_t hashOf(const ClaimKey &key, std::uint64_t seed)
{
    const std::string &customer = key.customer.value();
    const std::string &text = key.key.value();
    return XXH64(text.data(), text.size(), XXH64(customer.data(), customer.size(), seed));
}

} // namespace

UnixMs issueTime(const IdempotencyKey &key)
{
    const std::string &text = key.value();
    if (isUuid7(text))
        return uuid7Time(text);
    if (!startsWithMs(text))
        return 0;
    UnixMs time = 0;
    std::from_chars(text.data(), text.data() + kMsDigits, time);
    return time;
}

std::uint32_t partitionOf(const ClaimKey &key, std::uint32_t partitions)
{
    constexpr std::uint64_t kPartitionSeed = 1;
    return static_cast<std::uint32_t>(hashOf(key, kPartitionSeed) % std::max(partitions, 1U));
}

StreamId claimStream(std::uint32_t partition)
{
    return StreamId("claims-" + std::to_string(partition));
}

} // namespace comfrey

std::size_t std::hash<comfrey::ClaimKey>::operator()(const comfrey::ClaimKey &key) const noexcept
{
    return comfrey::hashOf(key, 0);
}
