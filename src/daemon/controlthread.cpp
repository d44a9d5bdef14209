// The one thread that owns the facade. The only file that includes CAF.
#include "daemon/controlthread.h"

#include <algorithm>
#include <future>
#include <utility>

#include <caf/all.hpp>

namespace comfrey {

struct EventMessage
{
    std::shared_ptr<Event> event;
};

struct QueryMessage
{
    std::shared_ptr<std::function<void(const Router &, TimePoint)>> reader;
};

} // namespace comfrey

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfrey::EventMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfrey::QueryMessage)

namespace comfrey {

namespace {

using TickAtom = caf::atom_constant<caf::atom("tick")>;
using StopAtom = caf::atom_constant<caf::atom("stop")>;

constexpr auto kQueryLimit = std::chrono::seconds(1);
constexpr Duration kShortestDelay = milliseconds(1);

/// What the actor owns. Only its thread touches it.
class ControlState
{
public:
    ControlState(std::unique_ptr<Router> router, const ProcessClock &clock, ActionRunner &runner)
        : m_router(std::move(router)), m_clock(clock), m_runner(runner)
    { }

    void handle(const Event &event)
    {
        m_actions.clear();
        m_router->handle(event, m_clock.now(), m_actions);
        for (Action &action : m_actions)
            m_runner.run(std::move(action));
    }

    void tickIfDue()
    {
        m_timerAt = kNever;
        if (m_clock.now() >= m_router->nextWakeUp())
            handle(Tick{});
    }

    /// The delay of a timer to set now, or nothing if one that is set comes early enough.
    std::optional<Duration> timerToSet()
    {
        const TimePoint wanted = m_router->nextWakeUp();
        if (wanted >= m_timerAt)
            return std::nullopt;
        const TimePoint now = m_clock.now();
        const Duration delay = std::max(wanted - now, kShortestDelay);
        m_timerAt = now + delay;
        return delay;
    }

    void answer(const QueryMessage &query) { (*query.reader)(*m_router, m_clock.now()); }

private:
    std::unique_ptr<Router> m_router;
    const ProcessClock &m_clock;
    ActionRunner &m_runner;
    std::vector<Action> m_actions;
    TimePoint m_timerAt = kNever; ///< When the earliest timer that is set fires.
};

caf::behavior controlBehavior(caf::event_based_actor *self,
                              const std::shared_ptr<ControlState> &state)
{
    const auto setTimer = [self, state] {
        if (const auto delay = state->timerToSet())
            self->delayed_send(self, *delay, TickAtom::value);
    };
    self->delayed_send(self, kShortestDelay, TickAtom::value);
    return {
        [=](const EventMessage &message) {
            state->handle(*message.event);
            setTimer();
        },
        [=](TickAtom) {
            state->tickIfDue();
            setTimer();
        },
        [=](const QueryMessage &message) { state->answer(message); },
        [=](StopAtom) { self->quit(); },
    };
}

} // namespace

class ControlThread::Impl
{
public:
    explicit Impl(std::shared_ptr<ControlState> state)
        : m_system(m_config.set("scheduler.max-threads", 1)),
          m_actor(m_system.spawn(controlBehavior, std::move(state)))
    { }

    ~Impl() { stop(); }

    void stop()
    {
        caf::anon_send(m_actor, StopAtom::value);
        m_system.await_all_actors_done();
    }

    void post(Event event)
    {
        caf::anon_send(m_actor, EventMessage{std::make_shared<Event>(std::move(event))});
    }

    void ask(std::function<void(const Router &, TimePoint)> reader)
    {
        QueryMessage message{
            std::make_shared<std::function<void(const Router &, TimePoint)>>(std::move(reader))};
        caf::anon_send(m_actor, std::move(message));
    }

    bool query(std::function<void(const Router &, TimePoint)> reader)
    {
        auto done = std::make_shared<std::promise<void>>();
        auto ready = done->get_future();
        auto wrapped = [done, reader = std::move(reader)](const Router &router, TimePoint now) {
            reader(router, now);
            done->set_value();
        };
        ask(std::move(wrapped));
        return ready.wait_for(kQueryLimit) == std::future_status::ready;
    }

private:
    caf::actor_system_config m_config;
    caf::actor_system m_system;
    caf::actor m_actor;
};

ControlThread::ControlThread(std::unique_ptr<Router> router, const ProcessClock &clock,
                             ActionRunner &runner)
    : m_impl(
        std::make_unique<Impl>(std::make_shared<ControlState>(std::move(router), clock, runner)))
{ }

ControlThread::~ControlThread() = default;

void ControlThread::post(Event event)
{
    m_impl->post(std::move(event));
}

void ControlThread::stop()
{
    m_impl->stop();
}

void ControlThread::ask(std::function<void(const Router &router, TimePoint now)> reader)
{
    m_impl->ask(std::move(reader));
}

bool ControlThread::query(std::function<void(const Router &router, TimePoint now)> reader)
{
    return m_impl->query(std::move(reader));
}

} // namespace comfrey
