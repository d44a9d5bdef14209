// The thread of the event loop.
#include "daemon/trafficloop.h"

#include <boost/asio/post.hpp>

namespace comfrey {

namespace {

constexpr std::chrono::milliseconds kSweepInterval{100}; // fine enough for limits of a second

} // namespace

TrafficLoop::TrafficLoop() : m_guard(m_context.get_executor()), m_sweepTimer(m_context) { }

TrafficLoop::~TrafficLoop()
{
    stop();
}

void TrafficLoop::post(std::function<void()> work)
{
    boost::asio::post(m_context, std::move(work));
}

void TrafficLoop::start()
{
    sweepLater();
    m_thread = std::thread([this] { m_context.run(); });
}

void TrafficLoop::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void TrafficLoop::sweepLater()
{
    m_sweepTimer.expires_after(kSweepInterval);
    m_sweepTimer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        for (const Sweep &sweep : m_sweeps)
            sweep();
        sweepLater();
    });
}

} // namespace comfrey
