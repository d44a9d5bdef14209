// What the fakes of engines and of plain services have in common.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "comfrey/actions.h"
#include "comfrey/events.h"
#include "comfrey/fleet.h"

namespace comfrey::test {

/// A caller's request with what only the back ends come to know of it.
struct Submission
{
    CallerRequest detail;
    Tokens outputTokens = 20;    ///< Length of a chat's whole answer.
    bool crashesBackend = false; ///< A back end that starts it breaks down.
};

/// One sending of a request, unique over all routers and their restarts.
struct AttemptKey
{
    RouterId router;
    std::uint64_t incarnation = 0;
    AttemptId attempt;
    friend bool operator==(const AttemptKey &, const AttemptKey &) = default;
    friend bool operator<(const AttemptKey &left, const AttemptKey &right)
    {
        return std::tie(left.router, left.incarnation, left.attempt)
            < std::tie(right.router, right.incarnation, right.attempt);
    }
};

struct Arrival
{
    AttemptKey key;
    RequestId request;
    Priority priority = Priority::Normal;
    Tokens resumeAt = 0;
    Submission submission;
};

/// Takes what back ends send back; the network's delay comes on top.
class AttemptSink
{
public:
    virtual ~AttemptSink() = default;
    /// The back end began to run the request.
    virtual void started(const Arrival &arrival) = 0;
    /// `tokens` of this attempt were delivered so far.
    virtual void progressed(const AttemptKey &key, Tokens tokens, Tokens cachedPromptTokens) = 0;
    virtual void ended(const AttemptKey &key, const AttemptEnded &end) = 0;
};

class FakeBackend
{
public:
    virtual ~FakeBackend() = default;
    virtual Instance instance() const = 0;
    virtual bool isUp() const = 0;
    virtual void arrive(const Arrival &arrival) = 0;
    /// The router closed the attempt's connection.
    virtual void cancel(const AttemptKey &key) = 0;
    /// Breaks every connection; nothing connects until restart().
    virtual void crash() = 0;
    virtual void restart() = 0;
    /// Requests started and not ended, and those that wait for a slot.
    virtual std::uint32_t inFlight() const = 0;
    virtual LoadReport report() const = 0;
};

} // namespace comfrey::test
