// A fake of the platform's list of instances.
#include "support/fakeinstances.h"

#include <algorithm>

namespace comfrey::test {

void FakeInstances::keepVersion()
{
    if (!m_unkept)
        return;
    auto list = std::make_shared<List>();
    for (const auto &[id, instance] : m_current)
        list->push_back(instance);
    m_versions.push_back({m_changedAt, std::move(list)});
    m_unkept = false;
}

void FakeInstances::beforeChange()
{
    if (m_changedAt != m_queue.now())
        keepVersion();
    m_changedAt = m_queue.now();
    m_unkept = true;
}

void FakeInstances::put(const Instance &instance)
{
    beforeChange();
    m_current[instance.id] = instance;
}

void FakeInstances::remove(const std::string &id)
{
    beforeChange();
    m_current.erase(id);
}

void FakeInstances::setState(const std::string &id, InstanceState state)
{
    const auto found = m_current.find(id);
    if (found == m_current.end())
        return;
    beforeChange();
    found->second.state = state;
}

std::shared_ptr<const FakeInstances::List> FakeInstances::read()
{
    if (m_down)
        return nullptr;
    keepVersion();
    const TimePoint oldest = m_queue.now() - m_lag;
    while (m_versions.size() > 1 && m_versions[1].since <= oldest)
        m_versions.pop_front();
    if (m_versions.empty())
        return std::make_shared<List>();
    return m_versions.front().list;
}

} // namespace comfrey::test
