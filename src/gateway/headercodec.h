// Translates between HTTP header fields and the types that the dispatcher uses. Each platform
// implements it for its own fields.
#pragma once

#include <string>

#include "comfrey/error.h"
#include "dispatch/dispatcher.h"
#include "dispatch/requestfacts.h"
#include "traffic/httphead.h"

namespace comfrey {

/// Values of the header fields that the router adds to a request in one attempt.
struct AttemptContext
{
    const Replica *replica = nullptr;           ///< The receiving server; never null.
    const Organisation *organisation = nullptr; ///< Null on public routes.
    Duration timeLeft; ///< Until the limit of the route or of the caller, the earlier of them.
    std::optional<std::uint32_t> priority; ///< For engines only; 0 is the most urgent.
    const Replica *promptSource =
        nullptr;             ///< Replica to copy cached prompt parts from; may be null.
    std::string lastEventId; ///< A stream continues after this event; empty: from its start.
};

/// Reads and writes a platform's header fields.
class HeaderCodec
{
public:
    virtual ~HeaderCodec() = default;
    /// The facts of a caller's request. The error text says what is wrong with the request and is
    /// sent to its caller.
    virtual Result<RequestFacts> readRequest(const HttpHead &head,
                                             const std::string &body) const = 0;
    /// The head for a backend server as bytes, with its closing empty line. `head` must have no
    /// hop-by-hop fields; `bodyBytes` is the length of the body.
    virtual std::string writeRequest(const HttpHead &head, std::size_t bodyBytes,
                                     const AttemptContext &attempt) const = 0;
    /// What the head of a server's answer says about the answer and its server.
    virtual AnswerFacts readAnswer(const HttpHead &head) const = 0;
    /// Removes the fields of an answer that are meant for routers only.
    virtual void removeInternalFields(HttpHead &head) const = 0;
    /// Id of the request that the answer names; null if it names none.
    virtual const std::string *answeredRequest(const HttpHead &head) const = 0;
};

} // namespace comfrey
