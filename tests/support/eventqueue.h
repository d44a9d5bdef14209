// Scripted time: runs callbacks in the order of (time, sequence of scheduling).
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "comfrey/units.h"

namespace comfrey::test {

class EventQueue
{
public:
    using Callback = std::function<void()>;

    TimePoint now() const { return m_now; }
    /// A time in the past counts as now.
    void at(TimePoint time, Callback callback);
    void after(Duration delay, Callback callback) { at(m_now + delay, std::move(callback)); }
    /// Runs everything due up to and including `end`, and sets the time to it.
    void runUntil(TimePoint end);
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        TimePoint time;
        std::uint64_t sequence = 0;
        Callback callback;
    };
    struct Later
    {
        bool operator()(const Entry &left, const Entry &right) const
        {
            return left.time != right.time ? left.time > right.time
                                           : left.sequence > right.sequence;
        }
    };

    std::vector<Entry> m_entries; ///< A heap by Later.
    std::uint64_t m_sequence = 0;
    TimePoint m_now = TimePoint(milliseconds(1796342400000)); // 2026-12-04
};

} // namespace comfrey::test
