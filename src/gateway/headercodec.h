// Translates between header fields and the types that decisions use. Each platform has its own.
#pragma once

#include <string>

#include "comfrey/error.h"
#include "dispatch/dispatcher.h"
#include "dispatch/requestfacts.h"
#include "traffic/httphead.h"

namespace comfrey {

/// What a request carries to one backend server.
struct AttemptContext
{
    const Replica *replica = nullptr; ///< Never null.
    const Organisation *organisation = nullptr;
    Duration timeLeft;
    std::optional<std::uint32_t> priority; ///< 0 is the most urgent; for engines only.
    const Replica *promptSource =
        nullptr;             ///< The server copies cached prompt parts from there; may be null.
    std::string lastEventId; ///< Go on after this event; empty for a start.
};

class HeaderCodec
{
public:
    virtual ~HeaderCodec() = default;
    /// The error text says what is wrong with the request.
    virtual Result<RequestFacts> readRequest(const HttpHead &head,
                                             const std::string &body) const = 0;
    /// The head that goes to a backend server, with its closing empty line. `head` has no
    /// hop-by-hop fields.
    virtual std::string writeRequest(const HttpHead &head, std::size_t bodyBytes,
                                     const AttemptContext &delivery) const = 0;
    virtual AnswerFacts readAnswer(const HttpHead &head) const = 0;
    /// Removes from an answer what is between servers and routers.
    virtual void removeInternalFields(HttpHead &head) const = 0;
    /// False if the answer names another request.
    virtual bool matchesRequest(const HttpHead &head, const std::string &requestId) const = 0;
};

} // namespace comfrey
