// A fake of the network: delays between availability zones, lost, doubled and reordered messages
// between routers, and cuts between sets of instances. It counts each router's bytes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "comfrey/events.h"
#include "support/eventqueue.h"

namespace comfrey::test {

/// Ethernet, IPv4 and TCP headers of one packet with timestamps.
inline constexpr std::size_t kPacketOverheadBytes = 66;

struct NetFaults
{
    Duration sameZone = Duration(250); ///< One way.
    Duration otherZone = milliseconds(1);
    Duration jitter = Duration(100);
    double loss = 0; ///< Of messages between routers, like the next two.
    double doubles = 0;
    double reorders = 0; ///< Share that is held back by up to reorderBy.
    Duration reorderBy = milliseconds(200);
};

struct TrafficCounts
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0; ///< With kPacketOverheadBytes a message, like receivedBytes.
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
};

class FakeNet
{
public:
    using Deliver = std::function<void()>;

    FakeNet(EventQueue &queue, std::uint64_t seed) : m_queue(queue), m_random(seed) { }

    NetFaults &faults() { return m_faults; }
    void place(const std::string &instance, const std::string &zone) { m_zones[instance] = zone; }
    /// Nothing passes between the two sets until heal().
    void cut(std::set<std::string> one, std::set<std::string> other);
    void heal() { m_cuts.clear(); }
    bool isCut(const std::string &from, const std::string &to) const;

    /// One way, with jitter.
    Duration delay(const std::string &from, const std::string &to);
    /// A message between routers, subject to the faults; `deliver` may run never or twice.
    void sendMessage(const std::string &from, const std::string &to, std::size_t bytes,
                     const Deliver &deliver);
    const std::map<std::string, TrafficCounts> &traffic() const { return m_traffic; }

private:
    bool happens(double share);

    struct Cut
    {
        std::set<std::string> one;
        std::set<std::string> other;
    };

    EventQueue &m_queue;
    std::mt19937_64 m_random;
    NetFaults m_faults;
    std::map<std::string, std::string> m_zones;
    std::vector<Cut> m_cuts;
    std::map<std::string, TrafficCounts> m_traffic;
};

} // namespace comfrey::test
