// Sums and lists that each change of one connection updates in constant time.
#include "memory/calleraccount.h"

#include <utility>

namespace comfrey {

namespace {

std::size_t bodyOf(const std::array<std::size_t, kHeldKinds> &held)
{
    return held[static_cast<std::size_t>(HeldKind::ArrivingBody)]
        + held[static_cast<std::size_t>(HeldKind::RunningBody)];
}

} // namespace

const char *textOf(HeldKind kind)
{
    switch (kind) {
    case HeldKind::Connection:
        return "connection";
    case HeldKind::Head:
        return "head";
    case HeldKind::ArrivingBody:
        return "arriving_body";
    case HeldKind::RunningBody:
        return "running_body";
    case HeldKind::Answer:
        return "answer";
    }
    return "";
}

CallerShare::~CallerShare()
{
    leave();
}

bool CallerShare::isLarge() const
{
    return bodyOf(m_held) > CallerAccount::kSmallBody;
}

std::size_t CallerShare::arrivingBytes() const
{
    if (m_stage != CallerStage::Arriving)
        return 0;
    return m_held[static_cast<std::size_t>(HeldKind::ArrivingBody)]
        + m_held[static_cast<std::size_t>(HeldKind::Head)];
}

void CallerShare::join(std::shared_ptr<CallerAccount> account, TimePoint now)
{
    m_account = std::move(account);
    m_progressAt = now;
    if (!m_account)
        return;
    ++m_account->m_callers;
    auto &list = m_account->m_stages[static_cast<std::size_t>(m_stage)];
    m_position = list.insert(list.end(), this);
}

void CallerShare::leave()
{
    if (!m_account)
        return;
    for (std::size_t kind = 0; kind < kHeldKinds; ++kind)
        hold(static_cast<HeldKind>(kind), 0);
    --m_account->m_callers;
    m_account->m_stages[static_cast<std::size_t>(m_stage)].erase(m_position);
    m_account = nullptr;
}

void CallerShare::hold(HeldKind kind, std::size_t bytes)
{
    std::size_t &own = m_held[static_cast<std::size_t>(kind)];
    if (!m_account || own == bytes)
        return;
    const bool wasLarge = isLarge();
    const std::size_t arrivingBefore = arrivingBytes();
    std::size_t &sum = m_account->m_held[static_cast<std::size_t>(kind)];
    sum = sum - own + bytes;
    m_account->m_total = m_account->m_total - own + bytes;
    own = bytes;
    m_account->m_arriving = m_account->m_arriving - arrivingBefore + arrivingBytes();
    if (wasLarge != isLarge())
        m_account->m_largeBodies += wasLarge ? std::size_t(-1) : std::size_t(1);
}

void CallerShare::progress(std::size_t bytes, TimePoint now)
{
    m_sinceProgress += bytes;
    if (!m_account || m_sinceProgress < CallerAccount::kProgressBytes)
        return;
    m_sinceProgress = 0;
    m_progressAt = now;
    auto &list = m_account->m_stages[static_cast<std::size_t>(m_stage)];
    list.splice(list.end(), list, m_position);
}

void CallerShare::setStage(CallerStage stage, TimePoint now)
{
    if (m_stage == stage)
        return;
    const CallerStage before = m_stage;
    const std::size_t arrivingBefore = arrivingBytes();
    m_stage = stage;
    m_sinceProgress = 0;
    m_progressAt = now;
    if (!m_account)
        return;
    m_account->m_arriving = m_account->m_arriving - arrivingBefore + arrivingBytes();
    auto &list = m_account->m_stages[static_cast<std::size_t>(stage)];
    list.splice(list.end(), m_account->m_stages[static_cast<std::size_t>(before)], m_position);
}

bool CallerAccount::isOver(const CallerShare &share) const
{
    if (!share.isLarge())
        return used() > m_limits.bytes;
    // The only large body is let through whatever the limit is: in calm it is served.
    return m_largeBodies > 1 && used() > largeLimit();
}

bool CallerAccount::wouldSuffice(const CallerShare *newcomer) const
{
    const std::size_t kept = used() - m_arriving + (newcomer ? newcomer->arrivingBytes() : 0);
    return kept <= (newcomer && newcomer->isLarge() ? largeLimit() : m_limits.bytes);
}

CallerShare *CallerAccount::victim(Shortage shortage, const CallerShare *newcomer,
                                   TimePoint now) const
{
    const auto firstOf = [&](CallerStage stage) -> CallerShare * {
        const auto &list = at(stage);
        return list.empty() || list.front() == newcomer ? nullptr : list.front();
    };
    const auto isOlder = [](const CallerShare *one, const CallerShare *other) {
        return one && (!other || one->m_progressAt <= other->m_progressAt);
    };
    CallerShare *const arriving = firstOf(CallerStage::Arriving);
    CallerShare *const unread = firstOf(CallerStage::Unread);
    CallerShare *const stalled =
        unread && now - unread->m_progressAt >= kUnreadLimit ? unread : nullptr;
    if (shortage == Shortage::Memory)
        return arriving && wouldSuffice(newcomer) ? arriving : stalled;
    if (CallerShare *const closing = firstOf(CallerStage::Closing))
        return closing;
    CallerShare *const idle = firstOf(CallerStage::Idle);
    if (arriving || idle)
        return isOlder(arriving, idle) ? arriving : idle;
    return stalled;
}

} // namespace comfrey
