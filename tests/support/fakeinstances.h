// A fake of the platform's lagging list of instances.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "comfrey/fleet.h"
#include "support/eventqueue.h"

namespace comfrey::test {

class FakeInstances
{
public:
    using List = std::vector<Instance>;

    explicit FakeInstances(EventQueue &queue) : m_queue(queue) { }

    void put(const Instance &instance);
    void remove(const std::string &id);
    void setState(const std::string &id, InstanceState state);
    void setLag(Duration lag) { m_lag = lag; }
    void setDown(bool down) { m_down = down; }

    /// The list as old as the lag, or null while the platform is down.
    std::shared_ptr<const List> read();

private:
    struct Version
    {
        TimePoint since;
        std::shared_ptr<const List> list;
    };

    void beforeChange();
    void keepVersion();

    EventQueue &m_queue;
    std::map<std::string, Instance> m_current;
    std::deque<Version> m_versions; ///< By time; the first is at least one lag old.
    TimePoint m_changedAt;
    bool m_unkept = false; ///< m_current changed at m_changedAt and is not in m_versions yet.
    Duration m_lag = milliseconds(1000);
    bool m_down = false;
};

} // namespace comfrey::test
