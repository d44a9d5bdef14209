// Requests between admission and a slot.
#include "admission/chatqueue.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "placement/ranking.h"

namespace comfrey {

namespace {

constexpr Duration kRateWindow = milliseconds(1000);
constexpr std::size_t kGrantsToPredict = 5; ///< With fewer, no wait is predicted.
constexpr Duration kLeastRetry = milliseconds(100);
constexpr Duration kMostRetry = milliseconds(10000);

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

ChatQueue::ChatQueue(const PartContext &context) : m_context(context) { }

// The customer's guaranteed requests in flight on this router: its share of the engines' slots,
// over the routers. What it does not use is lent, since it only orders who waits.
double ChatQueue::ownPart(const QueuedChat &chat)
{
    if (m_slotsVersion != m_context.fleet.version()) {
        m_slotsVersion = m_context.fleet.version();
        m_slots.clear();
    }
    const auto [known, isNew] = m_slots.try_emplace(chat.model, 0);
    if (isNew) {
        for (const BackendView *engine : enginesServing(chat.model, m_context.fleet))
            known->second += engine->slots;
    }
    const double slots = known->second;
    double shares = 0;
    for (const auto &[customer, plan] : m_context.lists.lists().plans)
        shares += plan.share;
    const auto routers =
        static_cast<double>(std::max<std::size_t>(1, m_context.fleet.routers().size()));
    return std::max(1.0, std::ceil(slots / routers * chat.share / std::max(1.0, shares)));
}

double ChatQueue::grantRate(const Lane &lane, TimePoint now) const
{
    const auto recent = std::count_if(lane.grants.begin(), lane.grants.end(),
                                      [now](TimePoint at) { return now - at <= kRateWindow; });
    return static_cast<double>(recent) / std::chrono::duration<double>(kRateWindow).count();
}

std::optional<Refusal> ChatQueue::enter(const QueuedChat &chat, TimePoint now)
{
    Lane &lane = laneOf(chat);
    const double inUse = m_inUse[chat.customer];
    const bool within = inUse < ownPart(chat);
    if (!within && lane.waiting >= m_context.settings.admission.queueLimit)
        return Refusal{CallerError::OutOfContract, "the queue is full",
                       retryAfter(chat.model, chat.longWork, now)};
    const double rate = grantRate(lane, now);
    if (!within && !lane.queue.isEmpty() && rate >= kGrantsToPredict) {
        const double ahead = static_cast<double>(lane.queue.sizeOf(chat.customer)) + 1;
        const bool alone = lane.queue.sizeOf(chat.customer) == lane.queue.size();
        const double shares = lane.queue.activeShares() + (ahead == 1 ? chat.share : 0);
        const double turns = alone ? ahead : ahead * shares / std::max(1U, chat.share);
        const Duration predicted = fromSeconds(turns / rate);
        if (now + predicted > chat.waitUntil)
            return Refusal{CallerError::OutOfContract,
                           "the contracted time to the first token cannot be kept now",
                           std::clamp(predicted, kLeastRetry, kMostRetry)};
    }
    Entry &entry = m_entries[chat.request];
    entry.chat = chat;
    entry.withinShare = within;
    ++lane.waiting;
    m_deadlines.emplace(chat.waitUntil, chat.request);
    if (within) {
        entry.state = State::Searching;
        ++m_inUse[chat.customer];
        m_ready.push_back(chat.request);
    } else {
        lane.queue.push(chat.customer, chat.share, chat.request, chat.cost);
    }
    return std::nullopt;
}

std::vector<RequestId> ChatQueue::takeReady()
{
    for (auto &[key, lane] : m_lanes) {
        while (lane.searching < m_context.settings.admission.searchWindow) {
            const auto next = lane.queue.pop();
            if (!next)
                break;
            m_entries[*next].state = State::Searching;
            ++lane.searching;
            m_ready.push_back(*next);
        }
    }
    return std::exchange(m_ready, {});
}

// Takes the request out of the queue or the search window.
void ChatQueue::stopWaiting(Entry &entry)
{
    Lane &lane = laneOf(entry.chat);
    if (entry.state == State::Queued)
        lane.queue.remove(entry.chat.customer, entry.chat.request);
    if (entry.state == State::Searching && !entry.withinShare)
        --lane.searching;
    --lane.waiting;
    const auto [first, last] = m_deadlines.equal_range(entry.chat.waitUntil);
    const auto own = std::find_if(
        first, last, [&entry](const auto &item) { return item.second == entry.chat.request; });
    if (own != last)
        m_deadlines.erase(own);
}

std::vector<RequestId> ChatQueue::takeExpired(TimePoint now)
{
    std::vector<RequestId> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const RequestId request = m_deadlines.begin()->second;
        expired.push_back(request);
        leave(request);
    }
    return expired;
}

void ChatQueue::granted(const RequestId &request, TimePoint now)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end() || found->second.state == State::Granted)
        return;
    Entry &entry = found->second;
    stopWaiting(entry);
    if (!entry.withinShare)
        ++m_inUse[entry.chat.customer];
    entry.state = State::Granted;
    Lane &lane = laneOf(entry.chat);
    lane.grants.push_back(now);
    while (now - lane.grants.front() > kRateWindow)
        lane.grants.pop_front();
}

void ChatQueue::leave(const RequestId &request)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end())
        return;
    Entry &entry = found->second;
    if (entry.state != State::Granted)
        stopWaiting(entry);
    const bool counted = entry.state == State::Granted || entry.withinShare;
    const auto use = m_inUse.find(entry.chat.customer);
    if (counted && --use->second == 0)
        m_inUse.erase(use);
    m_entries.erase(found);
}

bool ChatQueue::isWithinShare(const RequestId &request) const
{
    const auto found = m_entries.find(request);
    return found != m_entries.end() && found->second.withinShare;
}

std::uint32_t ChatQueue::waitingFor(const ModelId &model) const
{
    std::uint32_t sum = 0;
    for (const bool longWork : {false, true}) {
        const auto lane = m_lanes.find({model, longWork});
        sum += lane == m_lanes.end() ? 0 : lane->second.waiting;
    }
    return sum;
}

Duration ChatQueue::retryAfter(const ModelId &model, bool longWork, TimePoint now) const
{
    const auto lane = m_lanes.find({model, longWork});
    if (lane == m_lanes.end())
        return kLeastRetry;
    const double rate = std::max(1.0, grantRate(lane->second, now));
    return std::clamp(fromSeconds((lane->second.waiting + 1) / rate), kLeastRetry, kMostRetry);
}

void ChatQueue::dump(nlohmann::json &out) const
{
    out = nlohmann::json::object();
    for (const auto &[key, lane] : m_lanes) {
        out[key.first.value() + (key.second ? " long" : " short")] = {
            {"queued", lane.queue.size()},
            {"waiting", lane.waiting},
            {"searching", lane.searching}};
    }
}

} // namespace comfrey
