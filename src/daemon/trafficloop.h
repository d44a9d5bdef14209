// The event loop of a router process, on a thread of its own: callers' connections and calls to
// back ends run there, and nothing on it blocks.
#pragma once

#include <functional>
#include <thread>
#include <vector>

#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "comfrey/units.h"

namespace comfrey {

class TrafficLoop
{
public:
    using Sweep = std::function<void()>;

    TrafficLoop();
    ~TrafficLoop();
    TrafficLoop(const TrafficLoop &) = delete;
    TrafficLoop &operator=(const TrafficLoop &) = delete;

    boost::asio::io_context &context() { return m_context; }
    /// Runs `work` on the loop's thread, after what was posted before. From any thread.
    void post(std::function<void()> work);
    /// `sweep` runs ten times a second. Only before start().
    void addSweep(Sweep sweep) { m_sweeps.push_back(std::move(sweep)); }
    void start();
    /// Ends the thread; nothing runs on the loop afterwards.
    void stop();

private:
    void sweepLater();

    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    boost::asio::steady_timer m_sweepTimer;
    std::vector<Sweep> m_sweeps;
    std::thread m_thread;
};

} // namespace comfrey
