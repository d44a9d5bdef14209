// Settings as in the users' page on deployment, with the bounds of the small site files.
#include "routerprocess.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>

namespace comfrey::review {

Router::Router(int index, std::string program, std::string folder, std::string storeAddress)
    : m_index(index), m_program(std::move(program)), m_folder(std::move(folder)),
      m_store(std::move(storeAddress))
{ }

Router::~Router()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

std::string Router::ip() const
{
    constexpr int kNetworks = 200;
    static const int self = ::getpid();
    return "127." + std::to_string(1 + self % kNetworks) + '.'
        + std::to_string(1 + self / kNetworks % kNetworks) + '.' + std::to_string(m_index + 1);
}

void Router::start(bool isFirstStart)
{
    const std::string path = m_folder + "/" + name() + ".toml";
    std::string seeds;
    for (const std::string &seed : m_seeds)
        seeds += (seeds.empty() ? "\"" : ",\"") + seed + '"';
    std::ofstream(path) << "node = \"" << name() << "\"\nrole = \"router\"\n"
                        << "machine_class = \"front\"\nserves = [\"front\",\"control\"]\n"
                        << "ip = \"" << ip() << "\"\nzone = \"" << zone() << "\"\n"
                        << "region = \"region\"\ninternal_ports = [7340,7355]\n"
                        << "seeds = [" << seeds << "]\n"
                        << "bootstrap = " << (isFirstStart ? "true" : "false") << '\n'
                        << "loss_counts = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
                        << "heartbeat_ms = 1200\n"
                        << R"(contracts = ["base","drain","config","cost","retry","recover",)"
                        << R"("engine","stream","tenants","platform"])" << '\n'
                        << "[zones]\nzone-a = \"region\"\nzone-b = \"region\"\n"
                        << "zone-c = \"region\"\n"
                        << "[listen]\nfront = \"" << ip() << ":8227\"\nready = \"" << ip()
                        << ":8220\"\ncontrol = \"" << controlAddress() << "\"\n"
                        << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\n"
                        << "max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
                        << "[tolerate]\nmachines = 2\nzones = 0\nregions = 0\n"
                        << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n"
                        << "stable_window_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
                        << "drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
                        << "config_apply_ms = 2000\nrollback_slack_ms = 250\n"
                        << "skew_max_ms = 5000\nstrict_revoke = false\nrevoke_ms = 5000\n"
                        << "retry_budget_ratio = 0.2\nbudget_window_s = 10\n"
                        << "retry_budget_slack = 58\nrecovery_s = 12\npass_ms = 120\n"
                        << "retry_after_s = 10\ncap_factor = 2\n"
                        << "[platform]\naddress = \"" << m_store << "\"\nform = \"log\"\n"
                        << "writes_per_s = 400\nreads_per_s = 2000\nparts = 12\n"
                        << "append_ms = 2.0\npartition_mb_s = 20.0\nread_mb_s = 80.0\n"
                        << "record_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 20\n"
                        << "part_mb = 200\nmin_ttl_ms = 1000\n";
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also if the case itself is ended.
    ::close_range(3, ~0U, 0);
    const int log = ::open(logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::setenv("COMFREYLANDING_SETTINGS", path.c_str(), 1);
    ::execl(m_program.c_str(), m_program.c_str(), nullptr);
    ::_exit(127);
}

void Router::signal(int number)
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Router::waitForEnd()
{
    if (m_pid > 0)
        ::waitpid(m_pid, nullptr, 0);
    m_pid = 0;
}

bool Router::hasEnded()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid == 0;
}

long Router::memoryMb() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::strtol(line.c_str() + 6, nullptr, 10) / 1024;
    }
    return 0;
}

std::vector<std::string> Router::logLines(const std::string &event) const
{
    std::vector<std::string> found;
    std::ifstream file(logPath());
    for (std::string line; std::getline(file, line);) {
        if (line.find(" event=" + event) != std::string::npos)
            found.push_back(line);
    }
    return found;
}

} // namespace comfrey::review
