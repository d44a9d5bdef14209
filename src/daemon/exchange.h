// One caller's request inside the process: where the attempts that read its answer, the control
// thread's decisions and the caller's connection meet. Lives on the traffic loop alone.
#pragma once

#include <functional>
#include <map>
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

/// Tells the caller.
class ExchangeListener
{
public:
    virtual ~ExchangeListener() = default;
    virtual void onToken(const std::string &text) = 0;
    /// Bytes of tokens that are kept until the end.
    virtual std::size_t heldBytes() const { return 0; }
    /// Called once, after the last token.
    virtual void onEnd(const AnswerCaller &answer) = 0;
};

class Exchange
{
public:
    Exchange(RequestId request, CallerRequest detail, ForwardedRequest forwarded);

    const RequestId &request() const { return m_request; }
    const CallerRequest &detail() const { return m_detail; }
    const ForwardedRequest &forwarded() const { return m_forwarded; }

    /// Null ends the listening; what comes then is dropped.
    void listen(ExchangeListener *listener) { m_listener = listener; }

    /// For each token that an attempt read. An answer that is kept whole ends in a gap once it is
    /// longer than any sound one.
    RelayVerdict deliver(AttemptId attempt, const RequestId &answerId, Tokens position,
                         const std::string &text);
    /// After an attempt's last token. Returns whether the caller has all tokens of this answer.
    bool finish(AttemptId attempt, AttemptSummary summary);
    /// The attempt reads no more.
    void release(AttemptId attempt) { m_relay.release(attempt); }
    Tokens delivered() const { return m_relay.delivered(); }
    /// Bytes of the answer that are kept until it is whole.
    std::size_t heldBytes() const { return m_listener ? m_listener->heldBytes() : 0; }

    /// The router's decision; the first one wins.
    void end(const AnswerCaller &answer);
    /// The summary of a finished attempt, or an empty one.
    AttemptSummary summaryOf(AttemptId attempt) const;

    /// The caller reads slower than the back end writes: attempts stop reading until it has room.
    void setBacklogged(bool backlogged);
    bool isBacklogged() const { return m_backlogged; }
    /// Runs `resume` once, as soon as the caller has room again.
    void whenRoom(std::function<void()> resume) { m_resumes.push_back(std::move(resume)); }

private:
    const RequestId m_request;
    const CallerRequest m_detail;
    const ForwardedRequest m_forwarded;
    StreamRelay m_relay;
    std::map<AttemptId, AttemptSummary> m_summaries;
    ExchangeListener *m_listener = nullptr;
    std::vector<std::function<void()>> m_resumes;
    bool m_backlogged = false;
    bool m_ended = false;
};

} // namespace comfrey
