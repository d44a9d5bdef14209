// One sending of a chat to an engine: reads its stream token by token into the exchange.
#pragma once

#include <string>
#include <string_view>

#include "comfrey/actions.h"
#include "common/httpclient.h"
#include "daemon/eventsink.h"
#include "daemon/exchange.h"
#include "relay/ssereader.h"

namespace comfrey {

class RunningAttempt;

class ChatSender
{
public:
    ChatSender(const SendToBackend &order, Exchange &exchange, RunningAttempt &running,
               HttpClientPool &clients, EventSink &sink);

    /// Blocks until the answer ended one way or another.
    AttemptEnded run();

private:
    httplib::Request makeRequest();
    bool takeHead(const httplib::Response &response);
    bool takeBytes(const char *data, std::size_t size);
    bool takeEvent(std::string_view data);
    bool takeToken(const std::string &answerId, Tokens position, std::string text);
    bool takeLastChunk(const std::string &answerId, const std::string &finishReason);
    bool isLate() const;
    AttemptEnd endOf(const httplib::Result &result) const;
    AttemptEnd endOfStatus() const;

    const SendToBackend &m_order;
    Exchange &m_exchange;
    RunningAttempt &m_running;
    HttpClientPool &m_clients;
    EventSink &m_sink;
    const std::chrono::steady_clock::time_point m_deadline;
    SseReader m_reader;
    AttemptSummary m_summary;
    int m_status = 0;
    bool m_notStarted = false;
    bool m_leaving = false;
    bool m_isWhole = false; ///< The last event came and every token before it.
    bool m_isForeign = false;
    bool m_isSuperseded = false;
    Tokens m_tokens = 0; ///< Delivered by this attempt.
};

} // namespace comfrey
