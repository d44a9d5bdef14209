// All exchanges that are open in this process, by request id.
#pragma once

#include <memory>
#include <mutex>
#include <unordered_map>

#include "daemon/exchange.h"

namespace comfrey {

class ExchangeTable
{
public:
    void add(const std::shared_ptr<Exchange> &exchange)
    {
        const std::lock_guard lock(m_mutex);
        m_exchanges[exchange->request()] = exchange;
    }

    void remove(const RequestId &request)
    {
        const std::lock_guard lock(m_mutex);
        m_exchanges.erase(request);
    }

    std::shared_ptr<Exchange> find(const RequestId &request) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_exchanges.find(request);
        return found == m_exchanges.end() ? nullptr : found->second;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_exchanges.size();
    }

private:
    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, std::shared_ptr<Exchange>> m_exchanges;
};

} // namespace comfrey
