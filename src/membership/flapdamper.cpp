// Bounds what an instance that leaves and returns again and again may cause.
#include "membership/flapdamper.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace comfrey {

namespace {

constexpr Duration kHalfLife = std::chrono::seconds(60);
constexpr Duration kHoldLimit = std::chrono::seconds(60);
constexpr double kFreePenalty = 1.5; // One loss is never held against an instance.
constexpr double kForgottenPenalty = 0.1;
constexpr std::size_t kInstancesKept = 4096;

double decayed(double penalty, Duration age)
{
    return penalty * std::exp2(-static_cast<double>(age.count()) / kHalfLife.count());
}

} // namespace

void FlapDamper::noteLoss(const std::string &id, TimePoint now)
{
    Flaps &flaps = m_flaps[id];
    flaps.penalty = decayed(flaps.penalty, now - flaps.at) + 1;
    flaps.at = now;
    if (flaps.penalty > kFreePenalty) {
        const double doublings = std::min(flaps.penalty - kFreePenalty, 16.0);
        const double hold = static_cast<double>(m_firstHold.count()) * std::exp2(doublings);
        flaps.heldUntil = now + std::min(kHoldLimit, Duration(static_cast<Duration::rep>(hold)));
    }
    if (m_flaps.size() > kInstancesKept)
        prune(now);
}

TimePoint FlapDamper::heldUntil(const std::string &id) const
{
    const auto found = m_flaps.find(id);
    return found == m_flaps.end() ? TimePoint() : found->second.heldUntil;
}

void FlapDamper::prune(TimePoint now)
{
    std::erase_if(m_flaps, [now](const auto &entry) {
        return decayed(entry.second.penalty, now - entry.second.at) < kForgottenPenalty;
    });
}

} // namespace comfrey
