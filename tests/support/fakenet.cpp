// A fake of the network.
#include "support/fakenet.h"

#include <algorithm>

namespace comfrey::test {

bool FakeNet::happens(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

void FakeNet::cut(std::set<std::string> one, std::set<std::string> other)
{
    m_cuts.push_back({std::move(one), std::move(other)});
}

bool FakeNet::isCut(const std::string &from, const std::string &to) const
{
    return std::any_of(m_cuts.begin(), m_cuts.end(), [&](const Cut &cut) {
        return (cut.one.count(from) > 0 && cut.other.count(to) > 0)
            || (cut.one.count(to) > 0 && cut.other.count(from) > 0);
    });
}

Duration FakeNet::delay(const std::string &from, const std::string &to)
{
    const bool same = m_zones[from] == m_zones[to];
    const Duration base = same ? m_faults.sameZone : m_faults.otherZone;
    std::uniform_int_distribution<Duration::rep> jitter(0, m_faults.jitter.count());
    return base + Duration(jitter(m_random));
}

void FakeNet::sendMessage(const std::string &from, const std::string &to, std::size_t bytes,
                          const Deliver &deliver)
{
    TrafficCounts &sender = m_traffic[from];
    ++sender.sent;
    sender.sentBytes += bytes + kPacketOverheadBytes;
    if (isCut(from, to) || happens(m_faults.loss))
        return;
    const int copies = happens(m_faults.doubles) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        Duration wait = delay(from, to);
        if (happens(m_faults.reorders)) {
            std::uniform_int_distribution<Duration::rep> extra(0, m_faults.reorderBy.count());
            wait += Duration(extra(m_random));
        }
        m_queue.after(wait, [this, to, bytes, deliver] {
            TrafficCounts &receiver = m_traffic[to];
            ++receiver.received;
            receiver.receivedBytes += bytes + kPacketOverheadBytes;
            deliver();
        });
    }
}

} // namespace comfrey::test
