// Everything that a router can see, as typed values. The facade takes one event and the present
// time and gives back actions (actions.h).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "comfrey/fleet.h"
#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

using Bytes = std::vector<std::uint8_t>;

enum class RequestKind : std::uint8_t { Chat, ServiceCall };

/// A caller's request as far as decisions need it; the body stays with the traffic loop.
struct CallerRequest
{
    RequestKind kind = RequestKind::Chat;
    ApiKeyHash apiKey;
    std::uint32_t bodyBytes = 0;
    Fingerprint fingerprint;               ///< Of customer and body: equal for a caller's resend.
    std::optional<Duration> callerTimeout; ///< How long the caller waits, if it said so.

    ModelId model; ///< Chat only, like the next six.
    AdapterId adapter;
    ChatId chat;
    PrefixHash sharedPrefix; ///< Of the system prompt, shared over chats.
    Tokens promptTokens = 0; ///< Estimate.
    Tokens maxTokens = 0;
    bool streamed = false;

    ServiceName service; ///< Service call only, like the next two.
    IdempotencyKey idempotencyKey;
    bool mayRepeat = false; ///< True for methods that are idempotent by HTTP (GET, HEAD).
};

struct RequestArrived
{
    RequestId request;
    CallerRequest detail;
};

/// The caller closed its connection before the whole answer was delivered.
struct CallerLeft
{
    RequestId request;
};

/// The first token of an attempt (tokens == 1), and later a sparse count of tokens so far.
struct AttemptProgress
{
    AttemptId attempt;
    RequestId request;
    Tokens tokens = 0;
    Tokens cachedPromptTokens = 0; ///< As far as the engine told; 0 before.
};

/// How one sending of a request ended, as the traffic loop saw it.
enum class AttemptEnd : std::uint8_t {
    Completed,          ///< The whole answer arrived and carries the request's id.
    NotConnected,       ///< No byte of the request left this process.
    RefusedUnstarted,   ///< The back end answered that it did not start the request.
    FailedByBackend,    ///< The back end answered with a failure; it may have started the request.
    BrokenBeforeAnswer, ///< Connection lost after the first byte went out, before any answer.
    BrokenInAnswer,     ///< Connection lost with part of the answer read.
    TimedOut,           ///< Sent, and no whole answer within the time limit.
    ForeignAnswer,      ///< The answer carried another request's id; nothing of it was passed on.
    Cancelled,          ///< This router cancelled it.
};

struct AttemptEnded
{
    AttemptId attempt;
    RequestId request;
    AttemptEnd how = AttemptEnd::Completed;
    int status = 0;    ///< HTTP status of a completed answer.
    Tokens tokens = 0; ///< Delivered by this attempt.
    Tokens cachedPromptTokens = 0;
    bool backendLeaving = false; ///< The back end said that it is leaving.
    std::string body;            ///< Of a service call's answer, for the recorded outcome.
    std::string contentType;
};

enum class CacheChange : std::uint8_t { Stored, Evicted };

/// A hint from an engine that may be late and may have gaps.
struct CacheEvent
{
    CacheChange change = CacheChange::Stored;
    ChatId chat;
    PrefixHash sharedPrefix;
    Tokens tokens = 0;
};

/// An engine's own report. It tells of the past: see measuredAt.
struct LoadReport
{
    BackendId backend;
    TimePoint measuredAt;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    bool leaving = false;
    std::vector<ModelId> models;
    std::vector<AdapterId> adapters;
    std::string role;
    FencingNumber newestOrder;
    std::vector<CacheEvent> cacheEvents;
};

struct ProbeAnswered
{
    LoadReport report;
};

struct ProbeFailed
{
    BackendId backend;
};

struct InstanceListRead
{
    std::vector<Instance> instances;
};

struct InstanceListFailed
{ };

struct LogRecord
{
    LogOffset offset;
    Bytes payload;
};

/// The answer to ReadLog. firstOffset above the asked one means that older records are gone.
struct LogRead
{
    StreamId stream;
    LogOffset firstOffset; ///< Oldest record that the log still has; endOffset if it has none.
    LogOffset endOffset;   ///< Where the next record will be.
    std::vector<LogRecord> records; ///< In the order of offsets.
};

struct LogReadFailed
{
    StreamId stream;
};

enum class AppendResult : std::uint8_t {
    Accepted, ///< The log said so; only reading the record back proves its place.
    Refused,  ///< Certainly not appended.
    Lost,     ///< May have happened, may still happen.
};

struct AppendAnswered
{
    AppendId append;
    StreamId stream;
    AppendResult result = AppendResult::Lost;
    LogOffset offset; ///< Only if accepted.
};

/// Bytes from another router; they are verified before they are decoded.
struct PeerMessage
{
    RouterId from;
    Bytes payload;
};

enum class OrderResult : std::uint8_t { Done, RefusedStale, Failed, Lost };

struct OrderAnswered
{
    OrderId order;
    BackendId backend;
    OrderResult result = OrderResult::Lost;
};

enum class WeightsResult : std::uint8_t { Granted, RateLimited, Failed, Lost };

struct WeightsAnswered
{
    OrderId order;
    WeightsResult result = WeightsResult::Lost;
};

/// Time passed; sent at least as often as the facade's nextWakeUp() asks for.
struct Tick
{ };

/// The process was asked to stop: finish what is in flight, take nothing new.
struct StopRequested
{ };

using Event =
    std::variant<RequestArrived, CallerLeft, AttemptProgress, AttemptEnded, ProbeAnswered,
                 ProbeFailed, InstanceListRead, InstanceListFailed, LogRead, LogReadFailed,
                 AppendAnswered, PeerMessage, OrderAnswered, WeightsAnswered, Tick, StopRequested>;

} // namespace comfrey
