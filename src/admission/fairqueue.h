// Weighted deficit round robin over customers' queues: each customer with waiting requests gets
// turns in proportion to its share, whatever the others queue.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "comfrey/ids.h"

namespace comfrey {

class FairQueue
{
public:
    /// `cost` is the expected work of the request, from above 0 to 1.
    void push(const CustomerId &customer, std::uint32_t share, const RequestId &request,
              double cost);
    std::optional<RequestId> pop();
    /// Without effect if the request is not queued.
    void remove(const CustomerId &customer, const RequestId &request);

    bool isEmpty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }
    std::size_t sizeOf(const CustomerId &customer) const;
    /// Sum of the shares of customers with waiting requests.
    double activeShares() const;

private:
    struct Item
    {
        RequestId request;
        double cost = 1;
    };

    struct Line
    {
        std::deque<Item> items;
        double share = 1;
        double deficit = 0; ///< Work that it may still be given in its present turn.
        bool inTurn = false;
    };

    void endTurn();

    std::map<CustomerId, Line> m_lines; ///< Each has waiting requests.
    std::deque<CustomerId> m_turns;     ///< The customers of m_lines, the next one first.
    std::size_t m_size = 0;
};

} // namespace comfrey
