// fork, exec and the files of /proc.
#include "childprocess.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace comfrey::crowd {

namespace {

std::string procPath(pid_t process, const std::string &file)
{
    return "/proc/" + std::to_string(process) + "/" + file;
}

/// The fields of /proc/PID/stat after the program's name; empty if the process is gone.
std::vector<std::string> statOf(pid_t process)
{
    std::ifstream file(procPath(process, "stat"));
    std::stringstream text;
    text << file.rdbuf();
    const std::string all = text.str();
    const std::size_t name = all.rfind(')');
    std::vector<std::string> fields;
    if (name == std::string::npos)
        return fields;
    std::istringstream rest(all.substr(name + 1));
    for (std::string field; rest >> field;)
        fields.push_back(field);
    return fields;
}

} // namespace

bool isAlive(pid_t process)
{
    const auto fields = statOf(process);
    return !fields.empty() && fields[0] != "Z" && fields[0] != "X";
}

ProcessUse useOf(pid_t process)
{
    ProcessUse use;
    std::ifstream status(procPath(process, "status"));
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0)
            use.peakBytes = std::stoul(line.substr(6)) * 1024;
    }
    std::error_code ignored; // A process that has ended has no descriptors.
    for ([[maybe_unused]] const auto &entry :
         std::filesystem::directory_iterator(procPath(process, "fd"), ignored))
        ++use.descriptors;
    constexpr std::size_t kUserTime = 11; // counted after the program's name
    const auto fields = statOf(process);
    if (fields.size() > kUserTime + 1)
        use.processorTicks = std::stoul(fields[kUserTime]) + std::stoul(fields[kUserTime + 1]);
    return use;
}

ChildProcess::ChildProcess(std::vector<std::string> command, const std::string &log,
                           const std::function<void()> &settings)
{
    int input[2] = {-1, -1};
    if (::pipe2(input, O_CLOEXEC) != 0)
        return;
    m_process = ::fork();
    if (m_process != 0) {
        ::close(input[0]);
        m_input = input[1];
        return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGTERM);
    ::dup2(input[0], STDIN_FILENO);
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::close_range(3, ~0U, 0);
    if (settings)
        settings();
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (std::string &word : command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
}

ChildProcess::~ChildProcess()
{
    if (m_input >= 0)
        ::close(m_input);
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

void ChildProcess::endInput()
{
    ::close(m_input);
    m_input = -1;
    ::waitpid(m_process, nullptr, 0);
    m_process = 0;
}

std::string newFolder(const std::string &name)
{
    const auto folder = std::filesystem::temp_directory_path()
        / ("crowd-" + std::to_string(::getpid()) + "-" + name);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder.string();
}

} // namespace comfrey::crowd
