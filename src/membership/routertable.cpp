// What this router believes about the others.
#include "membership/routertable.h"

#include <algorithm>
#include <tuple>

namespace comfrey {

namespace {

bool sameView(const RouterView &left, const RouterView &right)
{
    const auto tied = [](const RouterView &view) {
        return std::tie(view.id, view.zone, view.peerAddress, view.operatorAddress,
                        view.incarnation, view.state);
    };
    return tied(left) == tied(right);
}

} // namespace

RouterTable::RouterTable(const settings::MembershipT &settings, RouterView self)
    : m_settings(settings), m_self(std::move(self)),
      m_damper(milliseconds(settings.joinRampMs)), m_views{m_self}
{ }

void RouterTable::takeList(const std::vector<Instance> &instances, TimePoint now)
{
    ++m_listsTaken;
    bool changed = false;
    for (const Instance &instance : instances) {
        const RouterId id(instance.id);
        if (instance.kind != InstanceKind::Router || id == m_self.id)
            continue;
        const auto [entry, isNew] = m_known.try_emplace(id);
        Known &known = entry->second;
        if (isNew) {
            known.view.id = id;
            known.heardAt = now;
            known.lost = now < m_damper.heldUntil(id.value());
        }
        changed = takeLine(known, instance) || changed;
    }
    for (auto &[id, known] : m_known)
        known.listed = known.listedIn == m_listsTaken;
    if (changed)
        refresh();
}

bool RouterTable::takeLine(Known &known, const Instance &instance) const
{
    known.listedIn = m_listsTaken;
    const bool leaving = instance.state == InstanceState::Leaving;
    RouterView &view = known.view;
    if (known.listedLeaving == leaving && view.zone == instance.zone
        && view.peerAddress == instance.address && view.operatorAddress == instance.operatorAddress)
        return false;
    known.listedLeaving = leaving;
    view.zone = instance.zone;
    view.peerAddress = instance.address;
    view.operatorAddress = instance.operatorAddress;
    return true;
}

bool RouterTable::isNewer(const wire::HeartbeatT &news, const Known &known)
{
    const std::uint64_t incarnation = known.view.incarnation.value();
    return std::tie(news.incarnation, news.sequence) > std::tie(incarnation, known.sequence);
}

wire::HeartbeatT RouterTable::newsOf(const Known &known)
{
    wire::HeartbeatT news;
    news.router = known.view.id.value();
    news.incarnation = known.view.incarnation.value();
    news.sequence = known.sequence;
    news.state =
        static_cast<std::uint8_t>(known.saidLeaving ? RouterState::Leaving : RouterState::Alive);
    return news;
}

bool RouterTable::takeProof(Known &known, const wire::HeartbeatT &heartbeat, TimePoint now)
{
    const bool leaving = heartbeat.state == static_cast<std::uint8_t>(RouterState::Leaving);
    const bool wasHeard = known.view.incarnation.value() > 0;
    const bool restarted = wasHeard && known.view.incarnation != Incarnation(heartbeat.incarnation);
    const bool isNews = restarted || known.saidLeaving != leaving || known.suspectedAt != kNever;
    known.view.incarnation = Incarnation(heartbeat.incarnation);
    known.sequence = heartbeat.sequence;
    known.saidLeaving = leaving;
    known.heardAt = now;
    known.suspectedAt = kNever;
    if (known.lost && now >= m_damper.heldUntil(known.view.id.value()))
        known.lost = false;
    return isNews;
}

std::optional<wire::HeartbeatT> RouterTable::hear(const RouterId &from,
                                                  const wire::HeartbeatT &heartbeat, TimePoint now)
{
    const auto found = m_known.find(from);
    if (found == m_known.end()
        || Incarnation(heartbeat.incarnation) < found->second.view.incarnation)
        return std::nullopt;
    Known &known = found->second;
    known.probedAt = kNever;
    if (!isNewer(heartbeat, known) && known.suspectedAt == kNever && !known.lost)
        return std::nullopt;
    const bool wasLost = known.lost;
    const bool wasHeard = known.view.incarnation.value() > 0;
    const bool isNews = takeProof(known, heartbeat, now);
    if (isNews || wasLost || !wasHeard)
        refresh();
    return isNews ? std::optional(newsOf(known)) : std::nullopt;
}

std::optional<wire::HeartbeatT> RouterTable::takeNews(const wire::HeartbeatT &news, TimePoint now)
{
    const auto found = m_known.find(RouterId(news.router));
    if (found == m_known.end())
        return std::nullopt;
    Known &known = found->second;
    if (news.state != static_cast<std::uint8_t>(RouterState::Suspect)) {
        if (!isNewer(news, known))
            return std::nullopt;
        const bool wasLost = known.lost;
        const bool wasHeard = known.view.incarnation.value() > 0;
        const bool isNews = takeProof(known, news, now);
        if (isNews || wasLost || !wasHeard)
            refresh();
        return isNews ? std::optional(news) : std::nullopt;
    }
    const std::uint64_t incarnation = known.view.incarnation.value();
    const bool isOld =
        std::tie(news.incarnation, news.sequence) < std::tie(incarnation, known.sequence);
    if (isOld)
        return newsOf(known);
    if (known.suspectedAt != kNever || known.lost)
        return std::nullopt;
    known.suspectedAt = now;
    refresh();
    return news;
}

void RouterTable::noteProbe(const RouterId &id, TimePoint now)
{
    const auto found = m_known.find(id);
    if (found != m_known.end() && found->second.probedAt == kNever)
        found->second.probedAt = now;
}

std::vector<wire::HeartbeatT> RouterTable::advance(TimePoint now)
{
    const Duration suspectAfter = milliseconds(m_settings.suspectAfterMs);
    const Duration removeAfter =
        std::max(Duration::zero(), milliseconds(m_settings.removeAfterMs) - suspectAfter);
    std::vector<wire::HeartbeatT> news;
    bool changed = false;
    for (auto entry = m_known.begin(); entry != m_known.end();) {
        Known &known = entry->second;
        const bool silent = known.probedAt != kNever && now - known.probedAt >= suspectAfter;
        if (!known.lost && silent && known.suspectedAt == kNever) {
            known.suspectedAt = now;
            news.push_back(newsOf(known));
            news.back().state = static_cast<std::uint8_t>(RouterState::Suspect);
            changed = true;
        }
        if (!known.lost && known.suspectedAt != kNever && now - known.suspectedAt >= removeAfter) {
            lose(known, now);
            changed = true;
        }
        const bool unheard = known.lost || now - known.heardAt >= suspectAfter;
        if (!known.listed && unheard) {
            if (!known.lost)
                lose(known, now);
            entry = m_known.erase(entry);
            changed = true;
        } else {
            ++entry;
        }
    }
    if (changed)
        refresh();
    return news;
}

void RouterTable::lose(Known &known, TimePoint now)
{
    known.lost = true;
    known.suspectedAt = kNever;
    known.probedAt = kNever;
    m_damper.noteLoss(known.view.id.value(), now);
}

void RouterTable::setSelfState(RouterState state)
{
    m_self.state = state;
    refresh();
}

std::vector<RouterId> RouterTable::unanswered() const
{
    std::vector<RouterId> ids;
    for (const auto &[id, known] : m_known) {
        if (!known.lost && known.probedAt != kNever)
            ids.push_back(id);
    }
    return ids;
}

std::vector<RouterId> RouterTable::lost() const
{
    std::vector<RouterId> ids;
    for (const auto &[id, known] : m_known) {
        if (known.lost)
            ids.push_back(id);
    }
    return ids;
}

Endpoint RouterTable::addressOf(const RouterId &id) const
{
    if (id == m_self.id)
        return m_self.peerAddress;
    const auto found = m_known.find(id);
    return found == m_known.end() ? Endpoint() : found->second.view.peerAddress;
}

void RouterTable::refresh()
{
    std::vector<RouterView> views{m_self};
    for (auto &[id, known] : m_known) {
        if (known.lost)
            continue;
        known.view.state = RouterState::Alive;
        if (known.suspectedAt != kNever)
            known.view.state = RouterState::Suspect;
        else if (known.saidLeaving || known.listedLeaving)
            known.view.state = RouterState::Leaving;
        views.push_back(known.view);
    }
    std::inplace_merge(views.begin(), views.begin() + 1, views.end(),
                       [](const auto &left, const auto &right) { return left.id < right.id; });
    if (std::equal(views.begin(), views.end(), m_views.begin(), m_views.end(), sameView))
        return;
    m_views = std::move(views);
    ++m_version;
}

} // namespace comfrey
