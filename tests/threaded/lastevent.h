// An event sink for tests that wait for one event after each call.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

#include "daemon/eventsink.h"

namespace comfrey {

/// Keeps the last event.
class LastEvent : public EventSink
{
public:
    void post(Event event) override
    {
        const std::lock_guard lock(m_mutex);
        m_event = std::move(event);
        m_changed.notify_all();
    }

    std::optional<Event> wait()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::seconds(10), [this] { return m_event.has_value(); });
        return std::exchange(m_event, std::nullopt);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<Event> m_event;
};

} // namespace comfrey
