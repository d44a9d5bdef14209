// The one thread that owns the facade: a CAF actor that takes events in order and carries out the
// actions through an ActionRunner.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "comfrey/router.h"
#include "daemon/eventsink.h"
#include "daemon/processclock.h"

namespace comfrey {

/// Carries out actions; called on the control thread, must not block.
class ActionRunner
{
public:
    virtual ~ActionRunner() = default;
    virtual void run(Action action) = 0;
};

class ControlThread : public EventSink
{
public:
    ControlThread(std::unique_ptr<Router> router, const ProcessClock &clock, ActionRunner &runner);
    ~ControlThread() override;

    /// After stop() it does nothing.
    void post(Event event) override;

    /// Ends the actor and waits for it: no action is run any more.
    void stop();

    /// Runs a reading function on the control thread, later; it must not block.
    void ask(std::function<void(const Router &router, TimePoint now)> reader);
    /// Runs a reading function on the control thread and waits for it, at most a second. Returns
    /// false if it did not run in time.
    bool query(std::function<void(const Router &router, TimePoint now)> reader);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace comfrey
