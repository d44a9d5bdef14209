// One caller's request, from its arrival to the end of its answer. Covers admission, the attempts
// at backend servers and their retries, the relay of the answer, time limits, and callers that
// disconnect.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "gateway/eventsplitter.h"
#include "gateway/gateway.h"
#include "gateway/leasesource.h"
#include "outcome/runstate.h"

namespace comfrey {

/// Answers one request of a caller. Created by Gateway for each request that was read whole; keeps
/// itself alive through its timer and Gateway until the caller is answered or disconnects.
class ProxiedRequest : public CallerWatcher,
                       public BackendListener,
                       public std::enable_shared_from_this<ProxiedRequest>
{
public:
    ProxiedRequest(Gateway &gateway, std::shared_ptr<CallerConnection> caller, HttpHead head,
                   std::string body);

    /// Admits the request and starts the first attempt, or answers the caller with an error.
    void start();

    /// The process ends: answers that the request failed, or cuts an answer that has begun.
    void onProcessEnds();

    /// The caller disconnected: aborts the current attempt.
    void onCallerGone() override;
    /// The caller has read all that was written: resumes reading from the backend server.
    void onCallerDrained() override;

    /// False if the answer names another request, or none on a connection that carried an earlier
    /// one; such an answer is logged and discarded.
    bool acceptsHead(const HttpHead &head) override;
    /// Decides from the head of an answer whether its body is buffered, streamed or discarded.
    void onHead(HttpHead &head) override;
    void onBody(std::string_view bytes) override;
    /// The answer is complete.
    void onEnd() override;
    /// The connection to the server could not be opened, or broke before the answer was complete.
    void onBroken(BreakKind kind) override;

private:
    /// What happens to the body of the current attempt's answer.
    enum class Relay : std::uint8_t {
        None,     ///< No answer has begun.
        Buffer,   ///< Buffered until it is complete, then relayed.
        Stream,   ///< Relayed as it arrives.
        Discard,  ///< The server did not run the request: its answer is read and discarded.
        Withhold, ///< The status would promise falsely that the request did not run: as Discard.
    };

    /// An answer that is buffered as a whole.
    struct BufferedAnswer
    {
        HttpHead head;
        std::string body;

        std::size_t heldBytes() const { return comfrey::heldBytes(head) + body.size(); }
    };

    /// Answers a request that was not admitted. True if it did.
    bool refuseIfNotAdmitted();
    /// Sets the deadline from the limits of the route and of the caller, and its timer.
    void startDeadlineTimer();
    /// The deadline has passed: aborts the attempt and ends the request.
    void onTimeout();
    /// Aborts the attempt and ends the request: cuts an answer that has begun; else answers with
    /// `statusIfRun` or, if the request did not run, refuses it.
    void endUnanswered(unsigned statusIfRun, std::string_view reason, Duration retryAfter);
    /// Chooses a server and sends the request to it. A service with a shared queue needs a lease
    /// first.
    void startAttempt();
    /// Asks whether an engine has room. True if the request may be sent now; otherwise it was
    /// refused, or is held and starts its attempt later.
    bool mayUseEngine(TimePoint now);
    /// Requests a lease from the owner of the service's shared queue.
    void requestLease(TimePoint now);
    /// Sends to the leased server. Without a queue owner this router chooses a server itself.
    void onLeaseReply(const LeaseReply &reply, TimePoint requestedAt);
    /// Sends the request to the chosen server, or gives up if the choice has none.
    void sendToChoice(const Choice &choice, TimePoint now);
    /// Ends the lease of the current attempt, if it has one, with m_leaseOutcome.
    void releaseLease(TimePoint now);
    /// Ends an attempt that the server did not run, and retries.
    void onNotRun(TimePoint now);
    /// Ends an attempt that the server answered with a failure; the caller has not got the answer.
    void onServerFailed(TimePoint now, std::string_view reason);
    /// Counts bytes of an answer that is discarded. Ends its attempt if they are too many.
    void discard(std::string_view bytes);
    /// Ends an attempt whose answer was read whole; its connection may be reused.
    void completeAttempt(TimePoint now);
    /// Writes a part of a streamed body to the caller; of a resumable stream only whole events.
    void relayBody(std::string_view bytes);
    /// Bytes of the answer that may be held: `usually`, or little while memory is short.
    std::size_t mostHeld(std::size_t usually) const;
    /// True unless the answer is a stream of events that has ended inside an event.
    bool hasStreamEndedWhole() const;
    /// Aborts an attempt whose answer has begun and is not well-formed.
    void abortMalformedAnswer(std::string_view reason);
    /// Starts to stream an answer that is too large to buffer.
    void startStreaming();
    /// Sends a complete buffered answer to the caller; retries after a failure of the server.
    void deliverBufferedAnswer();
    /// The connection of an attempt broke during its answer. Checks whether the server's process
    /// still runs, then retries or gives up.
    void onAttemptBroken(const std::shared_ptr<Replica> &replica, std::string_view reason);
    /// Answers a request that crashed the servers that ran it. True if it did.
    bool refuseIfQuarantined(TimePoint now);
    /// The attempt ended without an answer for the caller. Starts another one if the route, the
    /// retry budget and the deadline allow it.
    void retryOrGiveUp(AttemptResult result, std::string_view reason);
    /// Ends the request without a further attempt: aborts a response that has begun, relays the
    /// last failure of a server, or answers with 503 if no server can have run the request, else
    /// with 502.
    void giveUp(AttemptResult result, std::string_view reason);
    /// Applies what an answer says about its server: that it is leaving, or that it wants a pause.
    void applyServerNotices(const AnswerFacts &facts, TimePoint now);
    /// Refuses the request since no server of the service accepts requests for `pause`. Retry-After
    /// tells the caller when to retry.
    void refuseForPause(Duration pause, TimePoint now);
    /// Reports to the crash guard that the attempt's server may have crashed under it. With
    /// `wasAlive` false, the server may have been down before the request was sent. `mayRunUntil`
    /// as in UnansweredAttempt.
    void reportUnanswered(const Replica &replica, bool wasAlive, TimePoint now,
                          TimePoint mayRunUntil = TimePoint::min());
    /// As reportUnanswered(), if the caller leaves while the server may run the request.
    void reportAbandoned(TimePoint now);
    /// Wait for the first bytes within which servers of the service usually answer.
    Duration ordinaryWait();
    /// Reports once an attempt whose answer went on after its start.
    void reportSoundAnswer();
    /// Ends an attempt whose answer was not read whole; its connection is closed.
    void abortAttempt();
    /// Whether a server may have run the request, over all attempts.
    RunState runState() const;
    /// Answers with an error and a Retry-After field, and ends the request. If the request may have
    /// run, it answers 502 instead of a status that promises the opposite.
    void refuse(unsigned status, std::string_view reason, Duration retryAfter);
    /// Answers with an error that has no Retry-After field, and ends the request.
    void respondWithError(unsigned status, std::string_view reason);
    /// Logs and counts the request's outcome and removes it from the gateway.
    void finish(std::string_view outcome, unsigned status, std::string_view reason);
    /// Time since the request arrived.
    Duration elapsed() const { return m_gateway.now() - m_arrivedAt; }
    Dispatcher &dispatcher() { return m_gateway.dependencies().dispatcher; }

    Gateway &m_gateway;
    std::shared_ptr<CallerConnection> m_caller; ///< Null once the request has ended.
    HttpHead m_head;
    std::shared_ptr<const std::string> m_body;
    RequestFacts m_facts;
    Admission m_admission;
    TimePoint m_arrivedAt;
    TimePoint m_deadline = kNever; ///< Nobody waits for an answer after it.
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_holdTimer;
    bool m_isHeld = false; ///< Waits for room at an engine.

    std::shared_ptr<Replica> m_replica;   ///< Of the current attempt; null between attempts.
    BackendPool::Connection m_connection; ///< Null between attempts.
    TimePoint m_sentAt;                   ///< Start of the latest attempt.
    TimePoint m_lastReceivedAt; ///< Last bytes of the attempt's answer, or the attempt's start
                                ///< before them.
    TimePoint m_answerBegunAt = TimePoint::min(); ///< First body bytes of the latest attempt's
                                                  ///< answer; min() before them.
    bool m_isAbandonReported = false;             ///< The crash guard knows that the caller left.
    bool m_isSoundReported = false; ///< The latest attempt's answer went on after its start.
    Lease m_lease; ///< Of the current attempt; its queue owner is empty without a lease.
    LeaseOutcome m_leaseOutcome =
        LeaseOutcome::Unused;        ///< Reported to the queue owner when the lease is released.
    bool m_isAwaitingAnswer = false; ///< The replica's health counts the attempt as unanswered.
    std::vector<std::string> m_triedIncarnations; ///< Server incarnations, one for each attempt.
    std::uint32_t m_possibleRuns = 0; ///< Attempts in which a server may have run the request.

    Relay m_relay = Relay::None;
    BufferedAnswer m_bufferedAnswer;  ///< The answer that is being read with Relay::Buffer.
    BufferedAnswer m_fallbackAnswer;  ///< A server's failure; relayed if no retry succeeds.
    std::size_t m_discardedBytes = 0; ///< Body bytes of the present attempt's answer.
    EventSplitter m_eventSplitter;    ///< Splits streams that may be resumed into events.
    EventBoundary m_eventBoundary;    ///< Of the other streams of events.
    bool m_isEventStream = false;     ///< The answer is a stream of server-sent events.
    bool m_isResumable = false;  ///< The answer is a stream that can continue at another server.
    bool m_hasFirstByte = false; ///< A part of a streamed body was relayed.
    Duration m_firstByteLatency{
        0}; ///< From the arrival to the first relayed bytes of a streamed body.
};

} // namespace comfrey
