// A fake of the platform's append-only log under scripted time, with the faults that it may have.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>

#include "comfrey/events.h"
#include "support/eventqueue.h"

namespace comfrey::test {

struct LogFaults
{
    bool down = false;                ///< Appends are refused and reads fail.
    Duration delay = milliseconds(2); ///< Until an answer; half of it passes before the effect.
    double loseAnswers = 0;           ///< Share of appends whose answer is lost after the effect.
    double losesAppends = 0;          ///< Share of appends lost before any effect, answer too.
    double doublesAppends = 0;        ///< Share of appends that take effect twice.
    double lateAppends = 0;           ///< Share of appends that answer Lost and take effect later.
    Duration lateBy = milliseconds(3000);
    Duration oldReads = milliseconds(0); ///< Reads do not see records younger than this.
};

struct StreamCounts
{
    std::uint64_t appends = 0;
    std::uint64_t appendedBytes = 0;
    std::uint64_t reads = 0;
    std::uint64_t readBytes = 0;
};

class FakeLog
{
public:
    using AppendAnswer = std::function<void(AppendResult, LogOffset)>;
    using ReadAnswer = std::function<void(std::optional<LogRead>)>; ///< Nothing if it failed.

    FakeLog(EventQueue &queue, std::uint64_t seed) : m_queue(queue), m_random(seed) { }

    LogFaults &faults() { return m_faults; }
    /// Each stream keeps this many of its newest records.
    void setRetention(std::size_t records) { m_retention = records; }
    /// Appends a second over all streams; more are refused.
    void setAppendRate(std::uint32_t perSecond) { m_appendRate = perSecond; }

    void append(const StreamId &stream, const Bytes &payload, AppendAnswer answer);
    /// With `wait`, the answer is held up to kLongPoll while there is nothing from `from` on.
    void read(const StreamId &stream, LogOffset from, bool wait, ReadAnswer answer);

    /// Takes effect at once and without faults, as a test's own writing.
    LogOffset appendNow(const StreamId &stream, const Bytes &payload);
    LogRead readNow(const StreamId &stream, LogOffset from) const;
    const std::map<StreamId, StreamCounts> &counts() const { return m_counts; }

private:
    struct Stored
    {
        LogOffset offset;
        TimePoint appendedAt;
        Bytes payload;
    };
    struct Waiting
    {
        std::uint64_t id = 0;
        LogOffset from;
        ReadAnswer answer;
    };
    struct Stream
    {
        std::deque<Stored> records;
        std::uint64_t next = 1;
        std::vector<Waiting> waiting;
    };

    bool happens(double share);
    bool takeFromRate();
    LogRead visible(const StreamId &stream, LogOffset from, TimePoint upTo) const;
    void answerRead(const StreamId &stream, LogOffset from, const ReadAnswer &answer);
    void hold(const StreamId &stream, LogOffset from, ReadAnswer answer);
    void release(const StreamId &stream);
    void expire(const StreamId &stream, std::uint64_t id);

    EventQueue &m_queue;
    std::mt19937_64 m_random;
    LogFaults m_faults;
    std::size_t m_retention = 100000;
    std::uint32_t m_appendRate = 400;
    std::deque<TimePoint> m_recentAppends; ///< Of the last second.
    std::map<StreamId, Stream> m_streams;
    std::map<StreamId, StreamCounts> m_counts;
    std::uint64_t m_lastWaiting = 0;
};

} // namespace comfrey::test
