// Joins the tokens of several attempts into one stream without a lost, repeated or foreign token.
#pragma once

#include <cstdint>
#include <optional>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

enum class RelayVerdict : std::uint8_t {
    Deliver,    ///< Pass the token on to the caller.
    Repeated,   ///< The caller already has this position; read on.
    Superseded, ///< Another attempt feeds the stream; stop reading this one.
    Foreign,    ///< The answer belongs to another request; stop reading, pass nothing on.
    Gap,        ///< A token is missing before this one; stop reading, the attempt is broken.
};

/// One request's stream. The first attempt that delivers a token owns the stream until it ends.
class StreamRelay
{
public:
    explicit StreamRelay(RequestId request);

    /// Judges the token at `position` (the first token has 0) of an answer that carries `answerId`.
    RelayVerdict judge(AttemptId attempt, const RequestId &answerId, Tokens position);

    /// The attempt reads no more; another one may feed the stream from delivered() on.
    void release(AttemptId attempt);

    /// True if an answer that ends after `tokens` tokens leaves the caller with all of them.
    bool isWholeAt(Tokens tokens) const { return m_delivered == tokens; }

    Tokens delivered() const { return m_delivered; }
    const std::optional<AttemptId> &owner() const { return m_owner; }

private:
    RequestId m_request;
    std::optional<AttemptId> m_owner;
    Tokens m_delivered = 0; ///< The caller was given exactly the positions 0 .. m_delivered - 1.
};

} // namespace comfrey
