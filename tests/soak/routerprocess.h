// A router as a process of its own, with its own loopback address, and signals from outside.
#pragma once

#include <sys/types.h>

#include <string>

#include "loopback.h"

namespace comfrey::soak {

class RouterProcess
{
public:
    /// `folder` takes settings and logs.
    RouterProcess(int index, std::string folder, std::string storeAddress);
    ~RouterProcess();
    RouterProcess(const RouterProcess &) = delete;
    RouterProcess &operator=(const RouterProcess &) = delete;

    void start(bool isFirstStart);
    void signal(int number);
    /// Moves its time of day from the true time.
    void shiftClock(int seconds);
    /// True if the process has ended since the last look.
    bool hasEnded();

    bool isRunning() const { return m_pid > 0; }
    /// Of the last end: the exit code, or minus the signal.
    int lastEnd() const { return m_lastEnd; }
    boost::asio::ip::tcp::endpoint callerEndpoint() const { return endpoint(8227); }
    boost::asio::ip::tcp::endpoint readyEndpoint() const { return endpoint(8220); }
    std::string name() const { return "r" + std::to_string(m_index); }
    int starts() const { return m_starts; }

    bool isPaused = false;
    bool isKilled = false;   ///< SIGKILL was sent; its end shows a little later.
    bool isStopping = false; ///< SIGTERM was sent.
    TimePoint disturbedUntil = TimePoint::min(); ///< Its answers are not judged by time until then.

private:
    boost::asio::ip::tcp::endpoint endpoint(std::uint16_t port) const;
    std::string clockPath() const { return m_folder + "/" + name() + ".clock"; }
    std::string ip() const { return ipOf(m_index); }
    /// Soaks that run at the same moment have other addresses.
    static std::string ipOf(int index);

    int m_index;
    std::string m_folder;
    std::string m_store;
    pid_t m_pid = 0; ///< 0 while it does not run.
    int m_lastEnd = 0;
    int m_starts = 0;
};

} // namespace comfrey::soak
