// A router of the deploy file as a process of its own, on its own loopback address.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "loopback.h"

namespace comfrey::review {

class Router
{
public:
    /// `program` is the command of the deploy file; `folder` takes settings and logs.
    Router(int index, std::string program, std::string folder, std::string storeAddress);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }
    /// `isFirstStart`: the whole system starts for the first time.
    void start(bool isFirstStart);
    void signal(int number);
    /// Waits for the end of a process that was signalled.
    void waitForEnd();
    /// True if the process ended, however that came.
    bool hasEnded();

    std::string name() const { return "front-" + zone() + "-" + std::to_string(m_index / 3 + 1); }
    std::string zone() const { return std::string("zone-") + static_cast<char>('a' + m_index % 3); }
    std::string ip() const;
    std::string controlAddress() const { return ip() + ":8229"; }
    boost::asio::ip::tcp::endpoint callers() const
    {
        return {boost::asio::ip::make_address(ip()), 8227};
    }
    /// What it holds of the machine's memory.
    long memoryMb() const;
    /// The lines of its log that name this event.
    std::vector<std::string> logLines(const std::string &event) const;

private:
    std::string logPath() const { return m_folder + "/" + name() + ".log"; }

    int m_index;
    std::string m_program;
    std::string m_folder;
    std::string m_store;
    std::vector<std::string> m_seeds;
    pid_t m_pid = 0; ///< 0 while it does not run.
};

} // namespace comfrey::review
