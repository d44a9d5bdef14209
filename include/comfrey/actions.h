// Everything that the facade can ask its process to do, as typed values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "comfrey/events.h"
#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// Engine priority; a higher one is served first.
enum class Priority : std::uint8_t { Long = 0, Normal = 1, Short = 2 };

/// Sends a request to a back end. Each attempt id is sent once and ends with one AttemptEnded.
struct SendToBackend
{
    AttemptId attempt;
    RequestId request;
    BackendId backend;
    Endpoint address;
    Priority priority = Priority::Normal;
    Tokens resumeAt = 0;                  ///< Position of the first token wanted.
    Duration timeout = milliseconds(0);   ///< Until the whole answer.
    bool freshConnection = false;         ///< True for work that may not be repeated.
    std::optional<Endpoint> importKvFrom; ///< Engine whose KV cache to import first.
};

struct CancelAttempt
{
    AttemptId attempt;
};

/// What a caller may be told about its request.
enum class Outcome : std::uint8_t { Answered, NotRun, Unknown };

/// Stable code of an error that a caller sees.
enum class CallerError : std::uint8_t {
    None,
    Malformed,      ///< 400
    UnknownKey,     ///< 401
    NotEntitled,    ///< 403
    NotFound,       ///< 404
    KeyReused,      ///< 409: the idempotency key was used with another body.
    StillRunning,   ///< 409: the first call with this key has no outcome yet.
    TooLarge,       ///< 413
    KeyRequired,    ///< 400: the call may not be repeated and has no idempotency key.
    KeyExpired,     ///< 400: the idempotency key is too old to be told apart from a used one.
    OverShare,      ///< 429
    Quarantined,    ///< 422: the request crashed back ends.
    OutOfContract,  ///< 503: it could not be answered in the contracted time.
    NoBackend,      ///< 503
    LogUnavailable, ///< 503: at-most-once cannot be guaranteed now.
    Stopping,       ///< 503
    BackendFailed,  ///< 502
    OutcomeUnknown, ///< 504: it may have run.
};

/// Ends a request. For Outcome::Answered with an empty body, the traffic loop already has the
/// answer of `attempt` and finishes it; otherwise the answer is made of the fields here.
struct AnswerCaller
{
    RequestId request;
    Outcome outcome = Outcome::NotRun;
    CallerError error = CallerError::None;
    std::string text; ///< Names the thing that failed.
    std::optional<Duration> retryAfter;
    AttemptId attempt; ///< Whose answer it is.
    int status = 0;    ///< Of a recorded answer.
    std::string body;  ///< Recorded answer of an earlier call with the same key.
    std::string contentType;
};

struct ProbeBackend
{
    BackendId backend;
    Endpoint address;
};

struct ReadInstanceList
{ };

/// Reads records from an offset on. With `wait`, the log may hold the answer until one comes.
struct ReadLog
{
    StreamId stream;
    LogOffset from;
    bool wait = false;
};

struct AppendToLog
{
    AppendId append;
    StreamId stream;
    Bytes payload;
};

/// One encoded envelope for another router; it may be lost, late, doubled or out of order.
struct SendToRouter
{
    RouterId to;
    Endpoint address;
    Bytes payload;
};

enum class OrderKind : std::uint8_t { LoadModel, UnloadModel, LoadAdapter, SetVersion, SetRole };

struct GiveOrder
{
    OrderId order;
    BackendId backend;
    Endpoint address;
    FencingNumber fencing;
    OrderKind kind = OrderKind::LoadModel;
    std::string subject; ///< Model, adapter, version or role.
};

struct FetchWeights
{
    OrderId order;
    BackendId backend;
    ModelId model;
};

enum class Severity : std::uint8_t { Info, Warning, Error };

/// One structured log line. Holds no prompt text and no keys.
struct WriteLogLine
{
    Severity severity = Severity::Info;
    std::string event;  ///< Stable name, e.g. "request-refused".
    std::string fields; ///< "key=value key=value".
};

/// Everything in flight has ended: the process may exit.
struct Stopped
{ };

using Action = std::variant<SendToBackend, CancelAttempt, AnswerCaller, ProbeBackend,
                            ReadInstanceList, ReadLog, AppendToLog, SendToRouter, GiveOrder,
                            FetchWeights, WriteLogLine, Stopped>;

} // namespace comfrey
