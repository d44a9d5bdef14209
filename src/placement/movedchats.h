// Chats that were served elsewhere than on their first engine: a bounded map, the least recently
// used forgotten first. A hint: what it forgets or holds too long costs time, never correctness.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

#include "comfrey/ids.h"

namespace comfrey {

class MovedChats
{
public:
    explicit MovedChats(std::size_t most) : m_most(most) { }

    std::optional<BackendId> find(std::uint64_t chat)
    {
        const auto known = m_index.find(chat);
        if (known == m_index.end())
            return std::nullopt;
        m_recent.splice(m_recent.begin(), m_recent, known->second);
        return known->second->second;
    }

    void remember(std::uint64_t chat, const BackendId &engine)
    {
        forget(chat);
        m_recent.emplace_front(chat, engine);
        m_index[chat] = m_recent.begin();
        if (m_recent.size() <= m_most)
            return;
        m_index.erase(m_recent.back().first);
        m_recent.pop_back();
    }

    void forget(std::uint64_t chat)
    {
        const auto known = m_index.find(chat);
        if (known == m_index.end())
            return;
        m_recent.erase(known->second);
        m_index.erase(known);
    }

    std::size_t size() const { return m_recent.size(); }

private:
    using Recent = std::list<std::pair<std::uint64_t, BackendId>>;

    std::size_t m_most;
    Recent m_recent; ///< The most recently used first; at most m_most.
    std::unordered_map<std::uint64_t, Recent::iterator> m_index;
};

} // namespace comfrey
