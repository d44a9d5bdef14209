// Scripted time.
#include "support/eventqueue.h"

#include <algorithm>

namespace comfrey::test {

void EventQueue::at(TimePoint time, Callback callback)
{
    m_entries.push_back({std::max(time, m_now), ++m_sequence, std::move(callback)});
    std::push_heap(m_entries.begin(), m_entries.end(), Later{});
}

void EventQueue::runUntil(TimePoint end)
{
    while (!m_entries.empty() && m_entries.front().time <= end) {
        std::pop_heap(m_entries.begin(), m_entries.end(), Later{});
        const Entry entry = std::move(m_entries.back());
        m_entries.pop_back();
        m_now = entry.time;
        entry.callback();
    }
    m_now = std::max(m_now, end);
}

} // namespace comfrey::test
