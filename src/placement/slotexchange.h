// This router's slots on engines: it asks each engine's home router for one per request, and gives
// it back when the request ends. Where this router is the home itself, no message is sent.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "placement/slothome.h"

namespace comfrey {

/// What became of an ask.
enum class SlotNewsKind : std::uint8_t {
    Granted,
    Queued,   ///< The engine is full; a grant may follow.
    TimedOut, ///< The home router did not answer; no grant will be used.
    Moved,    ///< The engine has another home router now; no grant will be used.
};

struct SlotNews
{
    SlotNewsKind kind = SlotNewsKind::Granted;
    AttemptId attempt;
    BackendId backend;
};

struct SlotAskOptions
{
    Priority priority = Priority::Short;
    bool withinShare = true;
    bool mayWait = true;
    bool suspect = false;
};

class SlotExchange
{
public:
    explicit SlotExchange(const PartContext &context);

    void ask(AttemptId attempt, const BackendId &backend, const SlotAskOptions &options,
             TimePoint now, Outbox &out);
    /// Ends an ask or a slot; without effect for an attempt that has none.
    void release(AttemptId attempt, std::uint8_t slowQuarters, TimePoint now, Outbox &out);
    /// Takes a slot without a grant: the home router does not answer, and this router stays within
    /// its own part of the engine's limit, which is at least `least`. False if it is used up.
    bool takeOwnPart(AttemptId attempt, const BackendId &backend, std::uint32_t least,
                     TimePoint now);
    /// Tells the engine's home router of a slow answer that has not ended yet.
    void noticeSlow(const BackendId &backend, std::uint8_t slowQuarters, TimePoint now,
                    Outbox &out);

    /// Requests that wait for a slot, by pool; added to the demand that home routers hear of.
    void setWaiting(std::uint64_t pool, std::uint32_t count) { m_waiting[pool] = count; }

    void onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now, Outbox &out);
    void tick(TimePoint now, Outbox &out);
    TimePoint nextWakeUp() const;
    std::vector<SlotNews> takeNews() { return std::exchange(m_news, {}); }

    std::uint32_t held(const BackendId &backend) const;
    /// Last heard load of an engine over all routers; 0 if none was heard.
    std::uint32_t lastInFlight(const BackendId &backend) const;
    const SlotHome &home() const { return m_home; }
    void setUsualSlowness(double slowness) { m_home.setUsualSlowness(slowness); }
    void dump(nlohmann::json &out, TimePoint now) const;

private:
    enum class State : std::uint8_t { Asked, Queued, Held };

    struct Own
    {
        BackendId backend;
        RouterId home;
        State state = State::Asked;
        TimePoint askedAt;
        SlotAskOptions options;
    };

    struct Engine
    {
        RouterId home;
        std::uint64_t pool = 0;
        std::uint32_t held = 0;
        std::uint32_t lastLimit = 0;
        std::uint32_t lastInFlight = 0;
        int holdingRepeats = 0; ///< Still to be sent to a new home, since one may be lost.
    };

    void followFleet(TimePoint now, Outbox &out);
    void moveHome(const BackendId &backend, Engine &engine, const RouterId &home, TimePoint now,
                  Outbox &out);
    void dropAsks(const BackendId &backend);
    void sendHolding(const BackendId &backend, const RouterId &to, bool moved, TimePoint now,
                     Outbox &out);
    void repeatHoldings(TimePoint now, Outbox &out);
    void renew(TimePoint now, Outbox &out);
    void sendAsk(AttemptId attempt, const Own &own, TimePoint now, Outbox &out);
    void noteLoss(const BackendId &backend, TimePoint now);
    void repeatHoldingSoon(const BackendId &backend, TimePoint now);
    Duration repeatInterval(TimePoint now) const;
    void endLateAsks(TimePoint now, Outbox &out);
    void repeatQueuedAsks(TimePoint now, Outbox &out);
    void sendRelease(const RouterId &to, const BackendId &backend, AttemptId attempt,
                     std::uint8_t slowQuarters, TimePoint now, Outbox &out);
    void onAnswer(const RouterId &from, const wire::SlotGrantT &answer, TimePoint now, Outbox &out);
    void deliverAnswers(TimePoint now, Outbox &out);
    std::uint32_t demand(std::uint64_t pool) const;

    PartContext m_context;
    SlotHome m_home;
    std::map<AttemptId, Own> m_own;
    std::map<BackendId, Engine> m_engines;
    std::map<std::uint64_t, std::uint32_t> m_waiting;
    std::map<std::uint64_t, std::uint32_t> m_heldInPool;
    std::vector<SlotNews> m_news;
    std::uint64_t m_version = 0;
    bool m_started = false;
    AttemptId m_newest;
    TimePoint m_renewAt = kNever;
    TimePoint m_nextTimeout = kNever;
    TimePoint m_repeatAt = kNever;
    TimePoint m_repeatHoldingsAt = kNever;
    TimePoint m_lossyUntil; ///< Messages were lost lately: what may be lost is repeated soon.
};

} // namespace comfrey
