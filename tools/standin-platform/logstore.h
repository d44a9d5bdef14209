// The append-only log: streams of records with offsets, kept up to a count, with a limited rate of
// appends over all streams.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace comfrey::standin {

using SteadyTime = std::chrono::steady_clock::time_point;

struct LogLimits
{
    std::size_t recordsKept = 100000;           ///< By stream; older ones are dropped.
    double appendsPerSecond = 400;              ///< Over all streams.
    std::chrono::milliseconds oldReadAge{2000}; ///< How much old reads lag behind.
};

struct LogReadRequest
{
    std::string stream;
    std::uint64_t from = 1;
    std::size_t limit = 1000;
    std::chrono::milliseconds wait{0};
    bool isOld = false; ///< Hides records younger than LogLimits::oldReadAge.
};

class LogStore
{
public:
    explicit LogStore(const LogLimits &limits) : m_limits(limits), m_appendRights(mostRights()) { }

    /// The record's offset, or nothing over the append rate. `payload` is base64.
    std::optional<std::uint64_t> append(const std::string &stream, std::string payload);
    /// {"first","end","records"}; waits while there is nothing from `from` on.
    nlohmann::json read(const LogReadRequest &request);
    nlohmann::json counters() const;

private:
    struct Record
    {
        std::string payload;
        SteadyTime time;
    };

    struct Stream
    {
        std::uint64_t first = 1; ///< Offset of records.front(); the next one to give if empty.
        std::deque<Record> records;
        std::uint64_t appends = 0;
        std::uint64_t refused = 0;
        std::uint64_t reads = 0;
        std::uint64_t bytesAppended = 0; ///< Of base64 payloads, like bytesRead.
        std::uint64_t bytesRead = 0;

        std::uint64_t end() const { return first + records.size(); }
    };

    double mostRights() const;
    bool takeAppendRight(SteadyTime now);
    static std::uint64_t visibleEnd(const Stream &stream, SteadyTime newest);

    const LogLimits m_limits;
    mutable std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<std::string, Stream> m_streams;
    double m_appendRights; ///< Token bucket of a quarter second's appends, full at the start.
    SteadyTime m_refilled = std::chrono::steady_clock::now();
};

} // namespace comfrey::standin
