// The case's clock, and its record of what was sent, answered and run.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "comfrey/units.h"

namespace comfrey::review {

inline std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

/// A request that reached a replica.
struct Arrival
{
    std::int64_t atMs = 0; ///< Of the case.
    std::string request;
    std::string replica;
};

/// Lines "t=MS what ..." in the case's folder, and what the checks need of them.
class Record
{
public:
    explicit Record(const std::string &path);
    bool isWritable() const { return m_file.good(); }
    std::int64_t nowMs() const;
    /// A line of what happened.
    void note(const std::string &text);
    void onSent(const std::string &request, const std::string &router);
    void onAnswered(const std::string &request, unsigned status, const std::string &by);
    void onClosed(const std::string &request);
    void onRun(const std::string &request, const std::string &replica);
    /// The replica ended while it ran the request.
    void onCutAtReplica(const std::string &request, const std::string &replica);

    struct Sent
    {
        std::int64_t atMs = 0;
        std::string router;
        unsigned status = 0; ///< 0: not answered; 1: the channel was closed without an answer.
        std::int64_t endedAtMs = 0;
    };
    const std::map<std::string, Sent> &sent() const { return m_sent; }
    const std::vector<Arrival> &arrivals() const { return m_arrivals; }

private:
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_start;
    std::map<std::string, Sent> m_sent;
    std::vector<Arrival> m_arrivals;
};

} // namespace comfrey::review
