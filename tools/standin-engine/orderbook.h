// The orders that the engine took: models, adapters, version and role, with the fencing number of
// the newest order.
#pragma once

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace comfrey::standin {

enum class OrderVerdict : std::uint8_t { Done, Stale, UnknownKind };

struct OrderState
{
    std::set<std::string> models;
    std::set<std::string> adapters;
    std::string version;
    std::string role;
    std::uint64_t newestOrder = 0; ///< Of the order taken last; it goes back if none is checked.
};

class OrderBook
{
public:
    OrderBook(std::vector<std::string> models, bool checksFencing);

    OrderVerdict take(std::uint64_t fencing, const std::string &kind, const std::string &subject);
    OrderState state() const;
    bool serves(const std::string &model) const;

private:
    const bool m_checksFencing;
    mutable std::mutex m_mutex;
    OrderState m_state;
};

} // namespace comfrey::standin
