// Weighted deficit round robin over customers' queues.
#include "admission/fairqueue.h"

#include <algorithm>

namespace comfrey {

void FairQueue::push(const CustomerId &customer, std::uint32_t share, const RequestId &request,
                     double cost)
{
    Line &line = m_lines[customer];
    if (line.items.empty())
        m_turns.push_back(customer);
    line.share = std::max<std::uint32_t>(1, share);
    line.items.push_back({request, cost});
    ++m_size;
}

void FairQueue::endTurn()
{
    m_turns.push_back(m_turns.front());
    m_turns.pop_front();
}

std::optional<RequestId> FairQueue::pop()
{
    while (!m_turns.empty()) {
        Line &line = m_lines[m_turns.front()];
        if (!line.inTurn) {
            line.deficit += line.share;
            line.inTurn = true;
        }
        if (line.items.front().cost > line.deficit) {
            line.inTurn = false;
            endTurn();
            continue;
        }
        const Item item = line.items.front();
        line.items.pop_front();
        line.deficit -= item.cost;
        --m_size;
        if (line.items.empty()) {
            m_lines.erase(m_turns.front());
            m_turns.pop_front();
        }
        return item.request;
    }
    return std::nullopt;
}

void FairQueue::remove(const CustomerId &customer, const RequestId &request)
{
    const auto line = m_lines.find(customer);
    if (line == m_lines.end())
        return;
    m_size -= std::erase_if(line->second.items,
                            [&request](const Item &item) { return item.request == request; });
    if (!line->second.items.empty())
        return;
    m_lines.erase(line);
    std::erase(m_turns, customer);
}

std::size_t FairQueue::sizeOf(const CustomerId &customer) const
{
    const auto line = m_lines.find(customer);
    return line == m_lines.end() ? 0 : line->second.items.size();
}

double FairQueue::activeShares() const
{
    double sum = 0;
    for (const auto &[customer, line] : m_lines)
        sum += line.share;
    return sum;
}

} // namespace comfrey
