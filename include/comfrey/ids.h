// Strong types for identifiers. A name of one kind never converts to another kind.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace comfrey {

/// A textual identifier. Tag makes the kinds distinct types.
template<typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string value) : m_value(std::move(value)) { }

    const std::string &value() const noexcept { return m_value; }
    bool isEmpty() const noexcept { return m_value.empty(); }

    friend bool operator==(const Name &, const Name &) = default;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
    friend std::strong_ordering operator<=>(const Name &, const Name &) = default;

private:
    std::string m_value;
};

/// A numeric identifier or position. Tag makes the kinds distinct types.
template<typename Tag>
class Number
{
public:
    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t value) : m_value(value) { }

    constexpr std::uint64_t value() const noexcept { return m_value; }
    constexpr Number next() const noexcept { return Number(m_value + 1); }

    // The check mistakes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend constexpr auto operator<=>(const Number &, const Number &) = default;

private:
    std::uint64_t m_value = 0;
};

using RouterId = Name<struct RouterIdTag>;
using BackendId = Name<struct BackendIdTag>; ///< A model engine or a replica of a plain service.
using ZoneId = Name<struct ZoneIdTag>;       ///< Availability zone.
using RegionId = Name<struct RegionIdTag>;   ///< Holds one or more availability zones.
using CustomerId = Name<struct CustomerIdTag>;
using PlanId = Name<struct PlanIdTag>;
using ModelId = Name<struct ModelIdTag>;
using AdapterId = Name<struct AdapterIdTag>;
using ServiceName = Name<struct ServiceNameTag>;
using ChatId = Name<struct ChatIdTag>;
using RequestId = Name<struct RequestIdTag>; ///< Unique per caller request over the whole fleet.
using IdempotencyKey = Name<struct IdempotencyKeyTag>;
using ApiKeyHash = Name<struct ApiKeyHashTag>; ///< Lower-case hex SHA-256 of a caller's key.
using ChangeId = Name<struct ChangeIdTag>;     ///< Identifies one operator's change.
using StreamId = Name<struct StreamIdTag>;     ///< A stream of the platform's log.
using Endpoint = Name<struct EndpointTag>;     ///< "IP:port".

using AttemptId = Number<struct AttemptIdTag>; ///< One sending of a request; unique per router.
using AppendId = Number<struct AppendIdTag>;   ///< One append to the log; unique per router.
using OrderId = Number<struct OrderIdTag>;
using LogOffset = Number<struct LogOffsetTag>; ///< Position in a stream; the first record has 1.
using Revision = Number<struct RevisionTag>;   ///< Counts accepted changes; 0 is the empty state.
using Incarnation = Number<struct IncarnationTag>; ///< Grows with each start of a router.
using FencingNumber = Number<struct FencingNumberTag>;
using Fingerprint = Number<struct FingerprintTag>;   ///< xxHash64 of customer and request body.
using PromptPartId = Number<struct PromptPartIdTag>; ///< A part that prompts of requests share.
using PrefixHash = Number<struct PrefixHashTag>; ///< xxHash64 of a shared prompt prefix; 0 is none.

} // namespace comfrey

template<typename Tag>
struct std::hash<comfrey::Name<Tag>>
{
    std::size_t operator()(const comfrey::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>{}(name.value());
    }
};

template<typename Tag>
struct std::hash<comfrey::Number<Tag>>
{
    std::size_t operator()(const comfrey::Number<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>{}(number.value());
    }
};
