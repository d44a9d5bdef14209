// Starts and signals processes by their ids; none outlives its object.
#include "routerprocess.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>

namespace comfrey::soak {

RouterProcess::RouterProcess(int index, std::string folder, std::string storeAddress)
    : m_index(index), m_folder(std::move(folder)), m_store(std::move(storeAddress))
{ }

RouterProcess::~RouterProcess()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

boost::asio::ip::tcp::endpoint RouterProcess::endpoint(std::uint16_t port) const
{
    return {boost::asio::ip::make_address(ip()), port};
}

std::string RouterProcess::ipOf(int index)
{
    constexpr int kNetworks = 200;
    static const int soak = ::getpid();
    return "127." + std::to_string(1 + soak % kNetworks) + '.'
        + std::to_string(1 + soak / kNetworks % kNetworks) + '.' + std::to_string(index + 1);
}

void RouterProcess::start(bool isFirstStart)
{
    const std::string path = m_folder + "/" + name() + ".toml";
    std::ofstream(path) << "node = \"" << name() << "\"\nip = \"" << ip() << "\"\nzone = \"z"
                        << m_index % 2 << "\"\nbootstrap = " << (isFirstStart ? "true" : "false")
                        << "\nseeds = [\"" << ipOf(0) << ":8229\", \"" << ipOf(1)
                        << ":8229\"]\n[listen]\nfront = \"" << ip() << ":8227\"\nready = \"" << ip()
                        << ":8220\"\ncontrol = \"" << ip() << ":8229\"\n[platform]\naddress = \""
                        << m_store
                        << "\"\n[bounds]\ndrain_ms = 2000\nconfig_apply_ms = 2000\ngrace_s = 6\n";
    isPaused = false;
    isKilled = false;
    isStopping = false;
    ++m_starts;
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also if the soak itself is ended.
    // A socket of the soak that lives on in a router is not closed when the soak closes it.
    ::close_range(3, ~0U, 0);
    const int log =
        ::open((m_folder + "/" + name() + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::setenv("COMFREYLANDING_SETTINGS", path.c_str(), 1);
    ::setenv("SOAK_CLOCK", clockPath().c_str(), 1);
    ::setenv("LD_PRELOAD", SHIFT_CLOCK, 1);
    ::execl(ROUTER_PROGRAM, ROUTER_PROGRAM, nullptr);
    ::_exit(127);
}

void RouterProcess::shiftClock(int seconds)
{
    std::ofstream(clockPath()) << seconds;
}

void RouterProcess::signal(int number)
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool RouterProcess::hasEnded()
{
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_pid = 0;
    m_lastEnd = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return true;
}

} // namespace comfrey::soak
