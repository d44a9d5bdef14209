// Chats: from a caller's request to its whole answer, over admission, placement and retries.
#pragma once

#include <string>
#include <unordered_map>

#include "admission/entitlement.h"
#include "chat/chatrequest.h"
#include "chat/prober.h"
#include "facade/part.h"

namespace comfrey {

class ChatPart : public Part
{
public:
    explicit ChatPart(const PartContext &context);

    const char *name() const override { return "chat"; }
    void onEvent(const Event &event, TimePoint now, Outbox &out) override;
    TimePoint nextWakeUp() const override;
    bool isIdle() const override { return m_requests.empty(); }
    void dump(nlohmann::json &out, TimePoint now) const override;

private:
    void onArrived(const RequestArrived &arrived, TimePoint now, Outbox &out);
    void onCallerLeft(const CallerLeft &left, Outbox &out);
    void onProgress(const AttemptProgress &progress, Outbox &out);
    void onEnded(const AttemptEnded &ended, TimePoint now, Outbox &out);
    void sendSomewhere(ChatRequest &request, TimePoint now, Outbox &out);
    void send(ChatRequest &request, const BackendView &engine, TimePoint now, Outbox &out);
    void cancelOthers(ChatRequest &request, AttemptId kept, Outbox &out);
    void finish(const RequestId &id, AttemptId winner, Outbox &out);
    void giveUp(ChatRequest &request, const Refusal &reason, Outbox &out);

    PartContext m_context;
    Prober m_prober;
    std::unordered_map<RequestId, ChatRequest> m_requests;
};

} // namespace comfrey
