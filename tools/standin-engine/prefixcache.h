// The engine's cache of prompt prefixes: parts of prompts by their hash, least recently used out
// first, within a memory of so many tokens.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/prompt.h"

namespace comfrey::standin {

/// A change of the cache as the engine reports it.
struct CacheNotice
{
    bool isStored = true; ///< False: evicted.
    std::string chat;
    std::uint64_t prefix = 0; ///< Of the shared prefix; 0 for a part of one chat only.
    Tokens tokens = 0;
};

class PrefixCache
{
public:
    explicit PrefixCache(Tokens limit) : m_limit(limit) { }

    /// Tokens of the longest cached prefix of the parts; marks them as used.
    Tokens lookUp(const std::vector<PromptPart> &parts);
    /// Stores all parts. `sharedPrefix` is the hash of the first part if it is shared, else 0.
    void store(const std::string &chat, const std::vector<PromptPart> &parts,
               std::uint64_t sharedPrefix);
    /// The newest cached prompt of the chat; empty if there is none.
    std::vector<PromptPart> partsOf(const std::string &chat) const;
    /// The changes since the last call.
    std::vector<CacheNotice> takeNotices();

private:
    struct Entry
    {
        Tokens tokens = 0;
        std::string chat;
        std::uint64_t sharedPrefix = 0;
        std::list<std::uint64_t>::iterator use;
    };

    void touch(std::uint64_t key);
    void insert(const PromptPart &part, const std::string &chat, std::uint64_t sharedPrefix);
    void evictOldest();

    const Tokens m_limit;
    Tokens m_used = 0;               ///< Sum over m_entries.
    std::list<std::uint64_t> m_uses; ///< Keys, the latest use first.
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::map<std::string, std::vector<PromptPart>> m_chats; ///< Dropped with their last part.
    std::vector<CacheNotice> m_notices;
};

} // namespace comfrey::standin
