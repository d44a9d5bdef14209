// One caller's request inside the process: where the traffic threads that run its attempts, the
// control thread, and the thread that serves the caller meet.
#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "comfrey/actions.h"
#include "comfrey/events.h"
#include "relay/streamrelay.h"

namespace comfrey {

/// What is sent to the back end; it never changes during the exchange.
struct ForwardedRequest
{
    std::string method;
    std::string path;
    std::string body;
    std::string contentType;
};

/// What a whole answer of an attempt said besides its tokens.
struct AttemptSummary
{
    int status = 200;
    std::string finishReason;
    std::string body; ///< Of a service call.
    std::string contentType;
    Tokens promptTokens = 0;
    Tokens completionTokens = 0; ///< Of the whole answer, over all attempts.
    Tokens cachedTokens = 0;
};

/// What the caller's thread gets next.
struct CallerPiece
{
    std::vector<std::string> tokens; ///< In order; possibly empty.
    std::optional<AnswerCaller> end; ///< Set once, after the last token.
};

class Exchange
{
public:
    Exchange(RequestId request, CallerRequest detail, ForwardedRequest forwarded);

    const RequestId &request() const { return m_request; }
    const CallerRequest &detail() const { return m_detail; }
    const ForwardedRequest &forwarded() const { return m_forwarded; }

    /// Called by an attempt's thread for each token that it read.
    RelayVerdict deliver(AttemptId attempt, const RequestId &answerId, Tokens position,
                         std::string text);
    /// Called by an attempt's thread after its last token. Returns whether the caller has, or will
    /// have, all tokens of this answer.
    bool finish(AttemptId attempt, AttemptSummary summary);
    /// Called by an attempt's thread when it reads no more.
    void release(AttemptId attempt);
    Tokens delivered() const;

    /// Called by the control thread; the first call wins.
    void end(AnswerCaller answer);

    /// Waits for tokens or the end, at most for `limit`.
    CallerPiece next(std::chrono::milliseconds limit);
    /// The summary of a finished attempt, or an empty one.
    AttemptSummary summaryOf(AttemptId attempt) const;

private:
    const RequestId m_request;
    const CallerRequest m_detail;
    const ForwardedRequest m_forwarded;

    mutable std::mutex m_mutex; ///< Guards all below.
    std::condition_variable m_changed;
    StreamRelay m_relay;
    std::vector<std::string> m_tokens; ///< Delivered by attempts, not yet taken by the caller.
    std::map<AttemptId, AttemptSummary> m_summaries;
    std::optional<AnswerCaller> m_end;
};

} // namespace comfrey
