// One request of a caller, from its arrival to the end of its answer: admission, sendings to
// backend servers, the relay of the answer, time limits, and a caller that leaves.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "gateway/eventsplitter.h"
#include "gateway/gateway.h"
#include "gateway/placesource.h"

namespace comfrey {

class ProxiedRequest : public CallerWatcher,
                       public BackendListener,
                       public std::enable_shared_from_this<ProxiedRequest>
{
public:
    ProxiedRequest(Gateway &gateway, std::shared_ptr<CallerConnection> caller, HttpHead head,
                   std::string body);

    void start();

    void onCallerGone() override;
    void onCallerDrained() override;

    bool acceptsHead(const HttpHead &head) override;
    void onHead(HttpHead &head) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;
    void onBroken(BreakKind kind) override;

private:
    /// What is done with the body of the present response.
    enum class Relay : std::uint8_t {
        None,    ///< No response yet.
        Buffer,  ///< Kept until it is whole, then passed on.
        Stream,  ///< Passed on as it comes.
        Discard, ///< The server did not run the request: its answer is read and dropped.
    };

    /// An answer that is kept whole.
    struct BufferedAnswer
    {
        HttpHead head;
        std::string body;
    };

    bool refuseIfNotAdmitted();
    void startDeadlineTimer();
    void onTimeout();
    /// Finds a server and sends; for small services after asking for a place.
    void startAttempt();
    void requestLease(TimePoint now);
    void onLeaseReply(const PlaceReply &reply, TimePoint requestedAt);
    void sendToChoice(const Choice &choice, TimePoint now);
    void releaseLease(TimePoint now);
    void onNotRun(TimePoint now);
    void completeAttempt(TimePoint now);
    void relayBody(std::string_view bytes);
    /// Drops an answer that has begun and can't be sound any more.
    void abortMalformedAnswer(std::string_view reason);
    void startStreaming();
    void deliverBufferedAnswer();
    /// A sending broke off; the server's process may have ended with it.
    void onAttemptBroken(const std::shared_ptr<Replica> &replica, std::string_view reason);
    bool refuseIfQuarantined(TimePoint now);
    /// The present sending ended without an answer for the caller: sends once more or gives up.
    void retryOrGiveUp(SendEnd result, std::string_view reason);
    void giveUp(SendEnd result, std::string_view reason);
    /// What the server says of itself in any answer.
    void applyServerNotices(const AnswerFacts &facts, TimePoint now);
    /// All servers want nothing for `pause`: the caller hears when to come back.
    void refuseForPause(Duration pause, TimePoint now);
    void abortAttempt();
    void refuse(unsigned status, std::string_view reason, Duration retryAfter);
    void respondWithError(unsigned status, std::string_view reason);
    void finish(std::string_view outcome, unsigned status, std::string_view reason);
    Duration elapsed() const { return m_gateway.now() - m_arrivedAt; }
    Dispatcher &dispatcher() { return m_gateway.dependencies().dispatcher; }

    Gateway &m_gateway;
    std::shared_ptr<CallerConnection> m_caller; ///< Null after the end.
    HttpHead m_head;
    std::shared_ptr<const std::string> m_body;
    RequestFacts m_facts;
    Admission m_admission;
    TimePoint m_arrivedAt;
    TimePoint m_deadline = kNever; ///< The caller and the route wait no longer.
    boost::asio::steady_timer m_timer;

    std::shared_ptr<Replica> m_replica;   ///< Of the present sending; null between sendings.
    BackendPool::Connection m_connection; ///< Null between sendings.
    TimePoint m_sentAt;
    TimePoint m_lastReceivedAt; ///< Of the sending, or of the last bytes of its answer.
    PlaceTicket m_lease;        ///< Of the present sending, if it has one.
    PlaceEnd m_leaseOutcome = PlaceEnd::Unused; ///< How its use went so far.
    bool m_isAwaitingAnswer = false; ///< The replica's health still counts this sending as open.
    std::vector<std::string> m_triedIncarnations; ///< Incarnations that this request was sent to.
    std::uint32_t m_possibleRuns = 0;             ///< Sendings that may have run.

    Relay m_relay = Relay::None;
    BufferedAnswer m_bufferedAnswer; ///< The answer that is being read, with Relay::Hold.
    BufferedAnswer m_fallbackAnswer; ///< A failure that a server answered with, if a repeat brings
                                     ///< nothing better.
    EventSplitter m_eventSplitter;   ///< Of streams that may be resumed.
    bool m_isResumable = false; ///< The answer is a stream that goes on elsewhere if it breaks.
    bool m_hasFirstByte = false;
    Duration m_firstByteLatency{0}; ///< Since the arrival, of a streamed answer.
};

} // namespace comfrey
