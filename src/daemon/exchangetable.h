// All exchanges that are open in this process, by request id. Lives on the traffic loop; only the
// count may be read from other threads.
#pragma once

#include <atomic>
#include <memory>
#include <unordered_map>

#include "daemon/exchange.h"

namespace comfrey {

class ExchangeTable
{
public:
    void add(const std::shared_ptr<Exchange> &exchange)
    {
        m_exchanges[exchange->request()] = exchange;
        m_size = m_exchanges.size();
    }

    void remove(const RequestId &request)
    {
        m_exchanges.erase(request);
        m_size = m_exchanges.size();
    }

    std::shared_ptr<Exchange> find(const RequestId &request) const
    {
        const auto found = m_exchanges.find(request);
        return found == m_exchanges.end() ? nullptr : found->second;
    }

    /// From any thread.
    std::size_t size() const { return m_size; }

private:
    std::unordered_map<RequestId, std::shared_ptr<Exchange>> m_exchanges;
    std::atomic<std::size_t> m_size = 0;
};

} // namespace comfrey
