// What this router believes about the back ends.
#include "membership/backendtable.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace comfrey {

namespace {

// The list may still say "live" for this long after a back end said that it leaves.
constexpr Duration kOwnWordTerm = std::chrono::seconds(30);
// A list that lacks more than 1 in this many of the live back ends has to repeat itself.
constexpr std::size_t kPlausibleLossDivisor = 2;
constexpr std::size_t kSmallFleet = 3; // Fewer live back ends may all go at once.

bool sameView(const BackendView &left, const BackendView &right)
{
    return left.id == right.id && left.kind == right.kind && left.zone == right.zone
        && left.address == right.address && left.models == right.models
        && left.service == right.service && left.slots == right.slots
        && left.checksFencing == right.checksFencing && left.state == right.state
        && left.since == right.since;
}

} // namespace

BackendTable::BackendTable(const settings::MembershipT &settings)
    : m_settings(settings), m_damper(milliseconds(settings.joinRampMs))
{ }

void BackendTable::takeList(const std::vector<Instance> &instances, TimePoint now)
{
    const bool plausible = isPlausible(instances, now);
    std::set<BackendId> present;
    for (const Instance &instance : instances) {
        if (instance.kind == InstanceKind::Router)
            continue;
        const BackendId id(instance.id);
        present.insert(id);
        const auto [entry, isNew] = m_known.try_emplace(id);
        Known &known = entry->second;
        known.instance = instance;
        known.listed = true;
        if (isNew) {
            known.since = now;
            known.state = m_hasList ? BackendState::Joining : BackendState::Live;
        }
    }
    for (auto &[id, known] : m_known) {
        if (plausible && known.listed && !present.contains(id)) {
            known.listed = false;
            known.unlistedAt = now;
        }
    }
    m_hasList = true;
    advance(now);
}

// A store that came back empty must not take the whole fleet away at once.
bool BackendTable::isPlausible(const std::vector<Instance> &instances, TimePoint now)
{
    std::set<std::string> present;
    for (const Instance &instance : instances)
        present.insert(instance.id);
    std::size_t live = 0;
    std::size_t missing = 0;
    for (const auto &[id, known] : m_known) {
        if (!known.listed || known.state == BackendState::Leaving)
            continue;
        ++live;
        missing += present.contains(id.value()) ? 0 : 1;
    }
    if (live < kSmallFleet || missing * kPlausibleLossDivisor <= live) {
        m_implausibleSince = kNever;
        return true;
    }
    m_implausibleSince = std::min(m_implausibleSince, now);
    return now - m_implausibleSince >= milliseconds(m_settings.removeAfterMs);
}

void BackendTable::noteLeaving(const BackendId &id, TimePoint now)
{
    const auto found = m_known.find(id);
    if (found == m_known.end())
        return;
    found->second.saidLeavingAt = now;
    update(id, found->second, now);
    refresh();
}

void BackendTable::noteServing(const BackendId &id, TimePoint measuredAt, TimePoint now)
{
    const auto found = m_known.find(id);
    if (found == m_known.end() || !found->second.saidLeavingAt
        || measuredAt <= *found->second.saidLeavingAt)
        return;
    found->second.saidLeavingAt.reset();
    update(id, found->second, now);
    refresh();
}

void BackendTable::advance(TimePoint now)
{
    for (auto entry = m_known.begin(); entry != m_known.end();) {
        Known &known = entry->second;
        const bool gone =
            !known.listed && now - known.unlistedAt >= milliseconds(m_settings.removeAfterMs);
        if (!gone)
            update(entry->first, known, now);
        entry = gone ? m_known.erase(entry) : std::next(entry);
    }
    refresh();
}

bool BackendTable::takesWork(const Known &known, TimePoint now) const
{
    const bool saidLeaving = known.saidLeavingAt && now - *known.saidLeavingAt < kOwnWordTerm;
    return known.listed && known.instance.state == InstanceState::Live && !saidLeaving
        && now >= m_damper.heldUntil(known.instance.id);
}

void BackendTable::update(const BackendId &id, Known &known, TimePoint now)
{
    const bool takes = takesWork(known, now);
    if (!takes) {
        if (known.shown && known.state != BackendState::Leaving)
            m_damper.noteLoss(id.value(), now);
        // One that is held off from the start is not shown at all.
        known.shown = known.shown || now >= m_damper.heldUntil(id.value());
        setState(known, BackendState::Leaving, now);
        return;
    }
    known.shown = true;
    if (known.state == BackendState::Leaving)
        setState(known, BackendState::Joining, now);
    else if (known.state == BackendState::Joining
             && now - known.since >= milliseconds(m_settings.joinRampMs))
        setState(known, BackendState::Live, now);
}

void BackendTable::setState(Known &known, BackendState state, TimePoint now)
{
    if (known.state == state)
        return;
    known.state = state;
    known.since = now;
}

void BackendTable::refresh()
{
    std::vector<BackendView> views;
    views.reserve(m_known.size());
    for (const auto &[id, known] : m_known) {
        const Instance &instance = known.instance;
        if (known.shown)
            views.push_back({id, instance.kind, instance.zone, instance.address, instance.models,
                             instance.service, instance.slots, instance.checksFencing, known.state,
                             known.since});
    }
    if (std::equal(views.begin(), views.end(), m_views.begin(), m_views.end(), sameView))
        return;
    m_views = std::move(views);
    ++m_version;
}

const BackendView *BackendTable::find(const BackendId &id) const
{
    const auto found = std::lower_bound(
        m_views.begin(), m_views.end(), id,
        [](const BackendView &view, const BackendId &wanted) { return view.id < wanted; });
    return found != m_views.end() && found->id == id ? &*found : nullptr;
}

} // namespace comfrey
