#include "standin-engine/prefixcache.h"

#include <utility>

namespace comfrey::standin {

void PrefixCache::touch(std::uint64_t key)
{
    m_uses.splice(m_uses.begin(), m_uses, m_entries.at(key).use);
}

Tokens PrefixCache::lookUp(const std::vector<PromptPart> &parts)
{
    std::size_t cached = 0;
    Tokens tokens = 0;
    while (cached < parts.size() && m_entries.contains(parts[cached].key))
        tokens += parts[cached++].tokens;
    while (cached > 0) // from the last part on, so that a parent is always younger than its child
        touch(parts[--cached].key);
    return tokens;
}

void PrefixCache::store(const std::string &chat, const std::vector<PromptPart> &parts,
                        std::uint64_t sharedPrefix)
{
    for (std::size_t i = parts.size(); i > 0; --i) {
        const PromptPart &part = parts[i - 1];
        if (m_entries.contains(part.key))
            touch(part.key);
        else
            insert(part, chat, i == 1 ? sharedPrefix : 0);
    }
    m_chats[chat] = parts;
    while (m_used > m_limit)
        evictOldest();
}

void PrefixCache::insert(const PromptPart &part, const std::string &chat,
                         std::uint64_t sharedPrefix)
{
    m_uses.push_front(part.key);
    m_entries.emplace(part.key, Entry{part.tokens, chat, sharedPrefix, m_uses.begin()});
    m_used += part.tokens;
    m_notices.push_back({true, chat, sharedPrefix, part.tokens});
}

void PrefixCache::evictOldest()
{
    const auto found = m_entries.find(m_uses.back());
    m_uses.pop_back();
    const Entry entry = std::move(found->second);
    m_entries.erase(found);
    m_used -= entry.tokens;
    if (entry.sharedPrefix == 0)
        m_chats.erase(entry.chat);
    m_notices.push_back({false, entry.chat, entry.sharedPrefix, entry.tokens});
}

std::vector<PromptPart> PrefixCache::partsOf(const std::string &chat) const
{
    const auto found = m_chats.find(chat);
    return found == m_chats.end() ? std::vector<PromptPart>() : found->second;
}

std::vector<CacheNotice> PrefixCache::takeNotices()
{
    return std::exchange(m_notices, {});
}

} // namespace comfrey::standin
