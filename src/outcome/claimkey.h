// Identity of a call that may not be repeated: the customer's idempotency key, its partition, and
// the time of issue that the key carries.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// Milliseconds since the Unix epoch, as written in records.
using UnixMs = std::uint64_t;

constexpr UnixMs unixMs(TimePoint now)
{
    const auto since =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    return since.count() < 0 ? 0 : static_cast<UnixMs>(since.count());
}

/// Keys of different customers never meet.
struct ClaimKey
{
    CustomerId customer;
    IdempotencyKey key;
    friend auto operator<=>(const ClaimKey &,
                            const ClaimKey &) = default; // NOLINT(modernize-use-nullptr)
};

/// One claim of one router. `number` is never used twice in one incarnation.
struct ClaimId
{
    RouterId router;
    Incarnation incarnation;
    std::uint64_t number = 0;
    friend auto operator<=>(const ClaimId &,
                            const ClaimId &) = default; // NOLINT(modernize-use-nullptr)
};

/// The time of issue in a UUIDv7 or in a key "<13 digits of Unix milliseconds>-<anything>"; 0 for
/// an opaque key, which carries none.
UnixMs issueTime(const IdempotencyKey &key);

/// The partition of the claim streams that decides about the key.
std::uint32_t partitionOf(const ClaimKey &key, std::uint32_t partitions);

/// "claims-N".
StreamId claimStream(std::uint32_t partition);

} // namespace comfrey

template<>
struct std::hash<comfrey::ClaimKey>
{
    std::size_t operator()(const comfrey::ClaimKey &key) const noexcept;
};
