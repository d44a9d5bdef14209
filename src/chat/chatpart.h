// Chats: from a caller's request to its whole answer, over admission, placement, hedges, retries
// and quarantine. Every request that arrives is answered exactly once, unless its caller leaves.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "admission/chatqueue.h"
#include "admission/lengthpredictor.h"
#include "admission/planlimits.h"
#include "chat/chatrequest.h"
#include "chat/prober.h"
#include "health/budget.h"
#include "health/enginehealth.h"
#include "quarantine/quarantine.h"

namespace comfrey {

class ChatPart : public Part
{
public:
    explicit ChatPart(const PartContext &context);

    const char *name() const override { return "chat"; }
    void onEvent(const Event &event, TimePoint now, Outbox &out) override;
    void onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now,
                   Outbox &out) override;
    TimePoint nextWakeUp() const override;
    bool isIdle() const override { return m_requests.empty() && m_attempts.empty(); }
    void dump(nlohmann::json &out, TimePoint now) const override;

    const Placer &placer() const { return m_placer; }

private:
    // Arrival and admission.
    void onArrived(const RequestArrived &arrived, TimePoint now, Outbox &out);
    std::optional<Refusal> admit(ChatRequest &request, TimePoint now);
    TimePoint waitLimit(const ChatRequest &request) const;

    // Attempts.
    void onProgress(const AttemptProgress &progress, TimePoint now, Outbox &out);
    void onFirstToken(ChatAttempt &attempt, ChatRequest &request, Tokens cached, TimePoint now,
                      Outbox &out);
    void onEnded(const AttemptEnded &ended, TimePoint now, Outbox &out);
    void onFailed(ChatRequest &request, const ChatAttempt &attempt, const AttemptEnded &ended,
                  TimePoint now, Outbox &out);
    bool onBroken(ChatRequest &request, const ChatAttempt &attempt, TimePoint now, Outbox &out);
    void clearSuspect(ChatRequest &request);
    void onCallerLeft(const CallerLeft &left, TimePoint now, Outbox &out);

    // Finding engines.
    void pump(TimePoint now, Outbox &out);
    void search(ChatRequest &request, TimePoint now, Outbox &out);
    void onPlacement(const Placement &placement, TimePoint now, Outbox &out);
    void send(ChatRequest &request, const Placement &placement, bool hedge, TimePoint now,
              Outbox &out);
    void watch(TimePoint now, Outbox &out);
    void onOverdue(ChatAttempt &attempt, ChatRequest &request, TimePoint now, Outbox &out);
    void hedge(ChatRequest &request, const BackendId &engine, TimePoint now, Outbox &out);

    // Ends.
    void cancelOthers(ChatRequest &request, std::optional<AttemptId> kept, TimePoint now,
                      Outbox &out);
    void finish(ChatRequest &request, AttemptId winner, TimePoint now, Outbox &out);
    void giveUp(ChatRequest &request, const Refusal &reason, TimePoint now, Outbox &out);
    void forget(ChatRequest &request);
    Refusal noEngineLeft(const ChatRequest &request) const;
    Refusal late(const ChatRequest &request, TimePoint now) const;
    Budget &retryBudget(const PlanId &plan);

    ChatRequest *requestOf(const RequestId &id);
    static std::string fieldsOf(const ChatRequest &request);

    PartContext m_context;
    Prober m_prober;
    EngineHealth m_health;
    Placer m_placer;
    ChatQueue m_queue;
    PlanLimitKeeper m_limits;
    LengthPredictor m_lengths;
    Quarantine m_quarantine;
    Budget m_hedgeBudget;
    std::map<PlanId, Budget> m_retryBudgets;
    std::unordered_map<RequestId, ChatRequest> m_requests;
    std::unordered_map<AttemptId, ChatAttempt> m_attempts;
    std::multimap<TimePoint, AttemptId> m_watched;   ///< When a first token is overdue.
    std::multimap<TimePoint, RequestId> m_deadlines; ///< Of exactly the requests in m_requests.
    std::uint64_t m_hedges = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_refusals = 0;
};

} // namespace comfrey
