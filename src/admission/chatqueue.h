// Requests between admission and a slot: customers' queues by model and length class. A few
// requests of each lane look for a slot at once; the others wait for their customer's turn, and
// are refused as soon as their contract can no longer be kept.
#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "admission/entitlement.h"
#include "admission/fairqueue.h"
#include "facade/part.h"

namespace comfrey {

struct QueuedChat
{
    RequestId request;
    CustomerId customer;
    std::uint32_t share = 1;
    ModelId model;
    bool longWork = false;
    TimePoint waitUntil; ///< Later than this its contract cannot be kept.
    double cost = 1;     ///< Expected work, from above 0 to 1.
};

class ChatQueue
{
public:
    explicit ChatQueue(const PartContext &context);

    /// Queues the request, or says why it would not be answered in its contract.
    std::optional<Refusal> enter(const QueuedChat &chat, TimePoint now);
    /// Requests whose turn it is to look for a slot.
    std::vector<RequestId> takeReady();
    /// Requests that waited too long; they have left the queue.
    std::vector<RequestId> takeExpired(TimePoint now);
    /// The request has its slot: it waits no more and counts against its customer's part.
    void granted(const RequestId &request, TimePoint now);
    /// The request has ended or was given up, in whatever state.
    void leave(const RequestId &request);

    bool isWithinShare(const RequestId &request) const;
    /// Requests of the model that wait, in the queue or for a slot.
    std::uint32_t waitingFor(const ModelId &model) const;
    TimePoint nextWakeUp() const
    {
        return m_deadlines.empty() ? kNever : m_deadlines.begin()->first;
    }
    /// Until a refused request is likely to be taken.
    Duration retryAfter(const ModelId &model, bool longWork, TimePoint now) const;
    void dump(nlohmann::json &out) const;

private:
    enum class State : std::uint8_t { Queued, Searching, Granted };

    struct Entry
    {
        QueuedChat chat;
        State state = State::Queued;
        bool withinShare = false; ///< When it was queued.
    };

    struct Lane
    {
        FairQueue queue;
        std::uint32_t searching = 0;  ///< Over their share; at most search_window.
        std::uint32_t waiting = 0;    ///< Queued or searching, within their share or not.
        std::deque<TimePoint> grants; ///< Of the last kRateWindow.
    };

    using LaneKey = std::pair<ModelId, bool>;

    Lane &laneOf(const QueuedChat &chat) { return m_lanes[{chat.model, chat.longWork}]; }
    double grantRate(const Lane &lane, TimePoint now) const;
    double ownPart(const QueuedChat &chat);
    void stopWaiting(Entry &entry);

    PartContext m_context;
    std::unordered_map<RequestId, Entry> m_entries;
    std::map<LaneKey, Lane> m_lanes;
    std::map<CustomerId, std::uint32_t> m_inUse;     ///< Granted, and searching within the share.
    std::multimap<TimePoint, RequestId> m_deadlines; ///< Of those queued or searching.
    std::vector<RequestId> m_ready;
    std::map<ModelId, std::uint32_t> m_slots; ///< Of the engines that serve the model.
    std::uint64_t m_slotsVersion = 0;         ///< Of the fleet that m_slots was made for.
};

} // namespace comfrey
