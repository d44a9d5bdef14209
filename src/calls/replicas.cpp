// Which replica of a plain service gets a call.
#include "calls/replicas.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace comfrey {

namespace {

constexpr Duration kFirstAvoidance = milliseconds(500);
constexpr std::uint32_t kMaxDoublings = 5; ///< Up to 16 s.

bool isFailure(AttemptEnd how)
{
    return how == AttemptEnd::NotConnected || how == AttemptEnd::BrokenBeforeAnswer
        || how == AttemptEnd::BrokenInAnswer || how == AttemptEnd::TimedOut;
}

} // namespace

const BackendView *Replicas::choose(const ServiceName &service, const std::vector<BackendId> &tried,
                                    TimePoint now)
{
    std::vector<const BackendView *> all = candidates(service, tried);
    std::vector<const BackendView *> wanted;
    std::copy_if(
        all.begin(), all.end(), std::back_inserter(wanted),
        [this, now](const BackendView *view) { return m_states[view->id].avoidUntil <= now; });
    if (wanted.empty())
        wanted = all;
    if (wanted.empty())
        return nullptr;
    std::shuffle(wanted.begin(), wanted.end(), m_context.random);
    return *std::min_element(wanted.begin(), wanted.end(),
                             [this](const BackendView *left, const BackendView *right) {
                                 return m_states[left->id].inFlight < m_states[right->id].inFlight;
                             });
}

std::vector<const BackendView *> Replicas::candidates(const ServiceName &service,
                                                      const std::vector<BackendId> &tried) const
{
    std::vector<const BackendView *> found;
    for (const BackendView &view : m_context.fleet.backends()) {
        if (view.kind != InstanceKind::Service || view.service != service
            || view.state == BackendState::Leaving)
            continue;
        const auto state = m_states.find(view.id);
        const bool leaving = state != m_states.end() && state->second.leaving;
        if (!leaving && std::find(tried.begin(), tried.end(), view.id) == tried.end())
            found.push_back(&view);
    }
    return found;
}

void Replicas::onSent(const BackendId &replica)
{
    ++m_states[replica].inFlight;
}

void Replicas::onEnded(const BackendId &replica, const AttemptEnded &ended, TimePoint now)
{
    State &state = m_states[replica];
    if (state.inFlight > 0)
        --state.inFlight;
    state.leaving = ended.backendLeaving || (state.leaving && ended.how != AttemptEnd::Completed);
    if (!isFailure(ended.how)) {
        state.failuresInRow = 0;
        state.avoidUntil = TimePoint();
    } else {
        const std::uint32_t doublings = std::min(state.failuresInRow, kMaxDoublings);
        state.avoidUntil = now + kFirstAvoidance * (1U << doublings);
        ++state.failuresInRow;
    }
    if (state.inFlight == 0 && m_context.fleet.backend(replica) == nullptr)
        m_states.erase(replica);
}

void Replicas::dump(nlohmann::json &out) const
{
    out = nlohmann::json::object();
    for (const auto &[id, state] : m_states)
        out[id.value()] = {{"inFlight", state.inFlight}, {"failuresInRow", state.failuresInRow}};
}

} // namespace comfrey
