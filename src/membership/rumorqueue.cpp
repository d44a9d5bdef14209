// News of routers that ride on gossip.
#include "membership/rumorqueue.h"

#include <algorithm>
#include <bit>

namespace comfrey {

namespace {

constexpr std::size_t kNewsPerMessage = 8;
constexpr std::uint32_t kSendsPerDoubling = 2; // Sends of one rumor per doubling of the fleet.

} // namespace

void RumorQueue::push(const wire::HeartbeatT &news, std::size_t fleetSize)
{
    const auto doublings = static_cast<std::uint32_t>(std::bit_width(fleetSize + 1));
    m_rumors.insert_or_assign(RouterId(news.router), Rumor{news, kSendsPerDoubling * doublings});
}

void RumorQueue::appendTo(std::vector<std::unique_ptr<wire::HeartbeatT>> &heartbeats)
{
    std::vector<std::map<RouterId, Rumor>::iterator> order;
    order.reserve(m_rumors.size());
    for (auto rumor = m_rumors.begin(); rumor != m_rumors.end(); ++rumor)
        order.push_back(rumor);
    const std::size_t count = std::min(order.size(), kNewsPerMessage);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end(), [](const auto &left, const auto &right) {
                          return left->second.sendsLeft > right->second.sendsLeft;
                      });
    for (std::size_t i = 0; i < count; ++i) {
        Rumor &rumor = order[i]->second;
        heartbeats.push_back(std::make_unique<wire::HeartbeatT>(rumor.news));
        if (--rumor.sendsLeft == 0)
            m_rumors.erase(order[i]);
    }
}

} // namespace comfrey
