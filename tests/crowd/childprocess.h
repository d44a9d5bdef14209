// A program started by a test, what it takes of the machine, and its end with the test.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace comfrey::crowd {

/// What a process takes of its machine.
struct ProcessUse
{
    std::size_t peakBytes = 0; ///< Highest resident memory so far.
    std::size_t descriptors = 0;
    std::size_t processorTicks = 0; ///< User and system time so far.
};

/// True if a process with this id runs.
bool isAlive(pid_t process);
ProcessUse useOf(pid_t process);

class ChildProcess
{
public:
    /// `settings` runs in the new process before the program; the log takes both outputs.
    ChildProcess(std::vector<std::string> command, const std::string &log,
                 const std::function<void()> &settings = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t id() const { return m_process; }
    /// Closes the program's standard input and waits for its end.
    void endInput();

private:
    pid_t m_process = 0; ///< 0 once it was waited for.
    int m_input = -1;    ///< Writing end of its standard input.
};

/// A folder for settings and logs of a test, empty at first.
std::string newFolder(const std::string &name);

} // namespace comfrey::crowd
