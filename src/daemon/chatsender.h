// One sending of a chat to an engine: reads its stream token by token into the exchange.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "daemon/backendsender.h"
#include "relay/ssereader.h"

namespace comfrey {

class ChatSender : public BackendSender
{
public:
    ChatSender(SendingParts &parts, SendToBackend order, std::shared_ptr<Exchange> exchange);

protected:
    std::vector<HttpField> fields() const override;
    bool takeHead(const HttpHead &head) override;
    bool takeBytes(std::string_view bytes) override;
    std::size_t heldBytes() const override;
    void describeEnd(Cause cause, AttemptEnded &ended) override;

private:
    bool takeEvent(std::string_view data);
    /// As takeEvent(); throws nlohmann::json::exception if a member has another type.
    bool takeChunk(const nlohmann::json &event);
    bool takeToken(const std::string &answerId, Tokens position, const std::string &text);
    bool takeLastChunk(const std::string &answerId, const std::string &finishReason);
    AttemptEnd endOf(Cause cause) const;
    AttemptEnd endOfStatus() const;

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
